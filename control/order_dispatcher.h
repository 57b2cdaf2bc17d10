#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "control.pb.h"
#include "control/order_book.h"
#include "core/clock.h"

namespace hawthorn::control {

/// The time in which a leader knows that no other one leads.
struct LeaderLease {
  uint64_t term = 0;
  core::TimePoint valid_until;

  bool operator==(const LeaderLease&) const = default;
};

/// Bounds on time that the order of events rests on.
struct DispatchTimes {
  /// Longest lease that an earlier leader may still hold, with the drift of
  /// clocks.
  std::chrono::nanoseconds lease = std::chrono::seconds(2);
  /// Time after which a message that was sent can no longer start work.
  std::chrono::nanoseconds max_flight = std::chrono::seconds(5);
  /// Least part of a lease that must be left to send anything.
  std::chrono::nanoseconds min_window = std::chrono::milliseconds(100);
  /// Time after which a query or a proposal without an answer is repeated.
  std::chrono::nanoseconds retry = std::chrono::seconds(1);
  /// Time without an announcement after which an upstream counts as gone; at
  /// least twice max_flight.
  std::chrono::nanoseconds gone_after = std::chrono::seconds(60);
  /// Attempts after which an order fails.
  uint32_t max_attempts = 10;
};

/// An upstream as the leader knows it.
struct UpstreamForOrders {
  bool verifies_fencing = false;
  bool leaving = false;

  bool operator==(const UpstreamForOrders&) const = default;
};
using UpstreamsForOrders = std::map<std::string, UpstreamForOrders>;

/// Commit this command through the control group.
struct ProposeCommand {
  schema::ControlCommand command;
};

/// Send one attempt of an order to its upstream. It must not leave after
/// `deadline`.
struct SendOrder {
  schema::Order order;
  core::TimePoint deadline;
};

/// Ask an upstream what became of the current attempt of an order. Carries
/// the fencing number, so that an upstream that verifies it refuses older
/// attempts from then on.
struct QueryOrder {
  schema::Order order;
  core::TimePoint deadline;
};

using OrderAction = std::variant<ProposeCommand, SendOrder, QueryOrder>;

/// What an upstream says about an attempt.
enum class OrderAnswer {
  kDone,
  kFailed,
  /// It is at work on it.
  kRunning,
  /// It never started it. Only an answer to a query says so.
  kNeverSeen,
  /// It refused the fencing number as old.
  kFenced,
};

/// Carries out the orders of the book while this instance leads the control
/// group. Sends only inside a live lease, one attempt at a time for each
/// upstream, and asks after an attempt whose answer was lost rather than
/// repeating it. A new leader leaves upstreams that do not verify fencing
/// numbers alone until the old lease and the longest flight are over.
/// Deterministic; not thread-safe.
class OrderDispatcher {
 public:
  OrderDispatcher(std::string instance, DispatchTimes times);

  /// This instance has become the leader. Forgets everything about earlier
  /// leaderships.
  void BecomeLeader(const LeaderLease& lease, core::TimePoint now);

  /// The lease of the leadership was extended. Ignored for another term.
  void RenewLease(const LeaderLease& lease);

  /// This instance no longer leads.
  void LoseLeadership();

  /// Next actions. Call it after each event and every 100 ms or so. `book`
  /// is the applied state of this instance.
  std::vector<OrderAction> Tick(core::TimePoint now, const OrderBook& book,
                                const UpstreamsForOrders& upstreams,
                                uint32_t concurrent_loads);

  /// Answer to an attempt that Tick asked to send.
  void OnAnswer(uint64_t number, uint32_t attempt, OrderAnswer answer,
                const std::string& message);

  /// Answer to a query that Tick asked to send.
  void OnQueryAnswer(uint64_t number, uint32_t attempt, OrderAnswer answer,
                     const std::string& message);

  /// Whether orders may go out at `now`.
  bool IsActive(core::TimePoint now) const;

 private:
  // Result that is to be recorded in the book.
  struct Outcome {
    schema::OrderState state = schema::ORDER_STATE_UNSPECIFIED;
    std::string message;
  };
  // What this leadership did about one attempt.
  struct Flight {
    uint32_t attempt = 0;
    std::optional<core::TimePoint> sent_at;
    std::optional<core::TimePoint> queried_at;
    std::optional<Outcome> outcome;
  };
  // Last proposal for an order.
  struct Proposal {
    core::TimePoint made_at;
    uint32_t attempt = 0;
    schema::OrderState state = schema::ORDER_STATE_UNSPECIFIED;
  };
  // Arguments of one Tick.
  struct Pass {
    core::TimePoint now;
    const OrderBook& book;
    const UpstreamsForOrders& upstreams;
    uint32_t concurrent_loads;
    size_t new_loads = 0;
    std::vector<OrderAction> actions;
  };

  bool OpenFence(Pass* pass);
  void TrackAbsence(const Pass& pass);
  bool IsGone(const Pass& pass, const std::string& upstream) const;
  bool MayTouch(const Pass& pass, const std::string& upstream) const;
  core::TimePoint Deadline(core::TimePoint now) const;
  bool HasWindow(core::TimePoint now) const;
  Flight& FlightOf(const schema::Order& order);

  void HandleOrder(Pass* pass, const schema::Order& order);
  void HandleAccepted(Pass* pass, const schema::Order& order);
  void HandleSent(Pass* pass, const schema::Order& order);
  void HandleUnknown(Pass* pass, const schema::Order& order);
  void ProposeMark(Pass* pass, const schema::Order& order, uint32_t attempt,
                   schema::OrderState state, const std::string& message);

  std::string instance_;
  DispatchTimes times_;
  std::optional<LeaderLease> lease_;
  core::TimePoint quiet_until_;
  uint64_t fence_ = 0;
  std::map<uint64_t, Flight> flights_;
  std::optional<core::TimePoint> fence_proposed_at_;
  std::map<uint64_t, Proposal> proposals_;
  std::map<std::string, core::TimePoint> absent_since_;
};

}  // namespace hawthorn::control

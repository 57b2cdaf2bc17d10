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

/// Lease of a leadership, during which no other instance leads.
struct LeaderLease {
  uint64_t term = 0;
  core::TimePoint valid_until;

  bool operator==(const LeaderLease&) const = default;
};

/// Timing assumptions and timeouts of an OrderDispatcher.
struct DispatchTimes {
  /// Maximum lease that an earlier leader may still hold, including clock
  /// drift.
  std::chrono::nanoseconds lease = std::chrono::seconds(2);
  /// Maximum lifetime of a message: later it can no longer start work.
  std::chrono::nanoseconds max_message_lifetime = std::chrono::seconds(5);
  /// Minimum remaining time of the lease for sending a message.
  std::chrono::nanoseconds min_lease_left = std::chrono::milliseconds(100);
  /// Time after which a query or proposal without a reply is sent again.
  std::chrono::nanoseconds retry = std::chrono::seconds(1);
  /// Time without an announcement after which an upstream is considered gone.
  /// At least twice max_message_lifetime.
  std::chrono::nanoseconds gone_after = std::chrono::seconds(60);
  /// Number of attempts after which an order fails.
  uint32_t max_attempts = 10;
};

/// State of an upstream that is known to the leader.
struct UpstreamForOrders {
  bool verifies_fencing = false;
  bool leaving = false;

  bool operator==(const UpstreamForOrders&) const = default;
};
using UpstreamsForOrders = std::map<std::string, UpstreamForOrders>;

/// Action: propose the command to the control group.
struct ProposeCommand {
  schema::ControlCommand command;
};

/// Action: send an attempt of an order to its upstream. It must not be sent
/// after `deadline`.
struct SendOrder {
  schema::Order order;
  core::TimePoint deadline;
};

/// Action: query the state of the current attempt of an order at its upstream.
/// Carries the fencing number, so that an upstream that verifies it refuses
/// older attempts from then on.
struct QueryOrder {
  schema::Order order;
  core::TimePoint deadline;
};

using OrderAction = std::variant<ProposeCommand, SendOrder, QueryOrder>;

/// State of an attempt as reported by its upstream.
enum class OrderAnswer {
  kDone,
  kFailed,
  /// The attempt is running.
  kRunning,
  /// The attempt was never started. Only a reply to a query reports this.
  kNeverStarted,
  /// The fencing number was refused as outdated.
  kFenced,
};

/// Dispatches the orders of the book while this instance leads the control
/// group. Sends messages only during a valid lease and one attempt at a time to
/// each upstream. If the reply to an attempt is lost, it queries the upstream
/// instead of sending the attempt again. A new leader does not contact
/// upstreams that do not verify fencing numbers until the previous lease and
/// the maximum lifetime of messages are over. Deterministic; not thread-safe.
class OrderDispatcher {
 public:
  OrderDispatcher(std::string instance, DispatchTimes times);

  /// This instance has become the leader. Discards the state of earlier
  /// leaderships.
  void BecomeLeader(const LeaderLease& lease, core::TimePoint now);

  /// Extends the lease. Ignored if the term differs.
  void RenewLease(const LeaderLease& lease);

  /// This instance no longer leads.
  void LoseLeadership();

  /// Returns the next actions. Call it after each event and about every 100 ms.
  /// `book` is the state applied on this instance.
  std::vector<OrderAction> Tick(core::TimePoint now, const OrderBook& book,
                                const UpstreamsForOrders& upstreams,
                                uint32_t concurrent_loads);

  /// Handles the reply to an attempt that Tick() returned.
  void OnAnswer(uint64_t number, uint32_t attempt, OrderAnswer answer,
                const std::string& message);

  /// Handles the reply to a query that Tick() returned.
  void OnQueryAnswer(uint64_t number, uint32_t attempt, OrderAnswer answer,
                     const std::string& message);

  /// Whether orders may be sent at `now`.
  bool IsActive(core::TimePoint now) const;

 private:
  // Result of an attempt that must be recorded in the book.
  struct Outcome {
    schema::OrderState state = schema::ORDER_STATE_UNSPECIFIED;
    std::string message;
  };
  // State of an attempt during this leadership.
  struct AttemptState {
    uint32_t attempt = 0;
    std::optional<core::TimePoint> sent_at;
    std::optional<core::TimePoint> queried_at;
    std::optional<Outcome> outcome;
  };
  // Last proposed transition of an order.
  struct Proposal {
    core::TimePoint made_at;
    uint32_t attempt = 0;
    schema::OrderState state = schema::ORDER_STATE_UNSPECIFIED;
  };
  // Arguments and results of one Tick().
  struct TickContext {
    core::TimePoint now;
    const OrderBook& book;
    const UpstreamsForOrders& upstreams;
    uint32_t concurrent_loads;
    size_t new_loads = 0;
    std::vector<OrderAction> actions;
  };

  bool OpenFence(TickContext* context);
  void TrackAbsence(const TickContext& context);
  bool IsGone(const TickContext& context, const std::string& upstream) const;
  bool MayContact(const TickContext& context,
                  const std::string& upstream) const;
  core::TimePoint Deadline(core::TimePoint now) const;
  bool HasLeaseTime(core::TimePoint now) const;
  AttemptState& AttemptStateOf(const schema::Order& order);

  void HandleOrder(TickContext* context, const schema::Order& order);
  void HandleAccepted(TickContext* context, const schema::Order& order);
  void HandleSent(TickContext* context, const schema::Order& order);
  void HandleUnknown(TickContext* context, const schema::Order& order);
  void ProposeMark(TickContext* context, const schema::Order& order,
                   uint32_t attempt, schema::OrderState state,
                   const std::string& message);

  std::string instance_;
  DispatchTimes times_;
  std::optional<LeaderLease> lease_;
  core::TimePoint no_contact_until_;
  uint64_t fence_ = 0;
  std::map<uint64_t, AttemptState> attempts_;
  std::optional<core::TimePoint> fence_proposed_at_;
  std::map<uint64_t, Proposal> proposals_;
  std::map<std::string, core::TimePoint> absent_since_;
};

}  // namespace hawthorn::control

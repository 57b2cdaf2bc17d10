#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "scheduling/quota.h"

namespace hawthorn::scheduling {

/// Credit of an instance for the requests of organisations. Requests are served
/// from lent credit without a message; the others wait for an answer of the
/// leader. Reads no clock and sends nothing.
class QuotaStock {
 public:
  /// Identifies a request that waits for credit.
  using Ticket = uint64_t;

  /// Decision about a request that waited.
  struct Decision {
    Ticket ticket = 0;
    core::Status status;
  };

  /// Longest wait of a request for the leader.
  static constexpr std::chrono::milliseconds kMaxWait{300};
  /// Time without an answer after which a report is sent again. Round trips
  /// take up to 10 ms; two repeats fit into kMaxWait.
  static constexpr std::chrono::milliseconds kResendAfter{100};
  /// Time between two reports while credit is held and no request waits.
  static constexpr std::chrono::milliseconds kReportInterval{700};
  /// Time without a request after which lent credit is returned.
  static constexpr std::chrono::milliseconds kIdleAfter{2000};
  /// Suggested retry delay if the leader did not answer: about the duration of
  /// an election.
  static constexpr std::chrono::milliseconds kNoAnswerRetryAfter{600};

  /// `incarnation` differs between two processes of the same instance.
  explicit QuotaStock(uint64_t incarnation) : incarnation_(incarnation) {}

  /// Applies the limits of a configuration unless a later one is known. Credit
  /// of organisations whose limit changed is returned; requests of those
  /// without a limit need none.
  void SetLimits(uint64_t version, const QuotaLimits& limits,
                 core::TimePoint now);
  /// Takes credit for one request. Returns the decision, or nothing if it
  /// follows from TakeDecisions under `ticket`.
  std::optional<core::Status> Take(const std::string& organisation,
                                   Ticket ticket, core::TimePoint now);
  /// Gives back the credit of a request that was not sent to any upstream.
  /// `taken_at` is when it was taken, or earlier.
  void GiveBack(const std::string& organisation, core::TimePoint taken_at,
                core::TimePoint now);
  /// Returns the report to send to the leader now, if one is due. One report at
  /// a time is open; it is repeated unchanged until it is answered, so that the
  /// leader applies it once.
  std::optional<QuotaReport> TakeReport(core::TimePoint now);
  /// Takes the answer to the report with this sequence number. Answers to other
  /// reports and of earlier leaders are ignored.
  void OnAnswer(uint64_t sequence, const QuotaAnswer& answer,
                core::TimePoint now);
  /// Another instance is the leader: the open report is due for it now.
  void OnNewLeader();
  /// Returns the decisions since the last call, also about requests that have
  /// waited for too long.
  std::vector<Decision> TakeDecisions(core::TimePoint now);
  /// Time at which TakeReport or TakeDecisions has something to return, if that
  /// is known.
  std::optional<core::TimePoint> NextWakeUp(core::TimePoint now) const;

  uint64_t term() const { return term_; }
  /// Lent credit that is at hand.
  uint64_t held() const;
  size_t waiting() const;

 private:
  struct Waiter {
    Ticket ticket = 0;
    core::TimePoint since;
  };

  struct Holding {
    QuotaLimit limit;
    uint32_t stock = 0;
    uint32_t used = 0;
    uint32_t returned = 0;
    uint32_t refunded = 0;
    core::TimePoint refunds_since;
    core::TimePoint last_taken;
    /// The leader has no credit until then.
    core::TimePoint refused_until;
    /// Requests wait, and the leader is not asked before.
    core::TimePoint ask_at;
    std::deque<Waiter> waiters;

    bool HasReport() const {
      return stock > 0 || used > 0 || returned > 0 || refunded > 0;
    }
  };

  struct OpenReport {
    QuotaReport report;
    core::TimePoint first_sent;
    core::TimePoint last_sent;
  };

  /// Counts lent credit as used once it has expired.
  void ExpireStock(core::TimePoint now);
  /// Drops all credit and reports, which belong to another term.
  void DropCredit();
  bool HasWaiters() const;
  /// When the open report is sent again.
  core::TimePoint ResendTime() const;
  /// Whether the leader must hear of this organisation now.
  bool IsDue(const Holding& holding, core::TimePoint now) const;
  QuotaDemand DemandOf(const std::string& organisation, Holding* holding,
                       core::TimePoint now) const;
  void ApplyCredit(const QuotaCredit& credit, const OpenReport& sent,
                   bool settling, core::TimePoint now);
  static void Refund(Holding* holding, uint32_t count,
                     core::TimePoint taken_at);

  uint64_t incarnation_;
  uint64_t version_ = 0;
  uint64_t term_ = 0;
  uint64_t sequence_ = 0;
  std::map<std::string, Holding> holdings_;
  std::optional<OpenReport> open_;
  /// Lent credit must not be used from then on.
  core::TimePoint stock_expires_;
  core::TimePoint next_report_;
  std::vector<Decision> decisions_;
};

}  // namespace hawthorn::scheduling

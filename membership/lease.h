#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "membership/fencing_token.h"

// Leases: exclusive rights that end by themselves. Holder and granter measure
// time on their own clocks, whose rates differ by a bounded drift.
namespace hawthorn::membership {

/// Length of a lease and the assumption on clocks that makes it exclusive.
struct LeaseTerms {
  std::chrono::milliseconds duration{2000};
  /// Bound on the difference of two clock rates, in parts per million.
  uint32_t max_drift_ppm = 1000;

  auto operator<=>(const LeaseTerms&) const = default;
};

/// The holder's side. A grant counts from the moment in which it was asked
/// for, and ends early by the drift bound, so that the holder stops before
/// the granter gives the lease to another one.
class Lease {
 public:
  explicit Lease(LeaseTerms terms) : terms_(terms) {}

  /// Notes that a grant or a renewal is asked for. An answer to an earlier
  /// question still counts, from the moment of that question.
  void StartRequest(core::TimePoint now) { requested_at_ = now; }

  /// Takes the grant that was asked for at `requested_at` under `token`.
  /// Ignored when the token is lower than the one held.
  void Grant(FencingToken token, core::TimePoint requested_at);

  /// Gives the lease up at once.
  void Release() { valid_until_.reset(); }

  /// Returns whether work under the lease may start at `now` and take up to
  /// `work`: it ends inside the lease.
  bool Covers(core::TimePoint now, std::chrono::milliseconds work =
                                       std::chrono::milliseconds(0)) const {
    return valid_until_ && now + work < *valid_until_;
  }

  /// Returns whether a renewal is due: half of the lease has passed.
  bool IsRenewalDue(core::TimePoint now) const;

  /// Token of the last grant.
  FencingToken token() const { return token_; }
  /// Moment of the last question, if any.
  std::optional<core::TimePoint> requested_at() const { return requested_at_; }

 private:
  LeaseTerms terms_;
  FencingToken token_;
  std::optional<core::TimePoint> requested_at_;
  std::optional<core::TimePoint> valid_until_;
};

/// The granter's side for one lease.
class LeaseGranter {
 public:
  explicit LeaseGranter(LeaseTerms terms, FencingCounter counter = {})
      : terms_(terms), counter_(counter) {}

  /// Grants the lease to `holder` or renews it. Returns its token, or nothing
  /// while another holder may still act under it.
  std::optional<FencingToken> Grant(const std::string& holder,
                                    core::TimePoint now);

  /// The holder gave the lease up, so that it is free at once.
  void Release(const std::string& holder);

  /// Takes over after a restart: the lease counts as given until its full
  /// duration has passed, because an earlier grant may be in force.
  void AssumeGranted(core::TimePoint now);

  const FencingCounter& counter() const { return counter_; }

 private:
  std::chrono::nanoseconds DurationWithDrift() const;

  LeaseTerms terms_;
  FencingCounter counter_;
  std::string holder_;
  std::optional<core::TimePoint> granted_until_;
};

}  // namespace hawthorn::membership

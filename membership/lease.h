#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "membership/fencing_token.h"

// Leases: exclusive rights that expire. Holder and granter measure time on
// separate clocks, whose rates differ by a bounded drift.
namespace hawthorn::membership {

/// Duration of a lease and the clock drift up to which it is exclusive.
struct LeaseTerms {
  std::chrono::milliseconds duration{2000};
  /// Maximum difference of two clock rates, in parts per million.
  uint32_t max_drift_ppm = 1000;

  auto operator<=>(const LeaseTerms&) const = default;
};

/// A lease on the side of its holder. It is valid from the time of the request,
/// and the drift bound is subtracted from its duration, so that the holder
/// stops before the granter grants the lease to another one.
class Lease {
 public:
  explicit Lease(LeaseTerms terms) : terms_(terms) {}

  /// Notes that a grant or a renewal is requested. A reply to an earlier
  /// request still counts, from the time of that request.
  void StartRequest(core::TimePoint now) { requested_at_ = now; }

  /// Applies the grant with `token` that was requested at `requested_at`.
  /// Ignored if the token is lower than the current one.
  void Grant(FencingToken token, core::TimePoint requested_at);

  /// Ends the lease.
  void Release() { valid_until_.reset(); }

  /// Returns whether work that starts at `now` and takes up to `work` ends
  /// before the lease does.
  bool Covers(core::TimePoint now, std::chrono::milliseconds work =
                                       std::chrono::milliseconds(0)) const {
    return valid_until_ && now + work < *valid_until_;
  }

  /// Returns whether a renewal is due, because at most half of the duration
  /// remains.
  bool IsRenewalDue(core::TimePoint now) const;

  /// Token of the last grant.
  FencingToken token() const { return token_; }
  /// Time of the last request, if any.
  std::optional<core::TimePoint> requested_at() const { return requested_at_; }

 private:
  LeaseTerms terms_;
  FencingToken token_;
  std::optional<core::TimePoint> requested_at_;
  std::optional<core::TimePoint> valid_until_;
};

/// One lease on the side of its granter.
class LeaseGranter {
 public:
  explicit LeaseGranter(LeaseTerms terms, FencingCounter counter = {})
      : terms_(terms), counter_(counter) {}

  /// Grants the lease to `holder` or renews it. Returns its token; empty while
  /// the lease of another holder may still be valid.
  std::optional<FencingToken> Grant(const std::string& holder,
                                    core::TimePoint now);

  /// Ends the lease because its holder released it.
  void Release(const std::string& holder);

  /// Call after a restart: the lease counts as granted for its full duration,
  /// because an earlier grant may still be valid.
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

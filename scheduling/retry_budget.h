#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <utility>

#include "core/clock.h"
#include "core/error.h"
#include "scheduling/call.h"

namespace hawthorn::scheduling {

/// Retry budgets: a token bucket for each organisation and service that fills
/// with first attempts, so that retries stay a part of the traffic.
class RetryBudget {
 public:
  /// Retries that each first attempt pays for.
  static constexpr double kRetriesPerCall = 0.1;
  /// Retries that an idle organisation has saved at most.
  static constexpr double kBurst = 10;
  static constexpr uint32_t kMaxAttempts = 4;
  static constexpr std::chrono::milliseconds kBaseDelay{50};
  static constexpr std::chrono::milliseconds kMaxDelay{2000};
  /// Buckets kept; a forgotten one starts full again.
  static constexpr size_t kMaxBuckets = 65536;

  /// `seed` drives the jitter.
  explicit RetryBudget(uint64_t seed) : random_(seed) {}

  /// Counts a first attempt.
  void OnCall(const core::OrganisationId& organisation,
              const core::ServiceId& service);
  /// Takes a retry out of the budget. Returns its jittered delay, or
  /// kOverloaded when the budget or the attempts are spent.
  core::Result<std::chrono::milliseconds> Take(const RetryRequest& request);

 private:
  using Key = std::pair<core::OrganisationId, core::ServiceId>;

  std::map<Key, double> buckets_;
  std::mt19937_64 random_;
};

}  // namespace hawthorn::scheduling

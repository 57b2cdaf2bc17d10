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

/// Retry budgets: a token bucket for each organisation and service that is
/// refilled by first attempts, so that retries stay a bounded fraction of the
/// traffic.
class RetryBudget {
 public:
  /// Retries that each first attempt adds to the budget.
  static constexpr double kRetriesPerCall = 0.1;
  /// Capacity of a bucket, in retries.
  static constexpr double kBurst = 10;
  static constexpr uint32_t kMaxAttempts = 4;
  static constexpr std::chrono::milliseconds kBaseDelay{50};
  static constexpr std::chrono::milliseconds kMaxDelay{2000};
  /// Buckets kept; one that is removed starts full again.
  static constexpr size_t kMaxBuckets = 65536;

  /// `seed` initialises the generator of the jitter.
  explicit RetryBudget(uint64_t seed) : random_(seed) {}

  /// Records a first attempt.
  void OnCall(const core::OrganisationId& organisation,
              const core::ServiceId& service);
  /// Takes a retry from the budget. Returns its backoff delay with jitter, or
  /// kOverloaded when the budget or the call's attempts are exhausted.
  core::Result<std::chrono::milliseconds> Take(const RetryRequest& request);

 private:
  using Key = std::pair<core::OrganisationId, core::ServiceId>;

  std::map<Key, double> buckets_;
  std::mt19937_64 random_;
};

}  // namespace hawthorn::scheduling

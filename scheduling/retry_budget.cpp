#include "scheduling/retry_budget.h"

#include <algorithm>

namespace hawthorn::scheduling {
namespace {

core::Error RetryRefused(const char* message) {
  core::Error error;
  error.code = core::ErrorCode::kOverloaded;
  error.message = message;
  error.execution = core::Execution::kNotRun;
  return error;
}

}  // namespace

void RetryBudget::OnCall(const core::OrganisationId& organisation,
                         const core::ServiceId& service) {
  const auto it = buckets_.find({organisation, service});
  if (it == buckets_.end()) {
    return;
  }
  it->second += kRetriesPerCall;
  if (it->second >= kBurst) {
    buckets_.erase(it);
  }
}

core::Result<std::chrono::milliseconds> RetryBudget::Take(
    const RetryRequest& request) {
  if (request.attempts >= kMaxAttempts) {
    return RetryRefused("all attempts of the call are used");
  }
  if (buckets_.size() >= kMaxBuckets) {
    buckets_.erase(buckets_.begin());
  }
  double& tokens =
      buckets_.try_emplace({request.organisation, request.service}, kBurst)
          .first->second;
  if (tokens < 1) {
    return RetryRefused("the organisation's retry budget is spent");
  }
  tokens -= 1;
  const uint32_t doublings = request.attempts == 0 ? 0 : request.attempts - 1;
  const auto bound = std::min(kMaxDelay, kBaseDelay * (1 << doublings));
  std::uniform_int_distribution<int64_t> jitter(bound.count() / 2,
                                                bound.count());
  return std::chrono::milliseconds(jitter(random_));
}

}  // namespace hawthorn::scheduling

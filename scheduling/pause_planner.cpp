#include "scheduling/pause_planner.h"

#include <algorithm>

namespace hawthorn::scheduling {
namespace {

/// Fraction of the tokens in a cache that are reused before their eviction.
constexpr double kReuseRate = 0.5;
/// Cost of an export and an import, as a fraction of the cost of prefilling.
constexpr double kExportCost = 0.4;
constexpr int64_t kMinExportTokens = 4096;
constexpr std::chrono::milliseconds kLeaseMargin{2000};

}  // namespace

PauseAction PausePlanner::Decide(const PauseInput& input) {
  if (input.tokens < kMinTokens || input.cache_tokens <= 0 ||
      input.expected > kMaxHold) {
    return PauseAction::kDrop;
  }
  const double seconds = std::chrono::duration<double>(input.expected).count();
  const double lifetime = static_cast<double>(input.cache_tokens) /
                          std::max(1.0, input.churn_tokens_per_second);
  // Cost relative to prefilling the prefix. The held memory would have been
  // rewritten seconds / lifetime times, and that many other tokens have to be
  // evicted earlier.
  const double hold_cost = kReuseRate * seconds / lifetime;
  const double bound = 0.5 + input.latency_weight;
  const double held = static_cast<double>(input.held_tokens + input.tokens) /
                      static_cast<double>(input.cache_tokens);
  if (hold_cost <= bound && held <= kMaxHeldShare) {
    return PauseAction::kKeep;
  }
  const bool worth_export = input.tokens >= kMinExportTokens &&
                            kExportCost < std::min(bound, hold_cost);
  return worth_export ? PauseAction::kExport : PauseAction::kDrop;
}

std::chrono::milliseconds PausePlanner::Lease(
    std::chrono::milliseconds expected) {
  return std::min<std::chrono::milliseconds>(kMaxHold,
                                             2 * expected + kLeaseMargin);
}

}  // namespace hawthorn::scheduling

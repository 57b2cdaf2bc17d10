#include "scheduling/las_policy.h"

namespace hawthorn::scheduling {
namespace {

/// Ageing: attained tokens that one second of waiting offsets.
constexpr double kTokensPerSecondWaited = 500;

}  // namespace

double LasPolicy::Rank(QueuedCall& call) {
  const auto attained = static_cast<double>(call.request.attained_tokens);
  return ToSeconds(call.enqueued) + attained / kTokensPerSecondWaited;
}

void LasPolicy::OnDispatched(QueuedCall& /*call*/) {}

PlacementRules LasPolicy::placement() const { return {}; }

}  // namespace hawthorn::scheduling

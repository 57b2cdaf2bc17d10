#include "scheduling/fair_policy.h"

namespace hawthorn::scheduling {
namespace {

/// Ageing: weighted tokens of fair share that one second of waiting offsets.
constexpr double kTokensPerSecondWaited = 100;

}  // namespace

double FairPolicy::Rank(QueuedCall& call) {
  call.share_tag = share_.Charge(call.request, ExpectedCost(call.request));
  return call.share_tag + ToSeconds(call.enqueued) * kTokensPerSecondWaited;
}

void FairPolicy::OnDispatched(QueuedCall& call) {
  share_.OnDispatched(call.share_tag);
}

PlacementRules FairPolicy::placement() const { return {}; }

}  // namespace hawthorn::scheduling

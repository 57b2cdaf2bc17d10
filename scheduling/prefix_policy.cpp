#include "scheduling/prefix_policy.h"

namespace hawthorn::scheduling {
namespace {

constexpr double kImbalanceBound = 0.5;

}  // namespace

double PrefixPolicy::Rank(QueuedCall& call) { return ToSeconds(call.enqueued); }

void PrefixPolicy::OnDispatched(QueuedCall& /*call*/) {}

PlacementRules PrefixPolicy::placement() const {
  PlacementRules rules;
  rules.affinity = true;
  rules.imbalance_bound = kImbalanceBound;
  return rules;
}

}  // namespace hawthorn::scheduling

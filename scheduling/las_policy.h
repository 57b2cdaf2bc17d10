#pragma once

#include "scheduling/policy.h"

namespace hawthorn::scheduling {

/// Least attained service: calls of the programs that, with their sub-agents,
/// have been served the fewest tokens go first. Ageing keeps long programs from
/// starving.
class LasPolicy {
 public:
  double Rank(QueuedCall& call);
  void OnDispatched(QueuedCall& call);
  PlacementRules placement() const;
};

}  // namespace hawthorn::scheduling

#pragma once

#include "scheduling/policy.h"

namespace hawthorn::scheduling {

/// Least attained service: calls of programs that were served least, with
/// their sub-agents, go first. Ageing keeps long programs from starving.
class LasPolicy {
 public:
  double Rank(QueuedCall& call);
  void OnDispatched(QueuedCall& call);
  PlacementRules placement() const;
};

}  // namespace hawthorn::scheduling

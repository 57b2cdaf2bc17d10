#pragma once

#include "scheduling/policy.h"

namespace hawthorn::scheduling {

/// First come, first served, on the least loaded upstream. The baseline that
/// other policies are compared with.
class FcfsPolicy {
 public:
  double Rank(QueuedCall& call);
  void OnDispatched(QueuedCall& call);
  PlacementRules placement() const;
};

}  // namespace hawthorn::scheduling

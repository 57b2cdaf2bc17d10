#pragma once

#include "scheduling/policy.h"

namespace hawthorn::scheduling {

/// First-come first-served with the least loaded upstream; the baseline.
class FcfsPolicy {
 public:
  double Rank(QueuedCall& call);
  void OnDispatched(QueuedCall& call);
  PlacementRules placement() const;
};

}  // namespace hawthorn::scheduling

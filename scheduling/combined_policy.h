#pragma once

#include "scheduling/fair_share.h"
#include "scheduling/policy.h"

namespace hawthorn::scheduling {

/// Combines attained service, fair share, classes and prefix affinity in one
/// rank. The unit is the second: each term ranks a call earlier or later than
/// its time of arrival by a bounded amount, so that no call starves.
class CombinedPolicy {
 public:
  /// `latency_weight` in [0, 1] is the weight of program latency against wasted
  /// cache.
  explicit CombinedPolicy(double latency_weight);

  double Rank(QueuedCall& call);
  void OnDispatched(QueuedCall& call);
  PlacementRules placement() const;

 private:
  double latency_weight_;
  FairShare share_;
};

}  // namespace hawthorn::scheduling

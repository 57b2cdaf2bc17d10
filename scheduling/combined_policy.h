#pragma once

#include "scheduling/fair_share.h"
#include "scheduling/policy.h"

namespace hawthorn::scheduling {

/// Attained service, fair share, classes and prefix affinity in one rank. Its
/// unit is the second: each term says how much earlier or later than its
/// arrival a call is served, and each is bounded, so that nothing starves.
class CombinedPolicy {
 public:
  /// `latency_weight` in [0, 1] weighs program latency against wasted cache.
  explicit CombinedPolicy(double latency_weight);

  double Rank(QueuedCall& call);
  void OnDispatched(QueuedCall& call);
  PlacementRules placement() const;

 private:
  double latency_weight_;
  FairShare share_;
};

}  // namespace hawthorn::scheduling

#pragma once

#include "scheduling/fair_share.h"
#include "scheduling/policy.h"

namespace hawthorn::scheduling {

/// Weighted fair share between organisations and classes, with ageing.
class FairPolicy {
 public:
  double Rank(QueuedCall& call);
  void OnDispatched(QueuedCall& call);
  PlacementRules placement() const;

 private:
  FairShare share_;
};

}  // namespace hawthorn::scheduling

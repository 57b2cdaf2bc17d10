#pragma once

#include "scheduling/policy.h"

namespace hawthorn::scheduling {

/// Order of arrival; an upstream that has cached a prefix of the prompt is
/// preferred while its load stays within a bound.
class PrefixPolicy {
 public:
  double Rank(QueuedCall& call);
  void OnDispatched(QueuedCall& call);
  PlacementRules placement() const;
};

}  // namespace hawthorn::scheduling

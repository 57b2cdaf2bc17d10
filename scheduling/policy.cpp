#include "scheduling/policy.h"

#include <chrono>

#include "scheduling/combined_policy.h"
#include "scheduling/fair_policy.h"
#include "scheduling/fcfs_policy.h"
#include "scheduling/las_policy.h"
#include "scheduling/prefix_policy.h"

namespace hawthorn::scheduling {

AnyPolicy MakePolicy(const PolicySettings& settings) {
  switch (settings.kind) {
    case PolicyKind::kLas:
      return AnyPolicy(LasPolicy());
    case PolicyKind::kFair:
      return AnyPolicy(FairPolicy());
    case PolicyKind::kPrefix:
      return AnyPolicy(PrefixPolicy());
    case PolicyKind::kCombined:
      return AnyPolicy(CombinedPolicy(settings.latency_weight));
    case PolicyKind::kFcfs:
      break;
  }
  return AnyPolicy(FcfsPolicy());
}

double ToSeconds(core::TimePoint now) {
  return std::chrono::duration<double>(now.time_since_epoch()).count();
}

}  // namespace hawthorn::scheduling

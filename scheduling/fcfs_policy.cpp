#include "scheduling/fcfs_policy.h"

namespace hawthorn::scheduling {

double FcfsPolicy::Rank(QueuedCall& call) { return ToSeconds(call.enqueued); }

void FcfsPolicy::OnDispatched(QueuedCall& /*call*/) {}

PlacementRules FcfsPolicy::placement() const { return {}; }

}  // namespace hawthorn::scheduling

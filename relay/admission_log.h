#pragma once

#include <set>
#include <vector>

#include "core/id.h"
#include "core/metrics.h"
#include "scheduling/shared_scheduler.h"

namespace hawthorn::relay {

/// Reports the admission control of all services: gauges, and a log record when
/// a service begins or ends to refuse programs.
class AdmissionLog {
 public:
  void Update(const std::vector<scheduling::SharedScheduler::Admission>& all,
              core::Metrics* metrics);

 private:
  std::set<core::ServiceId> overloaded_;
};

}  // namespace hawthorn::relay

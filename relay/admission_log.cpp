#include "relay/admission_log.h"

#include <algorithm>
#include <string>

#include "logging/log.h"

namespace hawthorn::relay {

void AdmissionLog::Update(
    const std::vector<scheduling::SharedScheduler::Admission>& all,
    core::Metrics* metrics) {
  double least_usable = 1;
  double most_stretch = 0;
  uint64_t refused = 0;
  for (const auto& it : all) {
    least_usable = std::min(least_usable, it.usable);
    most_stretch = std::max(most_stretch, it.stretch);
    refused += it.refused;
    const bool changed = it.is_refusing ? overloaded_.insert(it.service).second
                                        : overloaded_.erase(it.service) > 0;
    if (changed) {
      logging::Log(logging::LogLevel::kWarn,
                   it.is_refusing ? "service refuses programs"
                                  : "service admits all programs",
                   {{"service", it.service.text()},
                    {"usable_slots", std::to_string(it.usable)},
                    {"stretch", std::to_string(it.stretch)},
                    {"refused", std::to_string(it.refused)}});
    }
  }
  metrics->SetGauge("services_refusing_programs",
                    static_cast<double>(overloaded_.size()));
  metrics->SetGauge("admission_usable_slots_least", least_usable);
  metrics->SetGauge("admission_stretch_most", most_stretch);
  metrics->SetGauge("admission_refused", static_cast<double>(refused));
}

}  // namespace hawthorn::relay

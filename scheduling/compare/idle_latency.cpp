#include "scheduling/compare/idle_latency.h"

#include <algorithm>

namespace hawthorn::scheduling::compare {
namespace {

using Seconds = std::chrono::duration<double>;

Seconds CallSeconds(const EngineSettings& engine, const TrafficStep& step) {
  const Seconds step_length = engine.step_base + engine.step_per_sequence;
  const double outputs =
      static_cast<double>(std::max<int64_t>(1, step.output_tokens));
  const Seconds prefill = engine.prefill_per_token;
  const double prompts = static_cast<double>(step.new_prompt_tokens);
  Seconds total = outputs * step_length + prompts * prefill;
  if (step.new_prompt_tokens > 0) {
    total += engine.step_base;
  }
  return total;
}

}  // namespace

Seconds IdleLatency(const Traffic& traffic, const Profile& profile,
                    size_t program) {
  Seconds total{0};
  for (const TrafficStep& step : traffic.programs[program].steps) {
    total += step.pause;
    for (const ProfileService& service : profile.services) {
      if (service.id == step.service) {
        total += CallSeconds(service.engine, step);
      }
    }
    Seconds longest{0};
    for (const size_t child : step.children) {
      longest = std::max(longest, IdleLatency(traffic, profile, child));
    }
    total += longest;
  }
  return total;
}

}  // namespace hawthorn::scheduling::compare

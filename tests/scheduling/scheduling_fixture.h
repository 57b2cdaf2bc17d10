#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "scheduling/scheduler.h"

namespace hawthorn::scheduling {

inline constexpr core::TimePoint kStart =
    core::TimePoint(std::chrono::seconds(1000));

inline core::ServiceId Service() { return core::ServiceId("asistente"); }

/// A scheduler of zone "a" with the policy that `policy` names.
inline std::unique_ptr<Scheduler> MakeZone(const std::string& policy = "fcfs") {
  SchedulerSettings settings;
  settings.zone = core::ZoneId("a");
  auto scheduler = MakeScheduler(settings);
  scheduler->SetPolicy(Service(), core::Value(ParsePolicy(policy)), kStart);
  return scheduler;
}

inline UpstreamState Upstream(const std::string& id, uint32_t max_running,
                              const std::string& zone = "a") {
  UpstreamState state;
  state.id = core::UpstreamId(id);
  state.service = Service();
  state.zone = core::ZoneId(zone);
  state.max_running = max_running;
  state.cache_tokens = 100000;
  return state;
}

inline CallRequest Call(CallId id, const std::string& organisation = "o") {
  CallRequest call;
  call.id = id;
  call.program = core::ProgramId("p" + std::to_string(id));
  call.organisation = core::OrganisationId(organisation);
  call.service = Service();
  call.prompt_tokens = 100;
  call.max_output_tokens = 50;
  return call;
}

inline CallResult Done(CallId id,
                       CallOutcome outcome = CallOutcome::kSucceeded) {
  CallResult result;
  result.call = id;
  result.outcome = outcome;
  return result;
}

}  // namespace hawthorn::scheduling

#include "scheduling/scheduler.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <vector>

namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart = core::TimePoint(seconds(1000));

std::unique_ptr<Scheduler> MakeZone() {
  SchedulerSettings settings;
  settings.zone = core::ZoneId("a");
  return MakeScheduler(settings);
}

UpstreamState Upstream(const std::string& id, uint32_t max_running,
                       const std::string& zone = "a") {
  UpstreamState state;
  state.id = core::UpstreamId(id);
  state.service = core::ServiceId("asistente");
  state.zone = core::ZoneId(zone);
  state.max_running = max_running;
  state.cache_tokens = 100000;
  return state;
}

CallRequest Call(CallId id) {
  CallRequest call;
  call.id = id;
  call.program = core::ProgramId("p" + std::to_string(id));
  call.organisation = core::OrganisationId("o");
  call.service = core::ServiceId("asistente");
  call.prompt_tokens = 100;
  call.max_output_tokens = 50;
  return call;
}

TEST_CASE("first come first served keeps the order and the window") {
  const auto scheduler = MakeZone();
  scheduler->SetUpstream(Upstream("u1", 2), kStart);
  for (CallId id = 1; id <= 5; ++id) {
    REQUIRE(core::IsOk(scheduler->Enqueue(Call(id), kStart)));
  }
  auto sent = scheduler->Next(kStart);
  REQUIRE(sent.size() == 2);
  REQUIRE(sent[0].call == 1);
  REQUIRE(sent[1].call == 2);
  REQUIRE(scheduler->Next(kStart).empty());
  CallResult result;
  result.call = 1;
  scheduler->OnFinished(result, kStart + milliseconds(5));
  sent = scheduler->Next(kStart + milliseconds(5));
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].call == 3);
  REQUIRE(scheduler->queued() == 2);
}

}  // namespace
}  // namespace hawthorn::scheduling

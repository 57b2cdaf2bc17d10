#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduling/shared_scheduler.h"

namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;

const core::ServiceId kService("llm");
constexpr core::TimePoint kStart{std::chrono::hours(1)};

UpstreamState State(const std::string& id, const std::string& version,
                    bool leaving = false) {
  UpstreamState state;
  state.id = core::UpstreamId(id);
  state.service = kService;
  state.zone = core::ZoneId("a");
  state.max_running = 1;
  state.software_version = version;
  state.leaving = leaving;
  return state;
}

CallRequest Call(CallId id, std::optional<std::string> version,
                 bool continues = false) {
  CallRequest call;
  call.id = id;
  call.service = kService;
  call.attained_tokens = 100;
  call.software_version = std::move(version);
  call.continues_stream = continues;
  call.deadline = kStart + milliseconds(3000);
  return call;
}

std::vector<CallId> Dispatched(SharedScheduler* scheduler) {
  std::vector<CallId> calls;
  for (const Dispatch& it : scheduler->Next(kStart)) {
    calls.push_back(it.call);
  }
  return calls;
}

void Enqueue(SharedScheduler* scheduler, const CallRequest& call) {
  REQUIRE(core::IsOk(scheduler->Enqueue(call, kStart)));
}

// Guards against streams that wait behind calls of a version whose upstreams
// are full, and against new calls that take the room of a continued stream.
TEST_CASE("Each version has its own place in the queue") {
  SharedScheduler scheduler({});
  scheduler.SetUpstream(State("u", "v1"), kStart);
  scheduler.SetUpstream(State("w", "v2"), kStart);
  Enqueue(&scheduler, Call(1, "v1"));
  REQUIRE(Dispatched(&scheduler) == std::vector<CallId>{1});
  Enqueue(&scheduler, Call(2, "v1"));
  Enqueue(&scheduler, Call(3, "v1"));
  Enqueue(&scheduler, Call(4, "v1", true));
  Enqueue(&scheduler, Call(5, "v2"));
  CHECK(Dispatched(&scheduler) == std::vector<CallId>{5});
  CallResult result;
  result.call = 1;
  scheduler.OnFinished(result, kStart);
  CHECK(Dispatched(&scheduler) == std::vector<CallId>{4});
}

// Guards against stranding streams while their upstreams are only unreachable.
TEST_CASE("Only a stream that has begun waits for a suspended version") {
  SharedScheduler scheduler({});
  scheduler.SetUpstream(State("u", "v1"), kStart);
  scheduler.Suspend(core::UpstreamId("u"), kStart);
  // With nothing else left, a new stream waits too.
  Enqueue(&scheduler, Call(1, "v1"));
  scheduler.SetUpstream(State("w", "v2"), kStart);
  Enqueue(&scheduler, Call(2, "v1", true));
  CHECK(Dispatched(&scheduler).empty());
  const auto refused = scheduler.TakeRefused(kStart);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].call == 1);
  CHECK(refused[0].error.code == core::ErrorCode::kNotFound);
  scheduler.Resume(core::UpstreamId("u"));
  CHECK(Dispatched(&scheduler) == std::vector<CallId>{2});
}

TEST_CASE(
    "A version that drains or is gone is refused at once, without a time") {
  SharedScheduler scheduler({});
  scheduler.SetUpstream(State("u", "v1", true), kStart);
  scheduler.SetUpstream(State("w", "v2"), kStart);
  for (const char* version : {"v1", "v0"}) {
    const core::Status status =
        scheduler.Enqueue(Call(1, version, true), kStart);
    REQUIRE_FALSE(core::IsOk(status));
    CHECK(core::ErrorOf(status).code == core::ErrorCode::kNotFound);
    CHECK(core::ErrorOf(status).execution == core::Execution::kNotRun);
    CHECK_FALSE(core::ErrorOf(status).retry_after);
  }
  CHECK(scheduler.Versions(kService) == std::set<std::string>{"v2"});
  CHECK(scheduler.ProposeVersion(Call(2, std::nullopt), kStart) == "v2");
}

}  // namespace
}  // namespace hawthorn::scheduling

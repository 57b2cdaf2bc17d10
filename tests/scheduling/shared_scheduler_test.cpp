#include "scheduling/shared_scheduler.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;

const core::ServiceId kService("llm");

class Fixture {
 public:
  explicit Fixture(SharedScheduler::Settings settings = {})
      : scheduler(WithZone(std::move(settings))) {}

  static SharedScheduler::Settings WithZone(
      SharedScheduler::Settings settings) {
    settings.zone = core::ZoneId("a");
    return settings;
  }

  void AddUpstream(const std::string& id, const std::string& zone,
                   uint32_t max_running = 4, int64_t cache = 100000) {
    UpstreamState state;
    state.id = core::UpstreamId(id);
    state.service = kService;
    state.zone = core::ZoneId(zone);
    state.max_running = max_running;
    state.cache_tokens = cache;
    scheduler.SetUpstream(state);
  }

  CallRequest Call(CallId id, int64_t attained = 100,
                   uint32_t priority = 0) const {
    CallRequest call;
    call.id = id;
    call.service = kService;
    call.program = core::ProgramId("p" + std::to_string(id));
    call.attained_tokens = attained;
    call.priority = priority;
    call.prompt_tokens = 1000;
    call.deadline = now + milliseconds(3000);
    return call;
  }

  void Finish(CallId id, CallOutcome outcome = CallOutcome::kSucceeded) {
    CallResult result;
    result.call = id;
    result.outcome = outcome;
    scheduler.OnFinished(result, now);
  }

  SharedScheduler scheduler;
  core::TimePoint now{std::chrono::hours(1)};
};

TEST_CASE("A burst of calls fills upstreams of every zone before any waits") {
  Fixture it;
  it.AddUpstream("near", "a");
  it.AddUpstream("far", "b");
  for (CallId id = 1; id <= 8; ++id) {
    REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(id), it.now)));
  }
  std::map<std::string, int> counts;
  for (const Dispatch& dispatch : it.scheduler.Next(it.now)) {
    ++counts[dispatch.upstream.text()];
  }
  CHECK(counts["near"] == 4);
  CHECK(counts["far"] == 4);
}

TEST_CASE("Calls avoid an upstream that other instances load") {
  Fixture it;
  it.AddUpstream("near", "a");
  it.AddUpstream("far", "b");
  LoadReport report;
  report.taken_at = it.now;
  report.running = 4;
  report.waiting = 3;
  it.scheduler.OnReport(core::UpstreamId("near"), report);
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(1), it.now)));
  const auto dispatches = it.scheduler.Next(it.now);
  REQUIRE(dispatches.size() == 1);
  CHECK(dispatches[0].upstream.text() == "far");
}

TEST_CASE("Reports of a few upstreams reveal that the pool is overloaded") {
  Fixture it;
  for (int n = 0; n < 10; ++n) {
    it.AddUpstream("u" + std::to_string(n), "a");
  }
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(1, 0), it.now)));
  CHECK(it.scheduler.Next(it.now).size() == 1);
  // Other instances admit a burst; this one receives reports of only three
  // upstreams.
  it.now += milliseconds(100);
  for (const char* id : {"u0", "u1", "u2"}) {
    LoadReport report;
    report.taken_at = it.now;
    report.running = 4;
    report.waiting = 20;
    it.scheduler.OnReport(core::UpstreamId(id), report);
  }
  const auto refused = it.scheduler.Enqueue(it.Call(2, 0), it.now);
  REQUIRE_FALSE(core::IsOk(refused));
  CHECK(core::ErrorOf(refused).code == core::ErrorCode::kOverloaded);
  CHECK(core::ErrorOf(refused).execution == core::Execution::kNotRun);
  // The reports no longer count after a few seconds.
  it.now += milliseconds(5000);
  CHECK(core::IsOk(it.scheduler.Enqueue(it.Call(3, 0), it.now)));
}

TEST_CASE("Started programs go before new ones, then urgent calls first") {
  Fixture it;
  it.AddUpstream("only", "a", 1);
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(1), it.now)));
  REQUIRE(it.scheduler.Next(it.now).size() == 1);
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(2, 0, 0), it.now)));
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(3, 100, 1), it.now)));
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(4, 100, 0), it.now)));
  std::vector<CallId> order;
  for (CallId running = 1; order.size() < 3;) {
    it.Finish(running);
    const auto dispatches = it.scheduler.Next(it.now);
    REQUIRE(dispatches.size() == 1);
    running = dispatches[0].call;
    order.push_back(running);
  }
  CHECK(order == std::vector<CallId>{4, 3, 2});
}

TEST_CASE("A new program that would wait for long is refused at once") {
  Fixture it;
  it.AddUpstream("only", "a", 1);
  for (CallId id = 1; id <= 20; ++id) {
    REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(id), it.now)));
  }
  const core::Status status = it.scheduler.Enqueue(it.Call(21, 0), it.now);
  REQUIRE_FALSE(core::IsOk(status));
  CHECK(core::ErrorOf(status).execution == core::Execution::kNotRun);
  CHECK(core::ErrorOf(status).retry_after.has_value());
  CHECK(core::IsOk(it.scheduler.Enqueue(it.Call(22), it.now)));
}

TEST_CASE("An upstream that cannot be reached gets nothing until a check") {
  Fixture it;
  it.AddUpstream("near", "a");
  it.AddUpstream("far", "b");
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(1), it.now)));
  const auto first = it.scheduler.Next(it.now);
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].upstream.text() == "near");
  it.Finish(1, CallOutcome::kUnreachable);
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(2), it.now)));
  CHECK(it.scheduler.Next(it.now)[0].upstream.text() == "far");
  it.now += SharedPool::kLongestSuspension;
  CHECK(it.scheduler.DueChecks(it.now).size() == 1);
  it.scheduler.Resume(core::UpstreamId("near"));
  CHECK_FALSE(it.scheduler.HasSuspended());
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(3), it.now)));
  CHECK(it.scheduler.Next(it.now)[0].upstream.text() == "near");
}

TEST_CASE("The next turn goes to the upstream that has cached its prompt") {
  Fixture it;
  for (const char* id : {"u1", "u2", "u3", "u4"}) {
    it.AddUpstream(id, "a");
  }
  CallRequest first = it.Call(1);
  first.prefix = {{11, 500}, {12, 1000}};
  REQUIRE(core::IsOk(it.scheduler.Enqueue(first, it.now)));
  const auto dispatched = it.scheduler.Next(it.now);
  REQUIRE(dispatched.size() == 1);
  CallResult result;
  result.call = 1;
  result.produced = PrefixSegment{12, 1000};
  it.scheduler.OnFinished(result, it.now);
  CallRequest next = it.Call(2);
  next.prompt_tokens = 1500;
  next.prefix = {{11, 500}, {12, 1000}, {13, 1500}};
  REQUIRE(core::IsOk(it.scheduler.Enqueue(next, it.now)));
  CHECK(it.scheduler.Next(it.now)[0].upstream == dispatched[0].upstream);
}

TEST_CASE("A leaving upstream gets no call") {
  Fixture it;
  it.AddUpstream("near", "a");
  it.AddUpstream("far", "b");
  UpstreamState leaving;
  leaving.id = core::UpstreamId("near");
  leaving.service = kService;
  leaving.zone = core::ZoneId("a");
  leaving.max_running = 4;
  leaving.leaving = true;
  it.scheduler.SetUpstream(leaving);
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(1), it.now)));
  CHECK(it.scheduler.Next(it.now)[0].upstream.text() == "far");
}

TEST_CASE("A queued call whose deadline passes is refused as not run") {
  Fixture it;
  it.AddUpstream("only", "a", 1);
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(1), it.now)));
  REQUIRE(it.scheduler.Next(it.now).size() == 1);
  REQUIRE(core::IsOk(it.scheduler.Enqueue(it.Call(2), it.now)));
  it.now += milliseconds(3000);
  const auto refused = it.scheduler.TakeRefused(it.now);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].call == 2);
  CHECK(refused[0].error.execution == core::Execution::kNotRun);
  CHECK(it.scheduler.queued() == 0);
}

}  // namespace
}  // namespace hawthorn::scheduling

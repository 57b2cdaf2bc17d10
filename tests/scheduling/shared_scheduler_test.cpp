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
    scheduler.SetUpstream(state, now);
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
  Fixture fixture;
  fixture.AddUpstream("near", "a");
  fixture.AddUpstream("far", "b");
  for (CallId id = 1; id <= 8; ++id) {
    REQUIRE(
        core::IsOk(fixture.scheduler.Enqueue(fixture.Call(id), fixture.now)));
  }
  std::map<std::string, int> counts;
  for (const Dispatch& dispatch : fixture.scheduler.Next(fixture.now)) {
    ++counts[dispatch.upstream.text()];
  }
  CHECK(counts["near"] == 4);
  CHECK(counts["far"] == 4);
}

TEST_CASE("Calls avoid an upstream that other instances load") {
  Fixture fixture;
  fixture.AddUpstream("near", "a");
  fixture.AddUpstream("far", "b");
  LoadReport report;
  report.taken_at = fixture.now;
  report.running = 4;
  report.waiting = 3;
  fixture.scheduler.OnReport(core::UpstreamId("near"), report);
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(1), fixture.now)));
  const auto dispatches = fixture.scheduler.Next(fixture.now);
  REQUIRE(dispatches.size() == 1);
  CHECK(dispatches[0].upstream.text() == "far");
}

TEST_CASE("Reports of a few upstreams reveal that the pool is overloaded") {
  Fixture fixture;
  for (int n = 0; n < 10; ++n) {
    fixture.AddUpstream("u" + std::to_string(n), "a");
  }
  REQUIRE(
      core::IsOk(fixture.scheduler.Enqueue(fixture.Call(1, 0), fixture.now)));
  CHECK(fixture.scheduler.Next(fixture.now).size() == 1);
  // Other instances admit a burst; this one receives reports of only three
  // upstreams.
  fixture.now += milliseconds(100);
  for (const char* id : {"u0", "u1", "u2"}) {
    LoadReport report;
    report.taken_at = fixture.now;
    report.running = 4;
    report.waiting = 20;
    fixture.scheduler.OnReport(core::UpstreamId(id), report);
  }
  const auto refused =
      fixture.scheduler.Enqueue(fixture.Call(2, 0), fixture.now);
  REQUIRE_FALSE(core::IsOk(refused));
  CHECK(core::ErrorOf(refused).code == core::ErrorCode::kOverloaded);
  CHECK(core::ErrorOf(refused).execution == core::Execution::kNotRun);
  // The reports no longer count after a few seconds.
  fixture.now += milliseconds(5000);
  CHECK(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(3, 0), fixture.now)));
}

TEST_CASE("Started programs go before new ones, then urgent calls first") {
  Fixture fixture;
  fixture.AddUpstream("only", "a", 1);
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(1), fixture.now)));
  REQUIRE(fixture.scheduler.Next(fixture.now).size() == 1);
  REQUIRE(core::IsOk(
      fixture.scheduler.Enqueue(fixture.Call(2, 0, 0), fixture.now)));
  REQUIRE(core::IsOk(
      fixture.scheduler.Enqueue(fixture.Call(3, 100, 1), fixture.now)));
  REQUIRE(core::IsOk(
      fixture.scheduler.Enqueue(fixture.Call(4, 100, 0), fixture.now)));
  std::vector<CallId> order;
  for (CallId running = 1; order.size() < 3;) {
    fixture.Finish(running);
    const auto dispatches = fixture.scheduler.Next(fixture.now);
    REQUIRE(dispatches.size() == 1);
    running = dispatches[0].call;
    order.push_back(running);
  }
  CHECK(order == std::vector<CallId>{4, 3, 2});
}

TEST_CASE("A new program that would wait for long is refused at once") {
  Fixture fixture;
  fixture.AddUpstream("only", "a", 1);
  for (CallId id = 1; id <= 20; ++id) {
    REQUIRE(
        core::IsOk(fixture.scheduler.Enqueue(fixture.Call(id), fixture.now)));
  }
  const core::Status status =
      fixture.scheduler.Enqueue(fixture.Call(21, 0), fixture.now);
  REQUIRE_FALSE(core::IsOk(status));
  CHECK(core::ErrorOf(status).execution == core::Execution::kNotRun);
  CHECK(core::ErrorOf(status).retry_after.has_value());
  CHECK(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(22), fixture.now)));
}

TEST_CASE("An upstream that cannot be reached gets nothing until a check") {
  Fixture fixture;
  fixture.AddUpstream("near", "a");
  fixture.AddUpstream("far", "b");
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(1), fixture.now)));
  const auto first = fixture.scheduler.Next(fixture.now);
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].upstream.text() == "near");
  fixture.Finish(1, CallOutcome::kUnreachable);
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(2), fixture.now)));
  CHECK(fixture.scheduler.Next(fixture.now)[0].upstream.text() == "far");
  fixture.now += SharedPool::kLongestSuspension;
  CHECK(fixture.scheduler.DueChecks(fixture.now).size() == 1);
  fixture.scheduler.Resume(core::UpstreamId("near"));
  CHECK_FALSE(fixture.scheduler.HasSuspended());
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(3), fixture.now)));
  CHECK(fixture.scheduler.Next(fixture.now)[0].upstream.text() == "near");
}

TEST_CASE("The next turn goes to the upstream that has cached its prompt") {
  Fixture fixture;
  for (const char* id : {"u1", "u2", "u3", "u4"}) {
    fixture.AddUpstream(id, "a");
  }
  CallRequest first = fixture.Call(1);
  first.prefix = {{11, 500}, {12, 1000}};
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(first, fixture.now)));
  const auto dispatched = fixture.scheduler.Next(fixture.now);
  REQUIRE(dispatched.size() == 1);
  CallResult result;
  result.call = 1;
  result.produced = PrefixSegment{12, 1000};
  fixture.scheduler.OnFinished(result, fixture.now);
  CallRequest next = fixture.Call(2);
  next.prompt_tokens = 1500;
  next.prefix = {{11, 500}, {12, 1000}, {13, 1500}};
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(next, fixture.now)));
  CHECK(fixture.scheduler.Next(fixture.now)[0].upstream ==
        dispatched[0].upstream);
}

// The load of a burst that outlasted itself: each turn that left its upstream
// for a slightly emptier one was read there again and delayed a whole batch, so
// that no upstream became emptier.
TEST_CASE("A turn stays with its cached prompt while all upstreams are busy") {
  const auto second_turn_goes_to = [](uint32_t running_elsewhere) {
    Fixture fixture;
    fixture.AddUpstream("home", "a", 6);
    CallRequest first = fixture.Call(1);
    first.prefix = {{11, 500}, {12, 2500}};
    REQUIRE(core::IsOk(fixture.scheduler.Enqueue(first, fixture.now)));
    REQUIRE(fixture.scheduler.Next(fixture.now).size() == 1);
    CallResult result;
    result.call = 1;
    result.produced = PrefixSegment{12, 2500};
    fixture.scheduler.OnFinished(result, fixture.now);
    fixture.AddUpstream("other", "a", 6);
    fixture.now += milliseconds(1);
    for (const auto& [id, running] : std::map<std::string, uint32_t>{
             {"home", 6}, {"other", running_elsewhere}}) {
      LoadReport report;
      report.taken_at = fixture.now;
      report.running = running;
      fixture.scheduler.OnReport(core::UpstreamId(id), report);
    }
    CallRequest next = fixture.Call(2);
    // Without a program, only what was seen of the caches counts.
    next.program = core::ProgramId();
    next.prompt_tokens = 3000;
    next.prefix = {{11, 500}, {12, 2500}, {13, 3000}};
    REQUIRE(core::IsOk(fixture.scheduler.Enqueue(next, fixture.now)));
    return fixture.scheduler.Next(fixture.now).at(0).upstream.text();
  };
  CHECK(second_turn_goes_to(3) == "home");
  // An idle upstream reads the prompt sooner than its home has a slot.
  CHECK(second_turn_goes_to(0) == "other");
}

TEST_CASE("A leaving upstream gets no call") {
  Fixture fixture;
  fixture.AddUpstream("near", "a");
  fixture.AddUpstream("far", "b");
  UpstreamState leaving;
  leaving.id = core::UpstreamId("near");
  leaving.service = kService;
  leaving.zone = core::ZoneId("a");
  leaving.max_running = 4;
  leaving.leaving = true;
  fixture.scheduler.SetUpstream(leaving, fixture.now);
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(1), fixture.now)));
  CHECK(fixture.scheduler.Next(fixture.now)[0].upstream.text() == "far");
}

TEST_CASE("A queued call whose deadline passes is refused as not run") {
  Fixture fixture;
  fixture.AddUpstream("only", "a", 1);
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(1), fixture.now)));
  REQUIRE(fixture.scheduler.Next(fixture.now).size() == 1);
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(2), fixture.now)));
  fixture.now += milliseconds(3000);
  const auto refused = fixture.scheduler.TakeRefused(fixture.now);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].call == 2);
  CHECK(refused[0].error.execution == core::Execution::kNotRun);
  CHECK(fixture.scheduler.queued() == 0);
}

TEST_CASE("A call whose deadline passed while suspended is not sent") {
  Fixture fixture;
  fixture.AddUpstream("only", "a", 1);
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(1), fixture.now)));
  REQUIRE(fixture.scheduler.Next(fixture.now).size() == 1);
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(fixture.Call(2), fixture.now)));
  REQUIRE(fixture.scheduler.Next(fixture.now).empty());
  fixture.now += milliseconds(15000);
  fixture.Finish(1);
  CallRequest live = fixture.Call(3);
  REQUIRE(core::IsOk(fixture.scheduler.Enqueue(live, fixture.now)));
  const auto sent = fixture.scheduler.Next(fixture.now);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].call == 3);
  const auto refused = fixture.scheduler.TakeRefused(fixture.now);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].call == 2);
  CHECK(refused[0].error.execution == core::Execution::kNotRun);
  CHECK(fixture.scheduler.queued() == 0);
}

}  // namespace
}  // namespace hawthorn::scheduling

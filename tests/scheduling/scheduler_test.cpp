#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

#include "tests/scheduling/scheduling_fixture.h"

namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
  scheduler->OnFinished(Done(1), kStart + milliseconds(5));
  sent = scheduler->Next(kStart + milliseconds(5));
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].call == 3);
  REQUIRE(scheduler->queued() == 2);
}

TEST_CASE("least attained service goes first") {
  const auto scheduler = MakeZone("las");
  CallRequest old_program = Call(1);
  old_program.attained_tokens = 50000;
  REQUIRE(core::IsOk(scheduler->Enqueue(old_program, kStart)));
  REQUIRE(core::IsOk(scheduler->Enqueue(Call(2), kStart)));
  scheduler->SetUpstream(Upstream("u1", 1), kStart);
  REQUIRE(scheduler->Next(kStart).at(0).call == 2);
}

TEST_CASE("a call goes to the upstream that holds its prefix") {
  const auto scheduler = MakeZone("combined");
  scheduler->SetUpstream(Upstream("u1", 8), kStart);
  scheduler->SetUpstream(Upstream("u2", 8), kStart);
  const core::UpstreamId holder("u2");
  REQUIRE(scheduler->OnCacheEvent(holder, {1, true, {42, 90}}, kStart) ==
          CacheSync::kApplied);
  CallRequest call = Call(1);
  call.prefix = {{42, 90}};
  REQUIRE(core::IsOk(scheduler->Enqueue(call, kStart)));
  const auto sent = scheduler->Next(kStart);
  REQUIRE(sent.at(0).upstream == holder);
  REQUIRE(sent.at(0).cached_tokens == 90);
}

TEST_CASE("a gap in the cache events asks for a listing") {
  const auto scheduler = MakeZone("prefix");
  scheduler->SetUpstream(Upstream("u1", 8), kStart);
  const core::UpstreamId id("u1");
  REQUIRE(scheduler->OnCacheEvent(id, {1, true, {7, 10}}, kStart) ==
          CacheSync::kApplied);
  REQUIRE(scheduler->OnCacheEvent(id, {3, true, {8, 10}}, kStart) ==
          CacheSync::kNeedsListing);
  REQUIRE(scheduler->OnCacheEvent(id, {4, true, {9, 10}}, kStart) ==
          CacheSync::kNeedsListing);
  scheduler->OnCacheListing(id, {4, {{9, 10}}}, kStart);
  REQUIRE(scheduler->OnCacheEvent(id, {4, true, {9, 10}}, kStart) ==
          CacheSync::kIgnored);
  REQUIRE(scheduler->OnCacheEvent(id, {5, false, {9, 10}}, kStart) ==
          CacheSync::kApplied);
  REQUIRE(scheduler->counters().cache_gaps == 2);
}

TEST_CASE("a call whose deadline passes in the queue is refused at once") {
  const auto scheduler = MakeZone();
  CallRequest call = Call(1);
  call.deadline = kStart + seconds(2);
  REQUIRE(core::IsOk(scheduler->Enqueue(call, kStart)));
  REQUIRE(scheduler->TakeRefused(kStart + seconds(1)).empty());
  REQUIRE(scheduler->NextWakeUp(kStart) == kStart + seconds(2));
  const auto refused = scheduler->TakeRefused(kStart + seconds(2));
  REQUIRE(refused.size() == 1);
  REQUIRE(refused[0].error.code == core::ErrorCode::kDeadlineExceeded);
  REQUIRE(refused[0].error.execution == core::Execution::kNotRun);
  REQUIRE(refused[0].error.retry_after.has_value());
  REQUIRE(scheduler->queued() == 0);
}

TEST_CASE("a full backlog refuses calls with a retry_after") {
  SchedulerSettings settings;
  settings.zone = core::ZoneId("a");
  settings.max_queued_calls = 3;
  const auto scheduler = MakeScheduler(settings);
  for (CallId id = 1; id <= 3; ++id) {
    REQUIRE(core::IsOk(scheduler->Enqueue(Call(id), kStart)));
  }
  const core::Status refused = scheduler->Enqueue(Call(4), kStart);
  REQUIRE(core::ErrorOf(refused).code == core::ErrorCode::kOverloaded);
  REQUIRE(core::ErrorOf(refused).retry_after.has_value());
  REQUIRE(scheduler->Cancel(2, kStart));
  REQUIRE(core::IsOk(scheduler->Enqueue(Call(4), kStart)));
}

TEST_CASE("an overloaded service refuses new programs before running ones") {
  const auto scheduler = MakeZone();
  scheduler->SetUpstream(Upstream("u1", 1), kStart);
  REQUIRE(core::IsOk(scheduler->Enqueue(Call(1), kStart)));
  scheduler->Next(kStart);
  const core::TimePoint later = kStart + seconds(10);
  scheduler->OnFinished(Done(1), later);
  REQUIRE(core::IsOk(scheduler->Enqueue(Call(2), later)));
  const core::Status refused = scheduler->Enqueue(Call(3), later);
  REQUIRE(core::ErrorOf(refused).code == core::ErrorCode::kOverloaded);
  CallRequest running_program = Call(4);
  running_program.attained_tokens = 1;
  REQUIRE(core::IsOk(scheduler->Enqueue(running_program, later)));
  CallRequest hopeless = running_program;
  hopeless.id = 5;
  hopeless.deadline = later + seconds(5);
  const core::Status late = scheduler->Enqueue(hopeless, later);
  REQUIRE(core::ErrorOf(late).code == core::ErrorCode::kDeadlineExceeded);
}

TEST_CASE("calls spill to another zone only when the local one is full") {
  const auto scheduler = MakeZone();
  scheduler->SetUpstream(Upstream("near", 1), kStart);
  scheduler->SetUpstream(Upstream("far", 10, "b"), kStart);
  for (CallId id = 1; id <= 20; ++id) {
    REQUIRE(core::IsOk(scheduler->Enqueue(Call(id), kStart)));
  }
  const auto sent = scheduler->Next(kStart);
  REQUIRE(sent.at(0).upstream == core::UpstreamId("near"));
  REQUIRE_FALSE(sent.at(0).crosses_zone);
  REQUIRE(sent.at(1).crosses_zone);
  // kSpillLoad reserves a part of the window for calls of the other zone.
  REQUIRE(scheduler->counters().spilled > 0);
  REQUIRE(scheduler->counters().spilled < 10);
}

TEST_CASE("an isolated call runs alone on its upstream") {
  const auto scheduler = MakeZone();
  scheduler->SetUpstream(Upstream("u1", 4), kStart);
  REQUIRE(core::IsOk(scheduler->Enqueue(Call(1), kStart)));
  REQUIRE(scheduler->Next(kStart).size() == 1);
  CallRequest suspect = Call(2);
  suspect.isolate = true;
  REQUIRE(core::IsOk(scheduler->Enqueue(suspect, kStart)));
  REQUIRE(core::IsOk(scheduler->Enqueue(Call(3), kStart)));
  REQUIRE(scheduler->Next(kStart).empty());
  scheduler->OnFinished(Done(1), kStart);
  const auto alone = scheduler->Next(kStart);
  REQUIRE(alone.size() == 1);
  REQUIRE(alone[0].call == 2);
  scheduler->OnFinished(Done(2), kStart);
  REQUIRE(scheduler->Next(kStart).at(0).call == 3);
}

TEST_CASE("cancelling an isolated call releases its upstream") {
  const auto scheduler = MakeZone();
  scheduler->SetUpstream(Upstream("u1", 2), kStart);
  REQUIRE(core::IsOk(scheduler->Enqueue(Call(1), kStart)));
  REQUIRE(scheduler->Next(kStart).size() == 1);
  CallRequest suspect = Call(2);
  suspect.isolate = true;
  REQUIRE(core::IsOk(scheduler->Enqueue(suspect, kStart)));
  REQUIRE(scheduler->Next(kStart).empty());
  REQUIRE(scheduler->Cancel(2, kStart));
  REQUIRE(core::IsOk(scheduler->Enqueue(Call(3), kStart)));
  REQUIRE(scheduler->Next(kStart).size() == 1);
}

TEST_CASE("a retry avoids the upstream that failed unless it is the only one") {
  const auto scheduler = MakeZone();
  scheduler->SetUpstream(Upstream("u1", 4), kStart);
  CallRequest retry = Call(1);
  retry.excluded = {core::UpstreamId("u1")};
  REQUIRE(core::IsOk(scheduler->Enqueue(retry, kStart)));
  REQUIRE(scheduler->Next(kStart).size() == 1);
  scheduler->SetUpstream(Upstream("u2", 4), kStart);
  retry.id = 2;
  REQUIRE(core::IsOk(scheduler->Enqueue(retry, kStart)));
  REQUIRE(scheduler->Next(kStart).at(0).upstream == core::UpstreamId("u2"));
}

TEST_CASE("a failing upstream is ejected and readmitted with a slow start") {
  const auto scheduler = MakeZone();
  scheduler->SetUpstream(Upstream("bad", 10), kStart);
  scheduler->SetUpstream(Upstream("good", 10), kStart);
  CallId id = 0;
  const auto round = [&](core::TimePoint now) {
    int sent_to_bad = 0;
    for (int n = 0; n < 20; ++n) {
      scheduler->Enqueue(Call(++id), now);
    }
    for (const Dispatch& it : scheduler->Next(now)) {
      const bool bad = it.upstream == core::UpstreamId("bad");
      sent_to_bad += bad ? 1 : 0;
      scheduler->OnFinished(
          Done(it.call, bad && now == kStart ? CallOutcome::kFailed
                                             : CallOutcome::kSucceeded),
          now);
    }
    return sent_to_bad;
  };
  REQUIRE(round(kStart) == 10);
  REQUIRE(scheduler->counters().ejections == 1);
  REQUIRE(round(kStart + seconds(1)) == 0);
  const int restarted = round(kStart + seconds(6));
  REQUIRE(restarted > 0);
  REQUIRE(restarted < 10);
  REQUIRE(round(kStart + seconds(30)) == 10);
}

TEST_CASE(
    "retries are refused once the organisation's retry budget is exhausted") {
  const auto scheduler = MakeZone();
  RetryRequest request{core::OrganisationId("o"), Service(), 1};
  int allowed = 0;
  while (core::IsOk(scheduler->RetryDelay(request, kStart))) {
    ++allowed;
    REQUIRE(allowed < 100);
  }
  REQUIRE(allowed == 10);
  request.organisation = core::OrganisationId("other");
  REQUIRE(core::IsOk(scheduler->RetryDelay(request, kStart)));
  request.attempts = 4;
  REQUIRE_FALSE(core::IsOk(scheduler->RetryDelay(request, kStart)));
  REQUIRE(scheduler->counters().retries_refused == 2);
}

TEST_CASE("the window shrinks while the engine queues calls and grows again") {
  const auto scheduler = MakeZone();
  scheduler->SetUpstream(Upstream("u1", 10), kStart);
  for (CallId id = 1; id <= 40; ++id) {
    REQUIRE(core::IsOk(scheduler->Enqueue(Call(id), kStart)));
  }
  REQUIRE(scheduler->Next(kStart).size() == 10);
  const core::UpstreamId id("u1");
  scheduler->OnReport(id, {kStart + seconds(1), 6, 4, 0}, kStart + seconds(1));
  for (CallId call = 1; call <= 10; ++call) {
    scheduler->OnFinished(Done(call), kStart + seconds(2));
  }
  REQUIRE(scheduler->Next(kStart + seconds(2)).size() == 9);
  scheduler->OnReport(id, {kStart + seconds(3), 9, 0, 0}, kStart + seconds(3));
  REQUIRE(scheduler->Next(kStart + seconds(3)).size() == 1);
}

TEST_CASE("instances share a window and use what the others leave unused") {
  const auto scheduler = MakeZone();
  scheduler->SetInstanceCount(4, kStart);
  scheduler->SetUpstream(Upstream("u1", 16), kStart);
  for (CallId id = 1; id <= 40; ++id) {
    REQUIRE(core::IsOk(scheduler->Enqueue(Call(id), kStart)));
  }
  REQUIRE(scheduler->Next(kStart).size() == 4);
  scheduler->OnReport(core::UpstreamId("u1"),
                      {kStart + milliseconds(10), 6, 0, 0},
                      kStart + milliseconds(10));
  REQUIRE(scheduler->Next(kStart + milliseconds(10)).size() == 10);
}

TEST_CASE("a short pause holds the prefix and a program's end drops it") {
  const auto scheduler = MakeZone("combined:0.9");
  scheduler->SetUpstream(Upstream("u1", 4), kStart);
  REQUIRE(core::IsOk(scheduler->Enqueue(Call(1), kStart)));
  REQUIRE(scheduler->Next(kStart).size() == 1);
  CallResult result = Done(1);
  result.prompt_tokens = 5000;
  result.produced = PrefixSegment{77, 5100};
  scheduler->OnFinished(result, kStart);
  const core::ProgramId program("p1");
  const auto kept = scheduler->OnPause(program, seconds(2), kStart);
  REQUIRE(kept.action == PauseAction::kKeep);
  REQUIRE(kept.upstream == core::UpstreamId("u1"));
  REQUIRE(kept.lease > seconds(2));
  const auto too_long =
      scheduler->OnPause(program, std::chrono::hours(1), kStart);
  REQUIRE(too_long.action == PauseAction::kDrop);
  const auto drops = scheduler->OnProgramEnded(program, kStart);
  REQUIRE(drops.size() == 1);
  REQUIRE(drops[0].prefix.hash == 77);
  REQUIRE(scheduler->OnProgramEnded(program, kStart).empty());
}

TEST_CASE("an invalid policy is refused with the allowed names") {
  REQUIRE(core::Value(ParsePolicy("combined:0.8")).latency_weight == 0.8);
  for (const char* bad : {"fifo", "combined:2", "las:", ""}) {
    const auto parsed = ParsePolicy(bad);
    REQUIRE(core::ErrorOf(parsed).message.find("fcfs") != std::string::npos);
  }
}

}  // namespace
}  // namespace hawthorn::scheduling

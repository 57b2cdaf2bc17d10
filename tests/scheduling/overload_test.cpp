#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "scheduling/compare/shared_simulation.h"

// Loads of the users' platform on many instances and fake engines, each beside
// a baseline without admission control in the same run.
namespace hawthorn::scheduling::compare {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFrom{2000};
constexpr milliseconds kUntil{8000};

/// `rate` programs a second for 6 s, otherwise the usual 80.
SharedLoad Burst(double rate) {
  SharedLoad load;
  load.duration = milliseconds(15000);
  load.rate = [rate](milliseconds time) {
    return time >= kFrom && time < kUntil ? rate : 80.0;
  };
  return load;
}

SharedResult Run(SharedLoad load, bool admission = true) {
  load.scheduler.admission = admission;
  return SharedSimulation(load).Run(kFrom, kUntil);
}

// Guards against refusals at loads that the upstreams can run.
TEST_CASE("Twice the usual load is served as without admission control") {
  const SharedResult result = Run(Burst(160));
  CHECK(result.first_refusals == 0);
  CHECK(result.all.on_time == result.all.programs);
}

// Guards against a burst that makes all programs late together.
TEST_CASE("Of a burst of four times the usual most programs end on time") {
  const auto seed = GENERATE(1U, 2U, 3U);
  SharedLoad load = Burst(320);
  load.seed = seed;
  const SharedResult result = Run(load);
  const SharedResult baseline = Run(load, false);
  CAPTURE(result.all.Credit(), baseline.all.Credit());
  CHECK(result.all.Credit() > baseline.all.Credit() + 0.08);
  CHECK(result.all.late * 8 < result.all.programs);
  // What was begun is finished.
  CHECK(result.all.lost * 100 < result.all.programs);
}

// Guards against the same when the upstreams become fewer, and against programs
// that were begun on those that were lost and find no room elsewhere.
TEST_CASE("Without a third of the upstreams the rest serve on time") {
  SharedLoad load = Burst(200);
  load.lost_from = kFrom;
  load.lost_until = kUntil;
  const SharedResult result = Run(load);
  const SharedResult baseline = Run(load, false);
  CAPTURE(result.all.Credit(), baseline.all.Credit());
  CHECK(result.all.Credit() > baseline.all.Credit() + 0.1);
  CHECK(result.all.late * 8 < result.all.programs);
}

// Guards against urgent programs that are refused beside served ones of less
// urgent kinds, and against a kind that is not served at all.
TEST_CASE("Under overload urgent kinds are served first and none starves") {
  const auto kinds = GENERATE(2U, 4U);
  SharedLoad load = Burst(480);
  load.kinds = kinds;
  const SharedResult result = Run(load);
  const SharedResult baseline = Run(load, false);
  for (uint32_t kind = 1; kind < kinds; ++kind) {
    CAPTURE(kind);
    CHECK(result.by_kind.at(kind).Credit() <
          result.by_kind.at(kind - 1).Credit() + 0.05);
    CHECK(result.by_kind.at(kind).Credit() > result.all.Credit() / 4);
  }
  CHECK(result.by_kind.at(0).Credit() > baseline.by_kind.at(0).Credit() + 0.25);
  CHECK(result.all.Credit() > baseline.all.Credit() + 0.1);
}

// Guards against refused callers that return together and keep the service
// overloaded: six times the usual load, of which half is refused.
TEST_CASE("A storm of retries takes nothing from the admitted programs") {
  const SharedLoad load = Burst(480);
  const SharedResult result = Run(load);
  const SharedResult baseline = Run(load, false);
  CAPTURE(result.all.Credit(), baseline.all.Credit());
  CHECK(result.first_refusals > result.all.programs);
  CHECK(result.all.Credit() > baseline.all.Credit() + 0.15);
  CHECK(result.turn_refusals * 100 < result.all.programs);
  size_t most = 0;
  for (const auto& [time, callers] : result.returns) {
    most = std::max(most, callers);
  }
  // About 8 callers return in 10 ms on average.
  CHECK(most < 40);
}

// Guards against an instance that refuses programs by the load of the others
// although it gets few, or lets all of its own in as it sees little of theirs.
TEST_CASE("An instance with few callers serves as many as busy ones") {
  SharedOutcome few;
  SharedOutcome all;
  const auto add = [](SharedOutcome* sum, const SharedOutcome& it) {
    sum->programs += it.programs;
    sum->on_time += it.on_time;
    sum->late += it.late;
  };
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    SharedLoad load = Burst(400);
    load.seed = seed;
    load.last_instance_weight = 0.25;
    const SharedResult result = Run(load);
    add(&few, result.at_last_instance);
    add(&all, result.all);
  }
  CAPTURE(few.Credit(), all.Credit(), few.programs);
  CHECK(few.Credit() > all.Credit() - 0.2);
  CHECK(few.Credit() < all.Credit() + 0.2);
}

// Guards against programs that start sub-agents without end and, being begun,
// fill the slots for good.
TEST_CASE("Programs without end do not displace the others") {
  SharedLoad load = Burst(320);
  load.endless_share = 0.02;
  const SharedResult result = Run(load);
  const SharedResult baseline = Run(load, false);
  CAPTURE(result.all.Credit(), baseline.all.Credit());
  CHECK(result.all.Credit() > baseline.all.Credit() + 0.1);
}

}  // namespace
}  // namespace hawthorn::scheduling::compare

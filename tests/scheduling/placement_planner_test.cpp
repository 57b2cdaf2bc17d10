#include "scheduling/placement_planner.h"

#include <catch2/catch.hpp>
#include <string>

#include "tests/scheduling/scheduling_fixture.h"

namespace hawthorn::scheduling {
namespace {

using std::chrono::seconds;

PlacementPlanner MakePlanner() {
  PlacementPlanner planner(PlacementSettings{});
  for (int n = 0; n < 4; ++n) {
    planner.SetUpstream(core::UpstreamId("u" + std::to_string(n)), {"large"}, 1,
                        kStart);
  }
  return planner;
}

TEST_CASE("demand moves replicas one load at a time after the dwell time") {
  PlacementPlanner planner = MakePlanner();
  core::TimePoint now = kStart + seconds(200);
  planner.OnDemand("large", 100, now);
  planner.OnDemand("small", 100, now);
  // "small" has no replica, so its first load skips the dwell time.
  const auto first = planner.Plan(now);
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].model == "small");
  REQUIRE(first[0].replaces == "large");
  REQUIRE(planner.Plan(now).empty());
  REQUIRE(planner.loading() == 1);
  planner.OnOrderEnded(first[0].upstream, true, now);
  // It has one of four replicas and should have two; this shortage must last
  // for the dwell time.
  REQUIRE(planner.Plan(now).empty());
  REQUIRE(planner.Plan(now + seconds(29)).empty());
  const auto second = planner.Plan(now + seconds(30));
  REQUIRE(second.size() == 1);
  planner.OnOrderEnded(second[0].upstream, true, now + seconds(31));
  for (int n = 32; n < 300; n += 10) {
    REQUIRE(planner.Plan(now + seconds(n)).empty());
  }
}

TEST_CASE("small changes of demand move nothing") {
  PlacementPlanner planner = MakePlanner();
  core::TimePoint now = kStart + seconds(200);
  planner.OnDemand("large", 100, now);
  planner.OnDemand("small", 100, now);
  for (int n = 0; n < 20; ++n, now += seconds(10)) {
    for (const LoadOrder& it : planner.Plan(now)) {
      planner.OnOrderEnded(it.upstream, true, now);
    }
  }
  for (int n = 0; n < 200; ++n, now += seconds(5)) {
    planner.OnDemand("large", n % 2 == 0 ? 60 : 40, now);
    planner.OnDemand("small", n % 2 == 0 ? 40 : 60, now);
    REQUIRE(planner.Plan(now).empty());
  }
}

}  // namespace
}  // namespace hawthorn::scheduling

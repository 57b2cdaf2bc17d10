#define CATCH_CONFIG_RUNNER
#include <QCoreApplication>
#include <catch2/catch.hpp>
#include <memory>

#include "deployment_simulation.h"

namespace hawthorn::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

core::ManualClock& SimulatedClock() {
  static core::ManualClock clock;
  return clock;
}

test::VirtualTime& Time() {
  // The application deletes its dispatcher.
  static auto* time = new test::VirtualTime(SimulatedClock());
  return *time;
}

DeploymentSimulation::Options SlowControl(uint64_t seed) {
  DeploymentSimulation::Options options;
  options.seed = seed;
  options.control_cores = 0.06;
  return options;
}

/// Programs a second that the control instances of SlowControl can carry; half
/// of it with half of their processors.
constexpr double kCalm = 80;

double ServedShare(const SecondOfLoad& it) {
  return it.offered == 0 ? 0 : static_cast<double>(it.served) / it.offered;
}

/// Guards against a load that keeps itself up: calls that are not answered in
/// time are sent again and again, with all that was not confirmed before, so
/// that the leader never catches up after a burst.
TEST_CASE("Service returns by itself after a burst") {
  const uint64_t seed = GENERATE(1, 2, 3);
  DeploymentSimulation it(SlowControl(seed), Time(), SimulatedClock());
  REQUIRE(it.Start());
  it.Run(seconds(4), kCalm);
  it.Run(seconds(4), kCalm * 3);
  it.Run(seconds(10), kCalm);
  CAPTURE(seed);
  INFO(it.Describe());
  CHECK(ServedShare(it.Total(0, 3)) > 0.95);
  CHECK(ServedShare(it.Total(10, 16)) > 0.95);
}

/// Guards against a leader that commits late what nobody waits for any more
/// when more is asked of it than it can carry.
TEST_CASE("A leader that is asked for too much serves what it can") {
  const uint64_t seed = GENERATE(1, 2, 3);
  auto options = SlowControl(seed);
  options.control_cores /= 2;
  DeploymentSimulation it(options, Time(), SimulatedClock());
  REQUIRE(it.Start());
  it.Run(seconds(4), kCalm / 2);
  it.Run(seconds(10), kCalm * 1.5);
  it.Run(seconds(8), kCalm / 2);
  CAPTURE(seed);
  INFO(it.Describe());
  const SecondOfLoad overload = it.Total(6, 14);
  CHECK(overload.served > 0.75 * 8 * kCalm / 2);
  CHECK(overload.refusal_wait <
        overload.refused * DeploymentSimulation::kClaimTimeout / 4);
  CHECK(ServedShare(it.Total(16, 20)) > 0.95);
}

/// Guards against service that stays away after control instances, the leader
/// among them, fell behind during a burst, while all watches move.
TEST_CASE("Service returns after control instances fell behind in a burst") {
  const uint64_t seed = GENERATE(1, 2, 3);
  DeploymentSimulation it(SlowControl(seed), Time(), SimulatedClock());
  REQUIRE(it.Start());
  it.Run(seconds(3), kCalm);
  const size_t leader = it.Leader();
  REQUIRE(leader < it.control_count());
  it.Freeze(leader, seconds(4));
  it.Run(seconds(2), kCalm);
  const size_t slow = (leader + 1) % it.control_count();
  it.SetCores(slow, 0.005);
  it.Run(seconds(4), kCalm * 3);
  it.SetCores(slow, 0.06);
  it.Run(seconds(10), kCalm);
  CAPTURE(seed);
  INFO(it.Describe());
  CHECK(ServedShare(it.Total(11, 17)) > 0.95);
}

}  // namespace
}  // namespace hawthorn::cluster

int main(int argc, char** argv) {
  // A time of zero means that something has not happened yet.
  hawthorn::cluster::SimulatedClock().Advance(std::chrono::hours(1));
  QCoreApplication::setEventDispatcher(&hawthorn::cluster::Time());
  QCoreApplication application(argc, argv);
  return Catch::Session().run(argc, argv);
}

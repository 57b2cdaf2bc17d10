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

/// Programs a second that the control instances of SlowControl can carry.
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

}  // namespace
}  // namespace hawthorn::cluster

int main(int argc, char** argv) {
  // A time of zero means that something has not happened yet.
  hawthorn::cluster::SimulatedClock().Advance(std::chrono::hours(1));
  QCoreApplication::setEventDispatcher(&hawthorn::cluster::Time());
  QCoreApplication application(argc, argv);
  return Catch::Session().run(argc, argv);
}

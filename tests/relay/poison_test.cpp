#include <catch2/catch.hpp>
#include <string>

#include "poison_fixture.h"

namespace hawthorn::relay {
namespace {

// Guards against sending a request on that crashed three upstreams because
// another program sends it.
TEST_CASE(
    "A request that crashed three upstreams is refused from every program") {
  SharedDeployment it;
  for (int program = 0; program < 8; ++program) {
    CAPTURE(program);
    while (it.upstreams() < it.crashes() + 4) {
      it.AddUpstream();
    }
    const int status = it.Send(program % 3, SharedDeployment::kPoisonPath,
                               "p" + std::to_string(program));
    CHECK(status >= 500);
    REQUIRE(WaitFor([&] { return it.reports() >= it.crashes(); }));
  }
  CHECK(it.crashes() == control::CrashTable::Rule::kCrashLimit);
}

// Guards against refusing a harmless request because the crash of a single
// upstream was reported by several calls.
TEST_CASE(
    "The crash of one upstream counts once for a request, whoever reports it") {
  SharedDeployment it;
  it.AddUpstream();
  it.withhold_answers = true;
  for (size_t relay = 0; relay < 3; ++relay) {
    it.Start(relay, SharedDeployment::kSlowPath, "p");
  }
  REQUIRE(WaitFor([&] { return it.RequestCount() == 3; }));
  it.Crash(0);
  REQUIRE(WaitFor([&] { return it.reports() >= 3; }));
  it.withhold_answers = false;
  it.AddUpstream();
  CHECK(it.Send(0, SharedDeployment::kSlowPath, "p") == 200);
}

// Guards against refusing a request for good that upstreams run well, because
// it was running at three upstreams that crashed for other reasons.
TEST_CASE("A success clears a request of earlier crashes") {
  SharedDeployment it;
  for (size_t crashed = 0; crashed < 4; ++crashed) {
    CAPTURE(crashed);
    it.AddUpstream();
    it.withhold_answers = true;
    const size_t received = it.RequestCount();
    it.Start(crashed % 3, SharedDeployment::kSlowPath, "p");
    REQUIRE(WaitFor([&] { return it.RequestCount() > received; }));
    it.Crash(crashed);
    REQUIRE(WaitFor([&] { return it.reports() > crashed; }));
    it.withhold_answers = false;
    if (crashed % 2 == 1) {
      it.AddUpstream();
      CHECK(it.Send(0, SharedDeployment::kSlowPath, "q") == 200);
      CHECK(it.state().crashes().suspected().empty());
      it.Crash(it.upstreams() - 1);
    }
  }
  CHECK(it.state().crashes().poison().empty());
}

}  // namespace
}  // namespace hawthorn::relay

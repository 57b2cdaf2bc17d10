#include <catch2/catch.hpp>
#include <optional>
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

// Guards against a faulty request that has another body in each program: it
// crashed its upstreams under as many digests, beside innocent calls.
TEST_CASE(
    "known-red: A request that crashes under many bodies is refused by its "
    "target") {
  SharedDeployment it;
  it.has_leader = GENERATE(true, false);
  CAPTURE(it.has_leader);
  /// Crashes within 3 s of the third one.
  std::optional<size_t> settled;
  size_t refused = 0;
  for (size_t program = 0; program < 18; ++program) {
    while (it.upstreams() < it.crashes() + 4) {
      it.AddUpstream();
    }
    // Without a leader each instance learns by itself.
    const size_t relay = it.has_leader ? program % 3 : 0;
    const std::string name = "p" + std::to_string(program);
    it.Start(relay, SharedDeployment::kPoisonPath, name, "body of " + name);
    for (const char* path : {"/read/fine", "/once/fine"}) {
      if (it.Send(relay, path, name, "of " + name) == 503) {
        UNSCOPED_INFO(path << ": " << it.last_response());
        refused +=
            it.last_response().find("ends upstreams") != std::string::npos ? 1
                                                                           : 0;
      }
    }
    CHECK(it.Send(relay, SharedDeployment::kPoisonPath, name,
                  "body of " + name) >= 500);
    REQUIRE(WaitFor([&] { return it.reports() >= it.crashes(); }));
    if (!settled && it.crashes() >= control::CrashTable::Rule::kCrashLimit) {
      QElapsedTimer waited;
      waited.start();
      REQUIRE(WaitFor([&] { return waited.hasExpired(3000); }));
      settled = it.crashes();
    }
  }
  REQUIRE(settled);
  CHECK(it.crashes() <= *settled + 3);
  CHECK(refused == 0);
}

// Guards against refusing what ran at upstreams that were ended together.
TEST_CASE("Upstreams that are ended together refuse no request") {
  SharedDeployment it;
  it.withhold_answers = true;
  for (size_t n = 0; n < 6; ++n) {
    it.AddUpstream();
  }
  for (size_t n = 0; n < 12; ++n) {
    it.Start(n % 3, SharedDeployment::kSlowPath, "p", "b" + std::to_string(n));
  }
  REQUIRE(WaitFor([&] { return it.RequestCount() == 12; }));
  for (size_t n = 0; n < 6; ++n) {
    it.Crash(n);
  }
  REQUIRE(WaitFor([&] { return it.reports() >= 6; }));
  it.withhold_answers = false;
  it.AddUpstream();
  for (size_t relay = 0; relay < 3; ++relay) {
    CHECK(it.Send(relay, SharedDeployment::kSlowPath, "q", "other") == 200);
  }
  CHECK(it.state().crashes().AllRefused().empty());
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

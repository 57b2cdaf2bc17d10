#include <catch2/catch.hpp>
#include <string>

#include "relay_fixture.h"

namespace hawthorn::relay {
namespace {

using Step = ScriptedUpstream::Step;

/// Response with the load field of the platform.
Step WithLoad(const std::string& request, const std::string& load) {
  std::string response = SignedResponse(request, "done");
  response.insert(response.find("\r\n") + 2, "X-Server-Load: " + load + "\r\n");
  return {response};
}

/// Sends one call and waits for its response.
void Call(RelayFixture* it, int n) {
  Caller caller(it->port());
  caller.Send(RelayFixture::Request("/read/x", "r" + std::to_string(n)));
  REQUIRE(WaitFor(
      [&] { return caller.received().find("done") != std::string::npos; }));
}

}  // namespace

// A response named a slow upstream, and neither the next calls nor the other
// instances heard of it.
TEST_CASE("Calls avoid an upstream that says it is slow, and others learn it") {
  RelayFixture it;
  std::string load = "1,0,4,250";
  ScriptedUpstream slow(
      [&](const std::string& request) { return WithLoad(request, load); });
  it.AddUpstream("u1", slow.address());
  Call(&it, 1);
  REQUIRE(WaitFor([&] { return it.speeds.size() == 1; }));
  REQUIRE(it.speeds[0].speeds_size() == 1);
  CHECK(it.speeds[0].speeds(0).upstream() == "u1");
  CHECK(it.speeds[0].speeds(0).slowdown_percent() == 250);
  ScriptedUpstream usual([](const std::string& request) {
    return WithLoad(request, "1,0,4,100");
  });
  it.AddUpstream("u2", usual.address());
  for (int n = 2; n < 10; ++n) {
    Call(&it, n);
  }
  CHECK(slow.requests().size() == 1);
  CHECK(usual.requests().size() == 8);
  // It is not out of service.
  CHECK(it.metrics().CounterValue("relay_unreachable") == 0);
}

// News of another instance must count like an own measurement; bad news must
// not stop the good part of a message.
TEST_CASE("Calls avoid an upstream that another instance found slow") {
  RelayFixture it;
  const auto respond = [](const std::string& request) {
    return Step{SignedResponse(request, "done")};
  };
  ScriptedUpstream slow(respond);
  ScriptedUpstream usual(respond);
  it.AddUpstream("u1", slow.address());
  it.AddUpstream("u2", usual.address());
  schema::UpstreamSpeeds news;
  for (const char* upstream : {"unknown", "u1"}) {
    schema::UpstreamSpeed* speed = news.add_speeds();
    speed->set_upstream(upstream);
    speed->set_slowdown_percent(250);
    speed->set_age_ms(50);
  }
  it.relay().OnSpeeds(news);
  for (int n = 1; n < 5; ++n) {
    Call(&it, n);
  }
  CHECK(slow.requests().empty());
  CHECK(it.metrics().CounterValue("relay_speeds_ignored") == 1);
  CHECK(it.metrics().CounterValue("relay_speeds_learned") == 1);
  // These upstreams report no figure, so there is nothing to tell.
  CHECK(it.speeds.empty());
}

}  // namespace hawthorn::relay

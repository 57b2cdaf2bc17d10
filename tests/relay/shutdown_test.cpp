#include <QTimer>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "instance_fixture.h"

// Calls that are open when their instance is told to stop.
namespace hawthorn::relay {
namespace {

using Step = ScriptedUpstream::Step;

constexpr std::chrono::milliseconds kGrace{900};

bool IsNotRun(const Caller& caller) {
  return caller.received().starts_with("HTTP/1.1 503 ") &&
         caller.received().find("Retry-After: ") != std::string::npos;
}

/// Stops the relay, runs the event loop until its process would exit, and
/// returns the number of calls that would be cut off.
size_t CallsCutByStopping(RelayFixture& it) {
  std::optional<size_t> cut;
  it.relay().SetShutdownDeadline(core::SystemClock().Now() + kGrace);
  QTimer::singleShot(kGrace, Qt::PreciseTimer, &it.relay(),
                     [&] { cut = it.relay().open_calls(); });
  REQUIRE(WaitFor([&] { return cut.has_value(); }));
  return *cut;
}

/// Upstream that takes every request and answers none.
Step Nothing(const std::string&) { return {}; }

/// Upstream that begins each stream and never ends it.
Step Begin(const std::string& request) {
  return {StreamHead(request) + EventChunk(1)};
}

}  // namespace

// Calls whose deadline lay beyond the end of the process were cut off there
// without a response: also those that may not be repeated, and those that no
// upstream had been sent.
TEST_CASE("Every call has its response before the instance stops") {
  const std::string path = GENERATE("/once/x", "/read/x", "/turn/x");
  CAPTURE(path);
  RelayFixture it;
  ScriptedUpstream upstream(Nothing);
  it.AddUpstream("u", upstream.address());
  // More than the upstream runs at a time.
  constexpr size_t kCalls = 12;
  std::vector<std::unique_ptr<Caller>> callers;
  for (size_t n = 0; n < kCalls; ++n) {
    callers.push_back(std::make_unique<Caller>(it.port()));
    callers.back()->Send(RelayFixture::Request(path, std::to_string(n)));
  }
  REQUIRE(WaitFor([&] {
    return it.relay().open_calls() == kCalls && upstream.requests().size() >= 4;
  }));
  test::ProcessEvents();
  const size_t sent = upstream.requests().size();
  REQUIRE(sent < kCalls);
  CHECK(CallsCutByStopping(it) == 0);
  test::ProcessEvents();
  CHECK(upstream.requests().size() == sent);
  std::set<std::string> may_have_run;
  for (const std::string& request : upstream.requests()) {
    may_have_run.insert(IdOf(request));
  }
  for (size_t n = 0; n < kCalls; ++n) {
    CAPTURE(n, callers[n]->received());
    if (may_have_run.contains(std::to_string(n))) {
      // 503 would deny that it ran.
      CHECK(callers[n]->received().starts_with("HTTP/1.1 504 "));
    } else {
      CHECK(IsNotRun(*callers[n]));
    }
  }
}

// The same for exchanges that another instance carries out.
TEST_CASE("A forwarded call has its response before its instance stops") {
  ScriptedUpstream upstream(Nothing);
  ScriptedUpstream closed(Nothing);
  closed.StopListening();
  Instance cut("127.0.0.61");
  Instance whole("127.0.0.62");
  cut.SetForwarders({&whole});
  cut.relay.AddUpstream("u", closed.address());
  whole.relay.AddUpstream("u", upstream.address());
  Caller caller(cut.relay.port());
  caller.Send(RelayFixture::Request("/once/x", "r1"));
  REQUIRE(WaitFor([&] { return upstream.requests().size() == 1; }));
  CHECK(CallsCutByStopping(cut.relay) == 0);
  test::ProcessEvents();
  CHECK(caller.received().starts_with("HTTP/1.1 504 "));
  CHECK(upstream.requests().size() == 1);
  CHECK(WaitFor([&] { return whole.relay.relay().open_forwarded() == 0; }));
}

// A stream that is cut off by the end of the process must not look complete.
TEST_CASE("A stream that outlasts its instance breaks off") {
  const std::string version = GENERATE("1.0", "1.1");
  CAPTURE(version);
  RelayFixture it;
  ScriptedUpstream upstream(Begin);
  it.AddUpstream("u", upstream.address());
  Caller caller(it.port());
  std::string request = RelayFixture::Request("/turn/x", "r1");
  request.replace(request.find("HTTP/1.1") + 5, 3, version);
  caller.Send(request);
  REQUIRE(WaitFor(
      [&] { return caller.received().find("e1") != std::string::npos; }));
  CHECK(CallsCutByStopping(it) == 0);
  REQUIRE(WaitFor([&] { return caller.ended(); }));
  CHECK(caller.reset());
  CHECK_FALSE(caller.received().ends_with("0\r\n\r\n"));
}

// Guards against ending calls at the start of the grace period.
TEST_CASE("A call that ends in time is not cut by the stop of its instance") {
  RelayFixture it;
  ScriptedUpstream upstream(Nothing);
  it.AddUpstream("u", upstream.address());
  Caller caller(it.port());
  caller.Send(RelayFixture::Request("/once/x", "r1"));
  REQUIRE(WaitFor([&] { return upstream.requests().size() == 1; }));
  it.relay().SetShutdownDeadline(core::SystemClock().Now() +
                                 std::chrono::seconds(30));
  upstream.SendOn(0, SignedResponse(upstream.requests()[0], "done"));
  CHECK(WaitFor([&] { return caller.received().ends_with("done"); }));
}

// An instance that stops must not take an exchange of another one, and the call
// must go on elsewhere.
TEST_CASE("A call passes over an instance that stops") {
  ScriptedUpstream upstream([](const std::string& request) -> Step {
    return {SignedResponse(request, "done")};
  });
  ScriptedUpstream closed(Nothing);
  closed.StopListening();
  Instance cut("127.0.0.63");
  Instance stopping("127.0.0.64");
  Instance whole("127.0.0.65");
  cut.SetForwarders({&stopping, &whole});
  cut.relay.AddUpstream("u", closed.address());
  for (Instance* it : {&stopping, &whole}) {
    it->relay.AddUpstream("u", upstream.address());
  }
  stopping.relay.relay().DrainForwarding();
  for (int n = 0; n < 4; ++n) {
    Caller caller(cut.relay.port());
    caller.Send(RelayFixture::Request("/once/x", "r" + std::to_string(n)));
    REQUIRE(WaitFor([&] { return caller.received().ends_with("done"); }));
  }
  CHECK(upstream.requests().size() == 4);
  CHECK(stopping.Count("relay_forwarded_for_others") == 0);
}

}  // namespace hawthorn::relay

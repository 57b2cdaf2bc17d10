// Relays whose connections to an upstream are accepted and never answered.
#include <QElapsedTimer>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "instance_fixture.h"
#include "relay/silence_watch.h"

namespace hawthorn::relay {
namespace {

using std::chrono::milliseconds;

ScriptedUpstream::Step Answer(const std::string& request) {
  if (request.find(" /turn/") != std::string::npos) {
    return {StreamHead(request) + EventChunk(1) + "0\r\n\r\n"};
  }
  return {SignedResponse(request, "done")};
}

bool Has(const Caller& caller, const std::string& text) {
  return caller.received().find(text) != std::string::npos;
}

/// An instance with a half-open path to an upstream, and one that reaches it.
struct HalfOpenAndWhole {
  HalfOpenAndWhole()
      : upstream(Answer),
        silent([](const std::string&) { return ScriptedUpstream::Step{}; }),
        cut("127.0.0.41"),
        whole("127.0.0.42") {
    silent.answers_probes = false;
    cut.SetForwarders({&whole});
    cut.relay.AddUpstream("u1", silent.address());
    whole.relay.AddUpstream("u1", upstream.address());
  }

  ScriptedUpstream upstream;
  /// Far end of the half-open path.
  ScriptedUpstream silent;
  Instance cut;
  Instance whole;
};

// Guards against callers that wait for their deadlines at an instance whose
// connections are accepted and never answered.
TEST_CASE("A call leaves a half-open path, and later ones do not take it") {
  HalfOpenAndWhole fleet;
  for (const char* path : {"/read/1", "/turn/1", "/once/1"}) {
    CAPTURE(path);
    Caller caller(fleet.cut.relay.port());
    caller.Send(RelayFixture::Request(path, path, "X-Deadline-Ms: 3000\r\n"));
    REQUIRE(WaitFor([&] { return Has(caller, "\r\n\r\n"); }));
    CHECK(Has(caller, "200"));
  }
  CHECK(fleet.silent.requests().size() == 1);
  CHECK(fleet.upstream.requests().size() == 3);
  CHECK(fleet.cut.Count("relay_paths_half_open") == 1);
}

// Guards against taking connections for the proof that the path is whole, and
// against staying on a detour.
TEST_CASE("A half-open path is used again once it is answered") {
  HalfOpenAndWhole fleet;
  Caller caller(fleet.cut.relay.port());
  caller.Send(
      RelayFixture::Request("/read/1", "r1", "X-Deadline-Ms: 3000\r\n"));
  REQUIRE(WaitFor([&] { return Has(caller, "done"); }));
  QElapsedTimer waited;
  waited.start();
  REQUIRE(WaitFor([&] { return waited.hasExpired(1500); }));
  CHECK(fleet.cut.Count("relay_paths_direct_again") == 0);
  // Malformed bytes prove that the path works, too.
  const std::string response =
      GENERATE("", "HTTP/1.1 000 Status\r\nContent-Length: 0\r\n\r\n",
               "no response at all\r\n");
  CAPTURE(response);
  if (!response.empty()) {
    fleet.silent.probe_response = response;
  }
  fleet.silent.answers_probes = true;
  CHECK(WaitFor(
      [&] { return fleet.cut.Count("relay_paths_direct_again") == 1; }));
}

// Guards against running a call twice because its upstream paused, or took its
// time, for a second or two.
TEST_CASE("An upstream that is silent and goes on keeps its calls") {
  const bool is_paused = GENERATE(true, false);
  CAPTURE(is_paused);
  ScriptedUpstream upstream(
      [](const std::string&) { return ScriptedUpstream::Step{}; });
  upstream.answers_probes = !is_paused;
  Instance one("127.0.0.43");
  Instance other("127.0.0.44");
  one.SetForwarders({&other});
  one.relay.AddUpstream("u1", upstream.address());
  other.relay.AddUpstream("u1", upstream.address());
  Caller caller(one.relay.port());
  caller.Send(RelayFixture::Request("/turn/1", "r1"));
  QElapsedTimer waited;
  waited.start();
  REQUIRE(WaitFor([&] { return waited.hasExpired(2500); }));
  REQUIRE(upstream.requests().size() == 1);
  upstream.SendOn(0, Answer(upstream.requests()[0]).bytes);
  REQUIRE(WaitFor([&] { return Has(caller, "0\r\n\r\n"); }));
  CHECK(Has(caller, "200"));
  CHECK(one.Count("relay_paths_half_open") == 0);
  CHECK(upstream.connections() <= 5);
}

// Guards against asking sound upstreams for answers all the time.
TEST_CASE("An upstream is asked for an answer only after a long silence") {
  SilenceWatch watch;
  const core::TimePoint sent{std::chrono::seconds(100)};
  const core::TimePoint before = sent - milliseconds(1);
  const core::TimePoint after = sent + milliseconds(1);
  const auto zone = SilenceWatch::kZoneSilence;
  const auto single = SilenceWatch::kUpstreamSilence;
  CHECK_FALSE(watch.TakeQuestion("u", sent, {after, after}, sent + single));
  CHECK_FALSE(watch.TakeQuestion("u", sent, {before, before},
                                 sent + zone - milliseconds(1)));
  CHECK_FALSE(watch.TakeQuestion("u", sent, {before, after}, sent + zone));
  CHECK(watch.TakeQuestion("u", sent, {before, before}, sent + zone));
  CHECK(watch.TakeQuestion("v", sent, {before, after}, sent + single));
  CHECK_FALSE(watch.TakeQuestion("u", sent, {before, before}, sent + single));
  CHECK(watch.TakeQuestion("u", sent, {before, before},
                           sent + zone + SilenceWatch::kInterval));
}

}  // namespace
}  // namespace hawthorn::relay

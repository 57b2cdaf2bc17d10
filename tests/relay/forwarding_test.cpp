// Relays that cannot reach an upstream, and others that carry their exchanges
// out.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "instance_fixture.h"

namespace hawthorn::relay {
namespace {

/// Address that refuses connections.
std::string RefusingAddress() {
  ScriptedUpstream closed(
      [](const std::string&) { return ScriptedUpstream::Step{}; });
  closed.StopListening();
  return closed.address();
}

/// An instance that the upstream refuses, and one that reaches it.
struct CutAndWhole {
  explicit CutAndWhole(const ScriptedUpstream& upstream)
      : cut("127.0.0.21"), whole("127.0.0.22") {
    cut.SetForwarders({&whole});
    cut.relay.AddUpstream("u1", RefusingAddress());
    whole.relay.AddUpstream("u1", upstream.address());
  }

  Instance cut;
  Instance whole;
};

/// Upstream that resets its first request and refuses connections from then on.
std::shared_ptr<ScriptedUpstream> CrashingUpstream() {
  const auto self = std::make_shared<std::weak_ptr<ScriptedUpstream>>();
  auto upstream =
      std::make_shared<ScriptedUpstream>([self](const std::string&) {
        if (const auto it = self->lock()) {
          it->StopListening();
        }
        return ScriptedUpstream::Step{"", true};
      });
  *self = upstream;
  return upstream;
}

ScriptedUpstream::Step Answer(const std::string& request) {
  if (request.find(" /turn/") != std::string::npos) {
    return {StreamHead(request) + EventChunk(1) + "0\r\n\r\n"};
  }
  return {SignedResponse(request, "done")};
}

bool Has(const Caller& caller, const std::string& text) {
  return caller.received().find(text) != std::string::npos;
}

// A call at an instance that its upstream refuses failed, though another
// instance reaches the upstream.
TEST_CASE("A call reaches its upstream through another instance") {
  ScriptedUpstream upstream(Answer);
  CutAndWhole fleet(upstream);
  for (const char* path : {"/read/1", "/once/1", "/turn/1"}) {
    Caller caller(fleet.cut.relay.port());
    caller.Send(RelayFixture::Request(path, path, "X-Deadline-Ms: 900\r\n"));
    const std::string end =
        std::string(path) == "/turn/1" ? "0\r\n\r\n" : "done";
    REQUIRE(WaitFor([&] { return Has(caller, end); }));
    CHECK(Has(caller, "200"));
  }
  REQUIRE(upstream.requests().size() == 3);
  const auto request =
      transport::ParseFramedRequest(upstream.requests().front());
  const int left =
      std::stoi(*transport::FindField(request.fields, "X-Deadline-Ms"));
  CHECK(left > 0);
  CHECK(left <= 900);
  CHECK(fleet.cut.Count("relay_forwarded") == 3);
}

// The upstream went on working on a call whose caller had left the instance
// that forwarded it.
TEST_CASE("A caller that leaves ends its forwarded call at the upstream") {
  ScriptedUpstream upstream(
      [](const std::string&) { return ScriptedUpstream::Step{}; });
  CutAndWhole fleet(upstream);
  Caller caller(fleet.cut.relay.port());
  caller.Send(RelayFixture::Request("/turn/1", "r1"));
  REQUIRE(WaitFor([&] { return upstream.requests().size() == 1; }));
  caller.Disconnect();
  CHECK(WaitFor([&] { return upstream.closed_by_peer() == 1; }));
  CHECK(
      WaitFor([&] { return fleet.whole.relay.relay().open_forwarded() == 0; }));
}

// Two partitioned instances must not pass a call to each other.
TEST_CASE("An exchange is not forwarded twice") {
  Instance one("127.0.0.23");
  Instance other("127.0.0.24");
  one.SetForwarders({&other});
  other.SetForwarders({&one});
  one.relay.AddUpstream("u1", RefusingAddress());
  other.relay.AddUpstream("u1", RefusingAddress());
  Caller caller(one.relay.port());
  caller.Send(RelayFixture::Request("/read/1", "r1", "X-Deadline-Ms: 800\r\n"));
  REQUIRE(WaitFor([&] { return Has(caller, "503"); }));
  CHECK(one.Count("relay_forwarded_for_others") == 0);
  CHECK(other.Count("relay_forwarded_for_others") == 0);
  CHECK(one.Count("relay_paths_forwarded") == 0);
}

// A call that must not run twice may have run when the instance that carries it
// out fails.
TEST_CASE("A call that must not run twice is sent once if its forwarder ends") {
  ScriptedUpstream upstream(
      [](const std::string&) { return ScriptedUpstream::Step{}; });
  CutAndWhole fleet(upstream);
  Instance third("127.0.0.25");
  third.relay.AddUpstream("u1", upstream.address());
  Caller caller(fleet.cut.relay.port());
  caller.Send(RelayFixture::Request("/once/1", "r1"));
  REQUIRE(WaitFor([&] { return upstream.requests().size() == 1; }));
  fleet.cut.SetForwarders({&fleet.whole, &third});
  fleet.whole.peers.reset();
  REQUIRE(WaitFor([&] { return Has(caller, "\r\n\r\n"); }));
  CHECK(Has(caller, "502"));
  test::ProcessEvents();
  CHECK(upstream.requests().size() == 1);
}

// A call ran at two upstreams although its route allows one, since the check of
// its link failed with the instance that carried it out.
TEST_CASE("A call whose forwarder hangs stays at its upstream") {
  ScriptedUpstream upstream([n = 0](const std::string& request) mutable {
    return ++n == 1 ? ScriptedUpstream::Step{}
                    : ScriptedUpstream::Step{StreamHead(request) +
                                             EventChunk(1) + "0\r\n\r\n"};
  });
  ScriptedUpstream idle(Answer);
  CutAndWhole fleet(upstream);
  Caller caller(fleet.cut.relay.port());
  caller.Send(RelayFixture::Request("/turn/1", "r1"));
  REQUIRE(WaitFor([&] { return upstream.requests().size() == 1; }));
  Instance third("127.0.0.26");
  third.relay.AddUpstream("u1", upstream.address());
  third.relay.AddUpstream("u2", idle.address());
  fleet.cut.relay.AddUpstream("u2", idle.address());
  fleet.cut.SetForwarders({&fleet.whole, &third});
  fleet.whole.peers->CutLinks({core::InstanceId(fleet.cut.ip)});
  REQUIRE(WaitFor([&] { return Has(caller, "0\r\n\r\n"); }));
  CHECK(Has(caller, "200"));
  CHECK(upstream.requests().size() == 2);
  CHECK(idle.requests().empty());
}

// An upstream that pauses or ends is unreachable for all instances; calls must
// not be sent around among them.
TEST_CASE("An upstream that nobody reaches is not forwarded to") {
  Instance one("127.0.0.27");
  Instance other("127.0.0.28");
  ScriptedUpstream sound(Answer);
  one.SetForwarders({&other});
  const std::string refusing = RefusingAddress();
  one.relay.AddUpstream("u1", refusing);
  other.relay.AddUpstream("u1", refusing);
  other.relay.AddUpstream("u2", sound.address());
  Caller elsewhere(other.relay.port());
  elsewhere.Send(RelayFixture::Request("/read/0", "r0"));
  REQUIRE(WaitFor([&] { return Has(elsewhere, "done"); }));
  Caller caller(one.relay.port());
  caller.Send(RelayFixture::Request("/read/1", "r1", "X-Deadline-Ms: 700\r\n"));
  REQUIRE(WaitFor([&] { return Has(caller, "503"); }));
  CHECK(one.Count("relay_paths_forwarded") == 0);
  CHECK(one.Count("relay_forwarded") == 0);
}

// Connections of a partitioned instance are reset and refused. It reported each
// of its calls as one that had crashed its upstream.
TEST_CASE("A partitioned instance reports no crash of an upstream") {
  const auto resetting = CrashingUpstream();
  Instance cut("127.0.0.29");
  Instance whole("127.0.0.30");
  cut.SetForwarders({&whole});
  cut.relay.AddUpstream("u1", resetting->address());
  ScriptedUpstream good(Answer);
  whole.relay.AddUpstream("u1", good.address());
  Caller caller(cut.relay.port());
  caller.Send(RelayFixture::Request("/read/0", "r0"));
  REQUIRE(WaitFor([&] { return Has(caller, "\r\n\r\n"); }));
  test::ProcessEvents();
  CHECK(resetting->requests().size() == 1);
  CHECK(Has(caller, "done"));
  CHECK(cut.relay.crashes.empty());
}

// Three partitioned instances were taken for the proof that an upstream has
// crashed.
TEST_CASE("An instance that reaches no upstream proves no crash") {
  const auto resetting = CrashingUpstream();
  Instance cut("127.0.0.31");
  Instance other("127.0.0.32");
  cut.SetForwarders({&other});
  cut.relay.AddUpstream("u1", resetting->address());
  other.relay.AddUpstream("u1", RefusingAddress());
  Caller caller(cut.relay.port());
  caller.Send(RelayFixture::Request("/read/0", "r0"));
  REQUIRE(WaitFor([&] { return Has(caller, "502"); }));
  test::ProcessEvents();
  CHECK(cut.relay.crashes.empty());
}

// The word of instances that made no call for a while did not count, so that a
// call stayed with an upstream that had crashed.
TEST_CASE("A crash is believed though no instance made a call for long") {
  const auto crashing = CrashingUpstream();
  ScriptedUpstream sound(Answer);
  Instance one("127.0.0.33");
  Instance other("127.0.0.34");
  one.SetForwarders({&other});
  for (Instance* it : {&one, &other}) {
    it->relay.AddUpstream("u1", crashing->address());
    it->relay.AddUpstream("u2", sound.address());
  }
  int n = 0;
  while (crashing->requests().empty()) {
    Caller caller(one.relay.port());
    caller.Send(RelayFixture::Request("/turn/1", "r" + std::to_string(++n)));
    REQUIRE(WaitFor([&] { return Has(caller, "0\r\n\r\n"); }));
    CHECK(Has(caller, "200"));
    QElapsedTimer idle;
    idle.start();
    REQUIRE(WaitFor(
        [&] { return idle.hasExpired(2 * Relay::kContactTime.count()); }));
  }
  CHECK(crashing->requests().size() == 1);
  CHECK(WaitFor([&] { return one.relay.crashes.size() == 1; }));
  CHECK(one.Count("relay_paths_forwarded") == 0);
}

// A call that met the connection limit of its own instance suspended a sound
// upstream for all calls.
TEST_CASE("A call beyond the connection limit does not suspend the upstream") {
  ScriptedUpstream upstream(
      [](const std::string&) { return ScriptedUpstream::Step{}; });
  RelayFixture relay;
  relay.SetConnectionLimit(4);
  relay.AddUpstream("u1", upstream.address());
  std::vector<std::unique_ptr<Caller>> callers;
  for (int n = 0; n < 5; ++n) {
    callers.push_back(std::make_unique<Caller>(relay.port()));
    callers.back()->Send(
        RelayFixture::Request("/once/1", "r" + std::to_string(n)));
    REQUIRE(WaitFor([&] {
      return upstream.requests().size() == static_cast<size_t>(n) + 1 ||
             Has(*callers.back(), "503");
    }));
  }
  CHECK(Has(*callers.back(), "connection limit"));
  CHECK(relay.metrics().CounterValue("relay_unreachable") == 0);
  upstream.SendOn(0, SignedResponse(upstream.requests()[0], "done"));
  REQUIRE(WaitFor([&] { return Has(*callers[0], "done"); }));
  Caller next(relay.port());
  next.Send(RelayFixture::Request("/once/1", "r9"));
  CHECK(WaitFor([&] { return upstream.requests().size() == 5; }));
}

// A caller that does not read made the instances between it and the upstream
// hold the whole response.
TEST_CASE("A slow caller pauses a forwarded response") {
  constexpr size_t kBodyBytes = size_t{48} * 1024 * 1024;
  ScriptedUpstream upstream([](const std::string& request) {
    return ScriptedUpstream::Step{
        SignedResponse(request, std::string(kBodyBytes, 'x'))};
  });
  CutAndWhole fleet(upstream);
  Caller caller(fleet.cut.relay.port());
  caller.SetReading(false);
  caller.Send(RelayFixture::Request("/read/1", "r1"));
  REQUIRE(WaitFor([&] { return upstream.requests().size() == 1; }));
  size_t before = 0;
  REQUIRE(WaitFor([&] {
    // Checks of the upstream open further connections.
    size_t pending = 0;
    for (size_t n = 0; n < upstream.connections(); ++n) {
      pending = std::max(pending, upstream.PendingOn(n));
    }
    test::ProcessEvents();
    return pending > 0 && pending == std::exchange(before, pending);
  }));
  CHECK(before > kBodyBytes / 2);
  caller.SetReading(true);
  REQUIRE(WaitFor([&] { return caller.received().size() > kBodyBytes; }));
  CHECK(Has(caller, "200"));
}

}  // namespace
}  // namespace hawthorn::relay

#include <catch2/catch.hpp>
#include <limits>
#include <string>

#include "relay_fixture.h"

// Instances whose table of upstreams is behind, and entries of upstreams that
// cannot be used.
namespace hawthorn::relay {
namespace {

using Step = ScriptedUpstream::Step;

std::string EventOf(const std::string& version, int id) {
  return transport::SerializeChunk("id: " + std::to_string(id) + "\ndata: by " +
                                   version + "\n\n");
}

constexpr const char* kProgram = "X-Program-Id: p\r\n";

// Guards against requests that run by an older rule, or are denied, because
// this build cannot use a part or all of a committed configuration.
TEST_CASE("Calls are refused where the configuration cannot be used") {
  ScriptedUpstream upstream([](const std::string& request) {
    return ScriptedUpstream::Step{SignedResponse(request, "done")};
  });
  RelayFixture it;
  it.AddUpstream("u", upstream.address());
  const auto answer = [&it](const std::string& path) {
    Caller caller(it.port());
    caller.Send(RelayFixture::Request(path, "r1"));
    REQUIRE(WaitFor([&] {
      return caller.received().find("\r\n\r\n") != std::string::npos;
    }));
    return caller.received().substr(9, 3);
  };
  REQUIRE(answer("/once/x") == "200");
  const std::shared_ptr<const RouteTable> first = it.relay().table();
  const Route* usable = first->Find("h.example", "/once/x");
  REQUIRE(usable != nullptr);
  Route unusable = *usable;
  unusable.path_prefix = "/once/new/";
  unusable.services.clear();
  const auto table_of = [&](uint64_t version) {
    RouteTable::Builder builder;
    builder.SetVersion(version).AddRoute(*usable).AddRoute(unusable);
    return builder.Build();
  };
  it.relay().SetTable(table_of(100));
  CHECK(answer("/once/new/x") == "503");
  CHECK(answer("/once/x") == "200");
  it.relay().ClearTable(102);
  CHECK(answer("/once/x") == "503");
  // An older one than the one that cannot be used does not come back.
  it.relay().SetTable(table_of(101));
  CHECK(answer("/once/x") == "503");
  it.relay().SetTable(table_of(102));
  CHECK(answer("/once/x") == "200");
  CHECK(upstream.requests().size() == 3);
}

}  // namespace

// Guards against a stream that goes on at a version that did not begin it, at
// an instance that has not heard of the upstreams of the version that did.
TEST_CASE("An instance that is behind continues no stream of a new version") {
  MemoryLedger ledger;
  RelayFixture current(RelayCall::kProgressTimeout, &ledger);
  RelayFixture behind(RelayCall::kProgressTimeout, &ledger);
  ScriptedUpstream old_version([](const std::string& request) -> Step {
    return {StreamHead(request) + EventOf("v1", 2) + "0\r\n\r\n"};
  });
  ScriptedUpstream new_version([](const std::string& request) -> Step {
    return {StreamHead(request) + EventOf("v2", 1)};
  });
  behind.AddUpstreamOfVersion("u1", old_version.address(), "v1");
  current.AddUpstreamOfVersion("u2", new_version.address(), "v2");
  Caller first(current.port());
  first.Send(RelayFixture::Request("/turn/x", "r1", kProgram));
  REQUIRE(WaitFor(
      [&] { return first.received().find("by v2") != std::string::npos; }));
  first.Disconnect();
  Caller next(behind.port());
  next.Send(RelayFixture::Request(
      "/turn/x", "r2",
      std::string(kProgram) + "Resumes: r1\r\nLast-Event-Id: 1\r\n"));
  REQUIRE(WaitFor([&] { return !next.received().empty(); }));
  CHECK(next.received().starts_with("HTTP/1.1 503"));
  CHECK(old_version.requests().empty());
}

// Guards against ORDER: an upstream that starts again under its id with another
// version is taken for what its last record says (KNOWN-RED.txt).
TEST_CASE(
    "known-red: A stream does not go on at another version under one id") {
  RelayFixture it;
  std::string version = "v1";
  ScriptedUpstream upstream([&version](const std::string& request) -> Step {
    if (version == "v1") {
      version = "v2";
      return {StreamHead(request) + EventOf("v1", 1), true};
    }
    return {StreamHead(request) + EventOf("v2", 2) + "0\r\n\r\n"};
  });
  it.AddUpstreamOfVersion("u", upstream.address(), "v1");
  Caller caller(it.port());
  caller.Send(RelayFixture::Request(
      "/turn/x", "r1", std::string(kProgram) + "X-Deadline-Ms: 1000\r\n"));
  REQUIRE(WaitFor([&] {
    return caller.ended() || caller.received().ends_with("0\r\n\r\n");
  }));
  CHECK(caller.received().find("by v2") == std::string::npos);
}

// Guards against an odd entry in an update that keeps the others from being
// followed.
TEST_CASE("An unusable entry is left out and the others are followed") {
  RelayFixture it;
  ScriptedUpstream good([](const std::string& request) -> Step {
    return {SignedResponse(request, "fine")};
  });
  for (const char* address :
       {"", "10.0.0.9", "10.0.0.9:99999", "[::1]:80", "10.0.0.9:-1"}) {
    it.AddUpstream(std::string("odd ") + address, address);
  }
  it.AddUpstream("odd limit", good.address(), 1,
                 std::numeric_limits<double>::quiet_NaN());
  it.AddUpstream("good", good.address(), 1,
                 std::numeric_limits<double>::infinity());
  CHECK(it.metrics().CounterValue("relay_unusable_entries") == 5);
  for (const std::string id : {"r1", "r2", "r3"}) {
    Caller caller(it.port());
    caller.Send(RelayFixture::Request("/once/x", id));
    REQUIRE(WaitFor([&] { return !caller.received().empty(); }));
    CHECK(caller.received().starts_with("HTTP/1.1 200"));
  }
}

// Guards against an id of one caller that spoils the messages of others.
TEST_CASE("An id that is no UTF-8 is refused with its reason") {
  RelayFixture it;
  Caller caller(it.port());
  caller.Send(
      RelayFixture::Request("/turn/x", "r1", "X-Program-Id: p\xff\r\n"));
  REQUIRE(WaitFor([&] { return !caller.received().empty(); }));
  CHECK(caller.received().starts_with("HTTP/1.1 400"));
  CHECK(caller.received().ends_with("X-Program-Id is no UTF-8"));
  CHECK(it.ledger.claims.empty());
  CHECK(it.ledger.settled.empty());
}

}  // namespace hawthorn::relay

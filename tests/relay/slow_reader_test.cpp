#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "relay_fixture.h"

namespace hawthorn::relay {
namespace {

using Step = ScriptedUpstream::Step;

constexpr size_t kKiB = 1024;

/// A stream of events of 120 bytes with about `bytes` in all.
Step LongStream(const std::string& request, size_t bytes) {
  std::string events;
  const std::string data(100, 'b');
  for (int id = 1; events.size() < bytes; ++id) {
    events += transport::SerializeChunk("id: " + std::to_string(id) +
                                        "\ndata: " + data + "\n\n");
  }
  return {StreamHead(request) + events + "0\r\n\r\n"};
}

/// Waits until nothing changes at a connection of the upstream any more.
bool WaitForStandstill(const ScriptedUpstream& upstream) {
  size_t before = 0;
  return WaitFor([&] {
    if (upstream.connections() == 0) {
      return false;
    }
    const size_t pending = upstream.PendingOn(0);
    test::ProcessEvents();
    return pending > 0 && pending == std::exchange(before, pending);
  });
}

}  // namespace

// Load: one caller that does not read. Its cost to the instance must not grow
// with the length of the response.
TEST_CASE("What a caller that does not read costs is bounded") {
  RelayFixture it;
  ScriptedUpstream upstream([](const std::string& request) {
    return LongStream(request, 4096 * kKiB);
  });
  it.AddUpstream("u", upstream.address());
  Caller caller(it.port());
  caller.SetReading(false);
  caller.Send(RelayFixture::Request("/turn/x", "r1"));
  REQUIRE(WaitForStandstill(upstream));
  CHECK(it.buffers.used() > RelayCall::kCallerHighWater);
  CHECK(it.buffers.peak() < 128 * kKiB);
  caller.SetReading(true);
  CHECK(WaitFor([&] { return caller.received().ends_with("0\r\n\r\n"); }));
  CHECK(it.buffers.peak() < 128 * kKiB);
  CHECK(it.buffers.used() < 16 * kKiB);
}

// Load: hundreds of callers that do not read, beside one that does.
TEST_CASE("Hundreds of callers that do not read leave room for others") {
  constexpr int kStalled = 300;
  RelayFixture it;
  ScriptedUpstream upstream([](const std::string& request) {
    return IdOf(request) == "reader" ? Step{SignedResponse(request, "read")}
                                     : LongStream(request, 512 * kKiB);
  });
  // Each runs four calls at a time.
  for (int n = 0; n < kStalled / 3; ++n) {
    it.AddUpstream("u" + std::to_string(n), upstream.address());
  }
  std::vector<std::unique_ptr<Caller>> stalled;
  for (int n = 0; n < kStalled; ++n) {
    stalled.push_back(std::make_unique<Caller>(it.port()));
    stalled.back()->SetReading(false);
    stalled.back()->Send(
        RelayFixture::Request("/turn/x", "r" + std::to_string(n)));
  }
  REQUIRE(WaitFor([&] { return upstream.requests().size() == kStalled; }));
  Caller reader(it.port());
  reader.Send(RelayFixture::Request("/read/x", "reader"));
  CHECK(WaitFor([&] {
    return reader.received().find("\r\n\r\nread") != std::string::npos;
  }));
  CAPTURE(it.buffers.peak());
  CHECK(it.buffers.peak() <= it.buffers.limit());
}

// Above the total a request was admitted and its buffers came on top. The
// answer must let the caller send it elsewhere: no upstream may have seen it.
TEST_CASE("No request is admitted while the buffers are full") {
  RelayFixture it;
  ScriptedUpstream upstream([](const std::string& request) {
    return Step{SignedResponse(request, "done")};
  });
  it.AddUpstream("u", upstream.address());
  transport::BufferCharge others(&it.buffers);
  others.Set(it.buffers.limit() + 1);
  Caller caller(it.port());
  caller.Send(RelayFixture::Request("/once/x", "r1"));
  REQUIRE(WaitFor([&] { return !caller.received().empty(); }));
  CHECK(caller.received().find(" 503 ") != std::string::npos);
  CHECK(caller.received().find("Retry-After: ") != std::string::npos);
  CHECK(upstream.requests().empty());
  CHECK(it.metrics().CounterValue("relay_refused_buffers") == 1);
  // A large body is refused before it is received.
  Caller large(it.port());
  large.Send(
      "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r2\r\n"
      "Content-Length: 1000000\r\n\r\n" +
      std::string(100 * kKiB, 'b'));
  CHECK(WaitFor(
      [&] { return large.received().find(" 503 ") != std::string::npos; }));
  others.Set(0);
  caller.Send(RelayFixture::Request("/once/x", "r3"));
  CHECK(WaitFor([&] { return upstream.requests().size() == 1; }));
}

// An upstream gives up a response that stays unread for some seconds. The call
// was sent to the next upstream, which waited for the same caller, and the
// first one was taken for crashed.
TEST_CASE("A response that its upstream gave up unread is cut off") {
  RelayFixture it;
  ScriptedUpstream upstream([](const std::string& request) {
    return LongStream(request, 8192 * kKiB);
  });
  ScriptedUpstream other([](const std::string& request) {
    return LongStream(request, 8192 * kKiB);
  });
  it.AddUpstream("u1", upstream.address());
  Caller caller(it.port());
  caller.SetReading(false);
  caller.Send(RelayFixture::Request("/turn/x", "r1"));
  REQUIRE(WaitForStandstill(upstream));
  it.AddUpstream("u2", other.address());
  QElapsedTimer held;
  held.start();
  REQUIRE(
      WaitFor([&] { return held.hasExpired(RelayCall::kUnreadTime.count()); }));
  upstream.End(0, true);
  caller.SetReading(true);
  REQUIRE(WaitFor([&] { return caller.ended(); }));
  CHECK(caller.reset());
  CHECK_FALSE(caller.received().ends_with("0\r\n\r\n"));
  test::ProcessEvents();
  CHECK(other.requests().empty());
  CHECK(it.crashes.empty());
}

}  // namespace hawthorn::relay

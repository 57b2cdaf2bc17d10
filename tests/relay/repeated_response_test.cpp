#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "instance_fixture.h"
#include "relay/forwarded_parts.h"

// Faulty upstreams that send a response once more, at the place of a later one,
// while the same request is sent again.
namespace hawthorn::relay {
namespace {

using Step = ScriptedUpstream::Step;

std::string Plain(const std::string& request, const std::string& status,
                  const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + IdOf(request) + "\r\n" +
         fields + "Content-Length: 4\r\n\r\nfull";
}

std::string Refusal(const std::string& request) {
  return Plain(request, "503 Service Unavailable", "X-Not-Executed: 1\r\n");
}

bool IsStream(const std::string& request) {
  return request.find(" /turn/") != std::string::npos;
}

std::string Served(const std::string& request) {
  return IsStream(request) ? StreamHead(request) + EventChunk(1) + "0\r\n\r\n"
                           : SignedResponse(request, "done");
}

/// Upstream that answers its first request with `first`, and repeats that on
/// the same connection when the request comes again, before it serves it.
class Repeater {
 public:
  explicit Repeater(std::string (*first)(const std::string&))
      : upstream_([this, first](const std::string& request) -> Step {
          if (upstream_.requests().size() == 1) {
            repeated_ = first(request);
            return {repeated_};
          }
          if (upstream_.connections() == 1) {
            return {repeated_ + Served(request)};
          }
          upstream_.SendOn(0, repeated_);
          return {Served(request)};
        }) {}

  ScriptedUpstream& upstream() { return upstream_; }

 private:
  std::string repeated_;
  ScriptedUpstream upstream_;
};

bool IsServed(const Caller& caller) {
  return caller.received().starts_with("HTTP/1.1 200") &&
         (caller.received().ends_with("done") ||
          caller.received().ends_with("0\r\n\r\n"));
}

/// Another instance that carries exchanges out as the build before this one
/// did: it does not say whether a response can be that to an earlier send.
class EarlierBuild {
 public:
  explicit EarlierBuild(const std::string& ip, bool is_only_send = false)
      : peers_(NewPeers(ip)) {
    info_.set_instance(ip);
    info_.set_zone("a");
    info_.set_peer_address(ip + ":" + std::to_string(peers_->port()));
    peers_->SetHandler([this, is_only_send](const schema::PeerMessage& message,
                                            const peer::Replier& replier) {
      if (message.forward().request().empty()) {
        replier.Reply(Pack(EncodeEnd(schema::FORWARD_END_COMPLETE)));
        return;
      }
      ++sends;
      transport::ResponseHead head;
      head.status = 503;
      head.fields = {{"X-Request-Id", message.forward().request_id()},
                     {"X-Not-Executed", "1"}};
      schema::ForwardedPart part = EncodeHead(head, 0);
      if (is_only_send) {
        part.mutable_head()->set_is_only_send(true);
      }
      REQUIRE(core::IsOk(replier.SendChunk(Pack(part))));
      REQUIRE(core::IsOk(
          replier.SendChunk(Pack(EncodeEnd(schema::FORWARD_END_COMPLETE)))));
      replier.Finish();
    });
  }

  const schema::Forwarder& info() const { return info_; }

  int sends = 0;

 private:
  std::unique_ptr<peer::PeerTransport> peers_;
  schema::Forwarder info_;
};

std::string RefusingAddress() {
  ScriptedUpstream closed([](const std::string&) { return Step{}; });
  closed.StopListening();
  return closed.address();
}

}  // namespace

// Guards against TWICE and REFUSED: a copy of a refusal was taken for the
// answer to the next send of the same request, which the upstream was running.
TEST_CASE("A copy of a refusal never answers the next send of its request") {
  const std::string route = GENERATE("/once/x", "/turn/x", "/read/x");
  CAPTURE(route);
  RelayFixture it;
  Repeater repeater(Refusal);
  it.AddUpstream("u", repeater.upstream().address());
  Caller caller(it.port());
  caller.Send(RelayFixture::Request(route, "r1"));
  REQUIRE(WaitFor([&] { return !caller.received().empty(); }));
  CHECK(WaitFor([&] { return IsServed(caller); }));
  CHECK(repeater.upstream().requests().size() == 2);
}

// Guards against the same on connections that an instance uses for others.
TEST_CASE("A copy of a refusal does not pass through another instance") {
  const std::string route = GENERATE("/once/x", "/turn/x", "/read/x");
  CAPTURE(route);
  Repeater repeater(Refusal);
  Instance cut("127.0.0.61");
  Instance whole("127.0.0.62");
  cut.SetForwarders({&whole});
  cut.relay.AddUpstream("u", RefusingAddress());
  whole.relay.AddUpstream("u", repeater.upstream().address());
  Caller caller(cut.relay.port());
  caller.Send(RelayFixture::Request(route, "r1"));
  REQUIRE(WaitFor([&] { return !caller.received().empty(); }));
  CHECK(WaitFor([&] { return IsServed(caller); }));
  CHECK(repeater.upstream().requests().size() == 2);
}

// Guards against a call that gets the copy of an earlier failure while it runs.
TEST_CASE("A copy of a failure does not answer the retry of its request") {
  RelayFixture it;
  Repeater repeater([](const std::string& request) {
    return Plain(request, "500 Internal Server Error", "");
  });
  it.AddUpstream("u", repeater.upstream().address());
  Caller caller(it.port());
  caller.Send(RelayFixture::Request("/read/x", "r1"));
  REQUIRE(WaitFor([&] { return !caller.received().empty(); }));
  CHECK(IsServed(caller));
  CHECK(repeater.upstream().requests().size() == 2);
}

// Guards against a stream that is resumed on a connection on which it was
// refused before.
TEST_CASE("A stream is resumed on a connection that did not carry it") {
  RelayFixture it;
  std::string refusal;
  int on_old_connection = 0;
  std::optional<ScriptedUpstream> upstream;
  upstream.emplace([&](const std::string& request) -> Step {
    switch (upstream->requests().size()) {
      case 1:
        refusal = Refusal(request);
        return {refusal};
      case 2:
        return {StreamHead(request) + EventChunk(1),
                upstream->connections() > 1};
      default:
        on_old_connection += upstream->connections() < 3 ? 1 : 0;
        return {(upstream->connections() < 3 ? refusal : "") +
                StreamHead(request) + EventChunk(2) + "0\r\n\r\n"};
    }
  });
  it.AddUpstream("u", upstream->address());
  Caller caller(it.port());
  caller.Send(RelayFixture::Request("/turn/x", "r1"));
  REQUIRE(WaitFor([&] { return caller.received().ends_with("0\r\n\r\n"); }));
  CHECK(on_old_connection == 0);
  CHECK(upstream->requests().size() == 3);
  CHECK(caller.received().find(EventChunk(1) + EventChunk(2)) !=
        std::string::npos);
}

// Guards against TWICE and REFUSED: a refusal without an id, such as the copy
// of the answer to a probe, was taken for the answer to whatever came next.
TEST_CASE("A refusal without an id answers no later request") {
  const std::string route = GENERATE("/once/x", "/turn/x", "/read/x");
  const bool is_forwarded = GENERATE(false, true);
  CAPTURE(route, is_forwarded);
  ScriptedUpstream upstream([](const std::string& request) -> Step {
    const std::string copy =
        "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n";
    return {(IdOf(request) == "r2" ? copy : "") + Served(request)};
  });
  Instance cut("127.0.0.63");
  Instance whole("127.0.0.64");
  cut.SetForwarders({&whole});
  cut.relay.AddUpstream("u", RefusingAddress());
  whole.relay.AddUpstream("u", upstream.address());
  const uint16_t port = (is_forwarded ? cut : whole).relay.port();
  for (const std::string id : {"r1", "r2"}) {
    Caller caller(port);
    caller.Send(RelayFixture::Request(route, id));
    REQUIRE(WaitFor([&] { return !caller.received().empty(); }));
    CHECK(WaitFor([&] { return IsServed(caller); }));
  }
  CHECK(upstream.requests().size() == 2);
}

// Guards against TWICE in a deployment of two builds: the build before does not
// keep a request from a connection that carried it, and says nothing of that.
TEST_CASE(
    "A second refusal through an instance of an earlier build is no refusal") {
  const std::string route = GENERATE("/once/x", "/turn/x");
  CAPTURE(route);
  Instance cut("127.0.0.65");
  EarlierBuild earlier("127.0.0.66");
  cut.relay.relay().SetForwarders({earlier.info()});
  cut.relay.AddUpstream("u", RefusingAddress());
  Caller caller(cut.relay.port());
  caller.Send(RelayFixture::Request(route, "r1", "X-Deadline-Ms: 1500\r\n"));
  REQUIRE(WaitFor([&] { return !caller.received().empty(); }));
  // The first refusal can only be that to the first send.
  CHECK(caller.received().starts_with("HTTP/1.1 50"));
  CHECK_FALSE(caller.received().starts_with("HTTP/1.1 503"));
  CHECK(earlier.sends >= 2);
  if (route == "/once/x") {
    CHECK(earlier.sends == 2);
  }
}

TEST_CASE("Refusals through an instance of this build are trusted") {
  Instance cut("127.0.0.67");
  EarlierBuild current("127.0.0.68", true);
  cut.relay.relay().SetForwarders({current.info()});
  cut.relay.AddUpstream("u", RefusingAddress());
  Caller caller(cut.relay.port());
  caller.Send(RelayFixture::Request("/once/x", "r1"));
  REQUIRE(WaitFor([&] { return !caller.received().empty(); }));
  CHECK(caller.received().starts_with("HTTP/1.1 503"));
  CHECK(current.sends > 2);
}

}  // namespace hawthorn::relay

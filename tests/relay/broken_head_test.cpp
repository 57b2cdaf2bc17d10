// Responses whose head is not valid HTTP, although it names the request and
// carries the signature.
#include <QTemporaryDir>
#include <catch2/catch.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "instance_fixture.h"
#include "logging/log.h"
#include "relay/forwarded_parts.h"

namespace hawthorn::relay {
namespace {

using Step = ScriptedUpstream::Step;

const std::string kBody = "bytes of the upstream";

/// A response to `request` as its route expects it.
struct Response {
  std::string status = "200";
  /// Bytes before the field that frames the body.
  std::string fields = {};
  /// "length", "chunked" or "close".
  std::string framing = "length";
  /// Bytes between the last chunk and the end of a chunked body.
  std::string trailer = {};
  /// Transfer coding of a chunked body.
  std::string coding = "chunked";
  bool closes = false;

  Step To(const std::string& request) const {
    const bool is_stream = request.find(" /turn/") != std::string::npos;
    std::string body = is_stream ? EventText(1) : kBody;
    std::string head = "HTTP/1.1 " + status +
                       " Status\r\nX-Request-Id: " + IdOf(request) +
                       "\r\nX-Server-Signature: s\r\n" + fields;
    if (framing == "length") {
      head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    } else if (framing == "chunked") {
      head += "Transfer-Encoding: " + coding + "\r\n";
      body = transport::SerializeChunk(body) + "0\r\n" + trailer + "\r\n";
    }
    return {head + "\r\n" + body, false, closes || framing == "close"};
  }
};

/// Sends a call and returns what its caller got.
std::string Call(uint16_t port, const std::string& route,
                 const std::string& id = "r1") {
  Caller caller(port);
  caller.Send(RelayFixture::Request(route, id));
  REQUIRE(WaitFor([&] {
    return caller.ended() ||
           caller.received().find("\r\n\r\n") != std::string::npos;
  }));
  test::ProcessEvents();
  return caller.received();
}

/// Whether the relay ended a call itself, without a promise.
bool IsBadGateway(const std::string& received) {
  return received.starts_with("HTTP/1.1 502 ") &&
         received.find("X-Server-Signature") == std::string::npos &&
         received.find(kBody) == std::string::npos;
}

/// Checks that no caller gets `response`, directly or through another instance.
void CheckRefused(const Response& response,
                  const std::vector<std::string>& routes = {
                      "/once/x", "/read/x", "/turn/x"}) {
  for (const std::string& route : routes) {
    for (const bool is_forwarded : {false, true}) {
      ScriptedUpstream upstream(
          [&](const std::string& request) { return response.To(request); });
      CallPath path(upstream, is_forwarded);
      const std::string received = Call(path.port(), route);
      INFO(route << (is_forwarded ? " forwarded, " : " direct, ")
                 << response.status << ' ' << response.framing << ' '
                 << response.fields << "received: " << received);
      CHECK(IsBadGateway(received));
      CHECK((route != "/once/x" || upstream.requests().size() == 1));
      CHECK(path.relay().metrics().CounterValue("relay_malformed_response") >
            0);
    }
  }
}

// Guards against an invalid status that reaches the caller as "HTTP/1.1 0" with
// the signature and the body of the upstream.
TEST_CASE("A response whose status is not valid is refused") {
  const std::string status = GENERATE("000", "001", "099", "600", "999");
  const std::string framing = GENERATE("length", "chunked", "close");
  CheckRefused({.status = status, .framing = framing});
}

// Guards against a line whose name begins with a blank: it was joined to the
// line before, here the signature, and a length or coding in it was lost.
TEST_CASE("A response with a line that begins with a blank is refused") {
  const std::string blank = GENERATE(" ", "\t", "X-A: b\r\n ", "X-A:\r\n\t");
  const std::string framing = GENERATE("length", "chunked");
  CheckRefused({.fields = blank, .framing = framing, .closes = true});
}

// Guards against a line that is passed on, or that hides the length, although
// its name is no token.
TEST_CASE("A response with a name that is no token is refused") {
  const std::string line =
      GENERATE(as<std::string>(), "X A: b\r\n", "X-A : b\r\n", "X-A\t: b\r\n",
               "X\x01-A: b\r\n", "X-A\x7f: b\r\n", "\x01X-A: b\r\n",
               std::string("X\0A: b\r\n", 8));
  const std::string place = GENERATE("head", "trailer", "length");
  if (place == "trailer") {
    CheckRefused({.framing = "chunked", .trailer = line},
                 {"/once/x", "/read/x"});
  } else if (place == "length") {
    CheckRefused({.fields = line.substr(0, line.find(':')), .closes = true});
  } else {
    CheckRefused({.fields = line});
  }
}

// Guards against a success whose body is still encoded while the field that
// says so is dropped, as it concerns one connection only.
TEST_CASE("A response with a transfer coding other than chunked is refused") {
  const std::string coding = GENERATE(
      as<std::string>(), "gzip", "gzip, chunked", "chunked, gzip", "identity",
      "gzip\r\nTransfer-Encoding: chunked", "chunked;a=b", "xchunked");
  CheckRefused({.framing = "chunked", .coding = coding, .closes = true});
}

TEST_CASE("A chunked response reaches its caller whole") {
  const std::string coding = GENERATE("chunked", "Chunked", " \tCHUNKED ");
  const bool is_forwarded = GENERATE(false, true);
  ScriptedUpstream upstream([&](const std::string& request) {
    return Response{.framing = "chunked", .coding = coding}.To(request);
  });
  CallPath path(upstream, is_forwarded);
  CHECK(Call(path.port(), "/once/x").ends_with("\r\n\r\n" + kBody));
}

// The events before the trailer have reached the caller.
TEST_CASE("A stream with an invalid trailer does not look complete") {
  const bool is_forwarded = GENERATE(false, true);
  const bool recovers = GENERATE(false, true);
  CAPTURE(is_forwarded, recovers);
  int runs = 0;
  ScriptedUpstream upstream([&](const std::string& request) -> Step {
    const bool is_sound = ++runs > 1 && recovers;
    return {StreamHead(request) + EventChunk(runs) + "0\r\n" +
            (is_sound ? "" : "X A: b\r\n") + "\r\n"};
  });
  CallPath path(upstream, is_forwarded);
  Caller caller(path.port());
  caller.Send(RelayFixture::Request("/turn/x", "r1"));
  REQUIRE(WaitFor([&] {
    return caller.ended() || caller.received().ends_with("0\r\n\r\n");
  }));
  CHECK(caller.ended() == !recovers);
  CHECK(caller.received().find(EventChunk(1) + EventChunk(2)) !=
        std::string::npos);
  CHECK(caller.received().find("X A") == std::string::npos);
}

TEST_CASE("A call runs again after a response whose status is not valid") {
  const std::string route = GENERATE("/once/x", "/read/x", "/turn/x");
  const bool is_forwarded = GENERATE(false, true);
  CAPTURE(route, is_forwarded);
  int runs = 0;
  const auto answer = [&runs](const std::string& request) {
    return Response{.status = ++runs == 1 ? "000" : "200"}.To(request);
  };
  ScriptedUpstream upstream(answer);
  CallPath path(upstream, is_forwarded);
  ScriptedUpstream other(answer);
  path.relay().AddUpstream("u2", other.address());
  const std::string received = Call(path.port(), route);
  if (route == "/once/x") {
    CHECK(IsBadGateway(received));
    CHECK(runs == 1);
  } else {
    CHECK(received.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(runs == 2);
  }
}

TEST_CASE("A response to another request with an invalid head is refused") {
  const std::string head =
      GENERATE("HTTP/1.1 000 Status\r\n", "HTTP/1.1 200 OK\r\nX A: b\r\n");
  ScriptedUpstream upstream([&](const std::string& request) -> Step {
    return {head + "X-Request-Id: other\r\nContent-Length: 0\r\n\r\n" +
            Response().To(request).bytes};
  });
  RelayFixture it;
  it.AddUpstream("u1", upstream.address());
  CHECK(IsBadGateway(Call(it.port(), "/once/x")));
}

TEST_CASE("An invalid head on a kept connection is refused") {
  const Response broken =
      GENERATE(Response{.status = "000"}, Response{.fields = "X A: b\r\n"});
  std::vector<size_t> connections;
  const ScriptedUpstream* self = nullptr;
  ScriptedUpstream upstream([&](const std::string& request) {
    connections.push_back(self->connections());
    return (IdOf(request) == "first" ? Response() : broken).To(request);
  });
  self = &upstream;
  RelayFixture it;
  it.AddUpstream("u1", upstream.address());
  REQUIRE(Call(it.port(), "/read/x", "first").ends_with(kBody));
  CHECK(IsBadGateway(Call(it.port(), "/read/x")));
  REQUIRE(connections.size() >= 2);
  CHECK(connections[1] == 1);
}

TEST_CASE("The log says why a response was refused") {
  const bool is_forwarded = GENERATE(false, true);
  CAPTURE(is_forwarded);
  const QTemporaryDir folder;
  const std::string file = folder.filePath("log").toStdString();
  logging::StartLog({.instance = "test", .file = file});
  ScriptedUpstream upstream([](const std::string& request) {
    return Response{.status = "000"}.To(request);
  });
  CallPath path(upstream, is_forwarded);
  CHECK(IsBadGateway(Call(path.port(), "/once/x", "r-logged")));
  // The instance that received the response knows the reason.
  const std::string message =
      is_forwarded ? "exchange forwarded" : "malformed response";
  const auto is_logged = [&] {
    std::ifstream log(file);
    for (std::string line; std::getline(log, line);) {
      if (line.find(message) != std::string::npos &&
          line.find("r-logged") != std::string::npos &&
          line.find("status 0 is not between 100 and 599") !=
              std::string::npos) {
        return true;
      }
    }
    return false;
  };
  CHECK(WaitFor(is_logged));
  logging::StopLog();
}

TEST_CASE("Valid heads reach callers unchanged") {
  const std::string status =
      GENERATE("200", "226", "299", "300", "307", "399", "400", "404", "418",
               "451", "499", "500", "505", "599");
  const bool is_forwarded = GENERATE(false, true);
  const std::string token = "!#$%&'*+-.^_`|~09AZaz: v\r\n";
  CAPTURE(status, is_forwarded);
  ScriptedUpstream upstream([&](const std::string& request) {
    return Response{.status = status, .fields = token}.To(request);
  });
  CallPath path(upstream, is_forwarded);
  const std::string received = Call(path.port(), "/once/x");
  CHECK(received.starts_with("HTTP/1.1 " + status + " "));
  CHECK(received.find("\r\n" + token) != std::string::npos);
  CHECK(received.find("\r\nX-Server-Signature: s\r\n") != std::string::npos);
  CHECK(received.ends_with(kBody));
}

/// Returns what the caller of a call gets that another instance answers with
/// this head, as a build that checks less may send it.
std::string CallForwarded(const transport::ResponseHead& head,
                          const std::string& route) {
  const auto other = NewPeers("127.0.0.26");
  other->SetHandler(
      [&](const schema::PeerMessage& message, const peer::Replier& replier) {
        if (message.forward().request().empty()) {
          replier.Reply(Pack(EncodeEnd(schema::FORWARD_END_COMPLETE)));
          return;
        }
        transport::ResponseHead own = head;
        own.fields.push_back({"X-Request-Id", message.forward().request_id()});
        own.fields.push_back({"X-Server-Signature", "s"});
        schema::ForwardedPart body;
        body.set_body(route == "/turn/x" ? EventText(1) : kBody);
        replier.SendChunk(Pack(EncodeHead(own, body.body().size())));
        replier.SendChunk(Pack(body));
        replier.SendChunk(Pack(EncodeEnd(schema::FORWARD_END_COMPLETE)));
        replier.Finish();
      });
  Instance cut("127.0.0.25");
  schema::Forwarder forwarder;
  forwarder.set_instance("127.0.0.26");
  forwarder.set_zone("a");
  forwarder.set_peer_address("127.0.0.26:" + std::to_string(other->port()));
  cut.relay.relay().SetForwarders({forwarder});
  cut.relay.AddUpstream("u1", "127.0.0.1:1");
  return Call(cut.relay.port(), route);
}

TEST_CASE("An invalid head that another instance forwards is refused") {
  const std::string route = GENERATE("/once/x", "/read/x", "/turn/x");
  const auto head = GENERATE(
      transport::ResponseHead{0, {}}, transport::ResponseHead{99, {}},
      transport::ResponseHead{103, {}}, transport::ResponseHead{600, {}},
      transport::ResponseHead{-200, {}},
      transport::ResponseHead{200, {{"X A", "b"}}},
      transport::ResponseHead{200, {{"", "b"}}},
      transport::ResponseHead{200, {{"Transfer-Encoding", "gzip"}}},
      transport::ResponseHead{200, {{"X-A", "b\r\nX-B: c"}}});
  const std::string received = CallForwarded(head, route);
  CAPTURE(route, head.status, received);
  CHECK(IsBadGateway(received));
}

TEST_CASE("A valid head that another instance forwards is passed on") {
  const int status = GENERATE(200, 418, 451, 599);
  const std::string received =
      CallForwarded({status, {{"X-A", "b\t\xc3\xa9"}}}, "/once/x");
  CHECK(received.starts_with("HTTP/1.1 " + std::to_string(status) + " "));
  CHECK(received.find("\r\nX-A: b\t\xc3\xa9\r\n") != std::string::npos);
  CHECK(received.ends_with(kBody));
}

}  // namespace
}  // namespace hawthorn::relay

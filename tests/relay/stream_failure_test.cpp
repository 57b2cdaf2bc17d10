#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "instance_fixture.h"

// Streams that broke off after they had begun, and what comes then.
namespace hawthorn::relay {
namespace {

using Step = ScriptedUpstream::Step;

/// Stands in all that the failing upstream sends.
const std::string kError = "overloaded-zq";

std::string Failure(const std::string& request, const std::string& status,
                    const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + IdOf(request) +
         "\r\nX-Server-Signature: " + kError + "\r\n" + fields + "\r\n" + body;
}

std::string LengthOf(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/// What an upstream answers that is asked to continue a stream.
struct Answer {
  const char* name;
  std::function<Step(const std::string& request)> step;
};

/// Answers that are no continuation of an event stream.
std::vector<Answer> Answers() {
  const std::string plain = "the text " + kError + "\n\nand more\n\n";
  const std::string event = "data: " + kError + "\n\n";
  const std::string chunks = transport::SerializeChunk(plain) + "0\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  std::vector<Answer> answers;
  for (const char* status :
       {"500 Failed", "503 Busy", "404 Gone", "429 Slow", "302 Found"}) {
    answers.push_back({status, [=](const std::string& it) -> Step {
                         return {Failure(it, status, LengthOf(plain), plain)};
                       }});
  }
  answers.push_back({"error in chunks", [=](const std::string& it) -> Step {
                       return {Failure(it, "500 Failed", chunked, chunks)};
                     }});
  answers.push_back(
      {"error until close", [=](const std::string& it) -> Step {
         return {Failure(it, "500 Failed", "", plain), false, true};
       }});
  answers.push_back(
      {"error of the type of a stream", [=](const std::string& it) -> Step {
         return {Failure(
             it, "500 Failed",
             "Content-Type: text/event-stream\r\n" + LengthOf(event), event)};
       }});
  answers.push_back(
      {"refusal", [=](const std::string& it) -> Step {
         return {Failure(it, "503 Busy",
                         "X-Not-Executed: 1\r\n" + LengthOf(plain), plain)};
       }});
  answers.push_back(
      {"refusal until close", [=](const std::string& it) -> Step {
         return {Failure(it, "503 Busy", "X-Not-Executed: 1\r\n", plain), false,
                 true};
       }});
  answers.push_back({"other upstream", [=](const std::string& it) -> Step {
                       return {Failure(it, "421 Misdirected Request",
                                       LengthOf(plain), plain)};
                     }});
  answers.push_back(
      {"half a head", [=](const std::string&) -> Step {
         return {"HTTP/1.1 500 Failed\r\nX-A: " + kError, false, true};
       }});
  answers.push_back({"no response", [=](const std::string&) -> Step {
                       return {kError + "\n\n" + kError + "\n\n", false, true};
                     }});
  answers.push_back(
      {"success of no stream", [=](const std::string& it) -> Step {
         return {Failure(it, "200 OK",
                         "Content-Type: text/plain\r\n" + LengthOf(plain),
                         plain)};
       }});
  answers.push_back({"success of no type", [=](const std::string& it) -> Step {
                       return {Failure(it, "200 OK", chunked, chunks)};
                     }});
  answers.push_back({"no content", [=](const std::string& it) -> Step {
                       return {Failure(it, "204 No Content", "", "")};
                     }});
  answers.push_back({"empty success", [=](const std::string& it) -> Step {
                       return {Failure(it, "200 OK", LengthOf(""), "")};
                     }});
  answers.push_back(
      {"stream of another status", [=](const std::string& it) -> Step {
         return {Failure(it, "203 Other",
                         "Content-Type: text/event-stream\r\n" +
                             LengthOf("id: 2\n" + event),
                         "id: 2\n" + event)};
       }});
  answers.push_back({"event without an id", [=](const std::string& it) -> Step {
                       return {Failure(it, "200 OK",
                                       "Content-Type: text/event-stream\r\n" +
                                           LengthOf(event),
                                       event)};
                     }});
  return answers;
}

/// How the caller of the stream is connected.
std::string StreamRequest(const std::string& caller) {
  std::string request = RelayFixture::Request(
      "/turn/x", "r1",
      caller == "close" ? "Connection: close\r\n" : std::string());
  if (caller == "1.0") {
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  }
  return request;
}

/// The instance of the caller reaches the upstream itself or through another.
struct Path {
  Path(bool is_forwarded, const ScriptedUpstream& upstream)
      : near("127.0.0.66"), far("127.0.0.67") {
    far.relay.AddUpstream("u", upstream.address());
    if (!is_forwarded) {
      near.relay.AddUpstream("u", upstream.address());
      return;
    }
    ScriptedUpstream closed([](const std::string&) { return Step{}; });
    closed.StopListening();
    near.SetForwarders({&far});
    near.relay.AddUpstream("u", closed.address());
  }

  Instance near;
  Instance far;
};

size_t Count(const std::string& text, const std::string& part) {
  size_t n = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++n;
  }
  return n;
}

}  // namespace

// A stream had begun and broke off, and the next upstream answered with an
// error. Callers found its text or its head in their stream, or the stream
// ended as if it were complete.
TEST_CASE("An error never continues a stream that has begun") {
  const bool is_forwarded = GENERATE(false, true);
  const std::string connection = GENERATE("1.1", "close", "1.0");
  const Answer answer = GENERATE(from_range(Answers()));
  CAPTURE(is_forwarded, connection, answer.name);
  ScriptedUpstream upstream([&, n = 0](const std::string& it) mutable -> Step {
    if (n++ == 0) {
      return {StreamHead(it) + EventChunk(1) + "4\r\nid: ", true};
    }
    return answer.step(it);
  });
  Path path(is_forwarded, upstream);
  Caller caller(path.near.relay.port());
  caller.Send(StreamRequest(connection));
  REQUIRE(WaitFor([&] {
    return caller.ended() || caller.received().ends_with("\r\n0\r\n\r\n");
  }));
  CHECK(upstream.requests().size() > 1);
  // An orderly end would make the stream look complete.
  CHECK(caller.reset());
  CHECK_FALSE(caller.received().ends_with("0\r\n\r\n"));
  CHECK(Count(caller.received(), kError) == 0);
  CHECK(Count(caller.received(), "HTTP/1.") <= 1);
  if (!caller.received().empty()) {
    CHECK(caller.received().starts_with("HTTP/1.1 200 "));
    CHECK(caller.received().ends_with(connection == "1.0" ? EventText(1)
                                                          : EventChunk(1)));
  }
}

// The same where the stream goes on after one such answer.
TEST_CASE("A stream goes on after an error of one attempt") {
  const bool is_forwarded = GENERATE(false, true);
  const Answer answer = GENERATE(from_range(Answers()));
  CAPTURE(is_forwarded, answer.name);
  const auto go_on = [](const std::string& it) -> Step {
    return {StreamHead(it) + EventChunk(2) + "0\r\n\r\n"};
  };
  ScriptedUpstream other(go_on);
  std::function<void()> add_other;
  ScriptedUpstream upstream([&, n = 0](const std::string& it) mutable -> Step {
    switch (n++) {
      case 0:
        add_other();
        return {StreamHead(it) + EventChunk(1) + "4\r\nid: ", true};
      case 1:
        return answer.step(it);
      default:
        return go_on(it);
    }
  });
  Path path(is_forwarded, upstream);
  add_other = [&] {
    path.near.relay.AddUpstream("v", other.address());
    path.far.relay.AddUpstream("v", other.address());
  };
  Caller caller(path.near.relay.port());
  caller.Send(StreamRequest("1.1"));
  REQUIRE(WaitFor([&] {
    return caller.ended() || caller.received().ends_with("\r\n0\r\n\r\n");
  }));
  CHECK_FALSE(caller.ended());
  CHECK(Count(caller.received(), kError) == 0);
  CHECK(Count(caller.received(), "HTTP/1.") == 1);
  CHECK(
      caller.received().ends_with(EventChunk(1) + EventChunk(2) + "0\r\n\r\n"));
}

// A stream that may not be resumed was joined to the start of another run.
TEST_CASE("A stream without ids is not joined to another run") {
  const bool is_forwarded = GENERATE(false, true);
  CAPTURE(is_forwarded);
  ScriptedUpstream upstream([n = 0](const std::string& it) mutable -> Step {
    const std::string event =
        transport::SerializeChunk("data: run " + std::to_string(++n) + "\n\n");
    return {StreamHead(it) + event, n == 1};
  });
  Path path(is_forwarded, upstream);
  Caller caller(path.near.relay.port());
  caller.Send(StreamRequest("1.1"));
  REQUIRE(WaitFor([&] {
    return caller.ended() ||
           caller.received().find("run 2") != std::string::npos;
  }));
  CHECK(caller.reset());
  CHECK(Count(caller.received(), "run ") <= 1);
}

}  // namespace hawthorn::relay

#include <QJsonArray>
#include <catch2/catch.hpp>

#include "tests/main/deployment.h"
#include "tests/support/event_loop.h"

namespace hawthorn::test {
namespace {

std::string Calls(const std::string& program) {
  return "/v1/programs/" + program + "/calls";
}

/// A prompt to which the stand-in engine answers with about `words` tokens.
std::string LongQuestion(int words) {
  std::string text;
  for (int n = 0; n < words; ++n) {
    text += "word" + std::to_string(n) + " ";
  }
  return text;
}

TEST_CASE("a non-idempotent call is not retried after its upstream crashes") {
  Deployment it(Plans{{"one", "zone-a"}});
  it.StartAll();
  it.StartUpstream("first", "service", "reservas", "zone-a");
  it.WaitUpstreams("one", 1);
  const std::string program = it.CreateProgram("one");
  const QJsonObject call = PlainCall(1, "run-then-die");
  const Response lost = it.Call("one", Calls(program), call);
  REQUIRE_FALSE(it.IsRunning("first"));
  REQUIRE(lost.error("execution") == "unknown");
  it.StartUpstream("second", "service", "reservas", "zone-a");
  for (int n = 0; n < 3; ++n) {
    REQUIRE(it.Call("one", Calls(program), call).error("execution") ==
            "unknown");
  }
  REQUIRE(it.CountOf("second", "runs") == 0);
}

TEST_CASE("a call that times out is not counted as an upstream crash") {
  Deployment it(Plans{{"one", "zone-a"}});
  it.StartAll();
  it.StartUpstream("engine", "engine", "asistente", "zone-a", 400);
  it.WaitUpstreams("one", 1);
  for (int n = 0; n < 3; ++n) {
    const std::string program = it.CreateProgram("one");
    QJsonObject call = ModelCall(1, LongQuestion(30));
    call["timeout_ms"] = 700;
    const Response late = it.Call("one", Calls(program), call);
    REQUIRE(late.error("code") == "deadline_exceeded");
  }
  const std::string program = it.CreateProgram("one");
  const Response whole =
      it.Call("one", Calls(program), ModelCall(1, LongQuestion(30)));
  INFO(whole.body);
  REQUIRE(whole.status == 200);
}

TEST_CASE("a stream continues on another engine after its engine is killed") {
  Deployment it(Plans{{"one", "zone-a"}});
  it.StartAll();
  it.StartUpstream("first", "engine", "asistente", "zone-a", 20);
  it.WaitUpstreams("one", 1);
  const std::string program = it.CreateProgram("one");
  const auto response =
      it.Begin("one", Calls(program), ModelCall(1, LongQuestion(60), true));
  REQUIRE(WaitFor([&] {
    return response->body.find("\"offset\":10,") != std::string::npos;
  }));
  it.StartUpstream("second", "engine", "asistente", "zone-a", 2);
  it.Kill("first");
  REQUIRE(WaitFor([&] { return response->complete; }));
  INFO(response->body);
  REQUIRE(response->body.find("event: end") != std::string::npos);
  for (int n = 0; n < 60; ++n) {
    const std::string offset = "\"offset\":" + std::to_string(n) + ",";
    const size_t at = response->body.find(offset);
    REQUIRE(at != std::string::npos);
    REQUIRE(response->body.find(offset, at + 1) == std::string::npos);
  }
  REQUIRE(it.CountOf("second", "runs") == 1);
}

TEST_CASE("a caller that disconnects mid-stream cancels its call upstream") {
  Deployment it(Plans{{"one", "zone-a"}});
  it.StartAll();
  it.StartUpstream("engine", "engine", "asistente", "zone-a", 20);
  it.WaitUpstreams("one", 1);
  const std::string program = it.CreateProgram("one");
  const auto response =
      it.Begin("one", Calls(program), ModelCall(1, LongQuestion(60), true));
  REQUIRE(WaitFor([&] {
    return response->body.find("\"offset\":5,") != std::string::npos;
  }));
  it.Disconnect(response);
  REQUIRE(WaitFor([&] { return it.CountOf("engine", "cancelled") == 1; }));
  const Response again =
      it.Call("one", Calls(program), ModelCall(1, LongQuestion(60)));
  REQUIRE(again.error("code") == "cancelled");
  REQUIRE(it.Call("one", Calls(program), ModelCall(2, "next")).status == 200);
}

TEST_CASE("a graceful shutdown completes open streams and the zone stays up") {
  Deployment it(Plans{{"a1", "zone-a"}, {"a2", "zone-a"}, {"a3", "zone-a"}});
  it.StartAll();
  it.StartUpstream("engine", "engine", "asistente", "zone-a", 20);
  for (const char* name : {"a1", "a2", "a3"}) {
    it.WaitUpstreams(name, 1);
  }
  const std::string program = it.CreateProgram("a1");
  const auto response =
      it.Begin("a1", Calls(program), ModelCall(1, LongQuestion(60), true));
  REQUIRE(WaitFor([&] {
    return response->body.find("\"offset\":5,") != std::string::npos;
  }));
  it.SendTerm("a1");
  REQUIRE(WaitFor([&] {
    return it.Call("a1", "/health", {}, "GET").body.find("draining") !=
           std::string::npos;
  }));
  REQUIRE(
      it.Call("a1", Calls(program), ModelCall(2, "late")).error("execution") ==
      "not run");
  REQUIRE(WaitFor([&] { return response->complete; }));
  REQUIRE(response->body.find("event: end") != std::string::npos);
  REQUIRE(it.WaitExit("a1") == 0);
  it.WaitUpstreams("a2", 1);
  REQUIRE(it.Call("a2", Calls(program), ModelCall(2, "next")).status == 200);
}

// Guards against an instance that never stops because a call is still open.
TEST_CASE("a graceful shutdown ends the calls that outlast its timeout") {
  Deployment it(Plans{{"a1", "zone-a"}, {"a2", "zone-a"}, {"a3", "zone-a"}});
  it.AppendSettings("a1", "limits: {drain_timeout: 1s}\n");
  it.StartAll();
  it.StartUpstream("engine", "engine", "asistente", "zone-a", 200);
  for (const char* name : {"a1", "a2", "a3"}) {
    it.WaitUpstreams(name, 1);
  }
  const std::string program = it.CreateProgram("a1");
  const auto response =
      it.Begin("a1", Calls(program), ModelCall(1, LongQuestion(100), true));
  REQUIRE(WaitFor([&] {
    return response->body.find("\"offset\":1,") != std::string::npos;
  }));
  it.SendTerm("a1");
  REQUIRE(WaitFor([&] { return response->complete; }));
  CAPTURE(response->body);
  CHECK(response->body.find("event: end") == std::string::npos);
  CHECK(response->body.find("the instance stopped") != std::string::npos);
  CHECK(it.WaitExit("a1") == 0);
  // The outcome is recorded, so that the program goes on elsewhere.
  it.WaitUpstreams("a2", 1);
  CHECK(it.Call("a2", Calls(program), ModelCall(2, "next")).status == 200);
}

TEST_CASE("programs survive a leader crash and a restart of all instances") {
  Deployment it(Plans{{"a1", "zone-a"}, {"a2", "zone-a"}, {"a3", "zone-a"}});
  it.StartAll();
  it.StartUpstream("engine", "engine", "asistente", "zone-a");
  it.StartUpstream("booking", "service", "reservas", "zone-a");
  for (const char* name : {"a1", "a2", "a3"}) {
    it.WaitUpstreams(name, 2);
  }
  const std::string program = it.CreateProgram("a1");
  REQUIRE(it.Call("a1", Calls(program), PlainCall(1, "book")).status == 200);
  for (const char* name : {"a1", "a2", "a3"}) {
    it.WaitVoters(name, "ledger/zone-a", 3);
  }
  const std::string leader = it.LeaderOf("a1", "ledger/zone-a");
  const std::string other = leader == "a1" ? "a2" : "a1";
  it.Kill(leader);
  Response response;
  const bool served = WaitFor([&] {
    response = it.Call(other, Calls(program), PlainCall(1, "book"));
    return response.status == 200;
  });
  INFO("leader " << leader << " other " << other << ": " << response.body
                 << it.Operate(other, "/v1/admin/members", {}, "GET").body);
  REQUIRE(served);
  REQUIRE(response.json()["answer"].toObject()["run"].toInt() == 1);
  for (const char* name : {"a1", "a2", "a3"}) {
    it.Kill(name);
  }
  it.StartAll();
  const Response read = it.Call("a3", "/v1/programs/" + program, {}, "GET");
  INFO(read.body);
  REQUIRE(read.json()["history"].toArray().size() == 1);
  REQUIRE(it.CountOf("booking", "runs") == 1);
}

TEST_CASE("a partitioned zone serves its own programs and refuses others") {
  Deployment it(Plans{{"a1", "zone-a"}, {"b1", "zone-b"}, {"c1", "zone-c"}});
  it.StartAll();
  it.StartUpstream("booking-a", "service", "reservas", "zone-a");
  it.StartUpstream("booking-b", "service", "reservas", "zone-b");
  it.WaitUpstreams("a1", 2);
  it.WaitUpstreams("b1", 2);
  const std::string own = it.CreateProgram("a1");
  const std::string foreign = it.CreateProgram("b1");
  REQUIRE(it.Call("a1", Calls(foreign), PlainCall(1, "book")).status == 200);
  REQUIRE(it.Operate("a1", "/v1/admin/links/cut",
                     {{"peers", QJsonArray{"b1", "c1"}}})
              .status == 200);
  it.WaitUpstreams("a1", 1);
  const Response refused = it.Call("a1", Calls(foreign), PlainCall(2, "book"));
  REQUIRE(refused.error("code") == "unavailable");
  REQUIRE(refused.error("execution") == "not run");
  Response served;
  REQUIRE(WaitFor([&] {
    served = it.Call("a1", Calls(own), PlainCall(1, "book"));
    return served.status == 200;
  }));
  REQUIRE(it.CreateProgram("a1").starts_with("zone-a."));
  const Response change = it.Operate(
      "a1", "/v1/admin/config/apply",
      {{"expected", 1}, {"author", "ana"}, {"yaml", "services: []\n"}});
  REQUIRE(change.status != 200);
  REQUIRE(it.Call("b1", Calls(foreign), PlainCall(2, "book")).status == 200);
  REQUIRE(it.Operate("a1", "/v1/admin/links/cut", {{"peers", QJsonArray{}}})
              .status == 200);
  REQUIRE(WaitFor([&] {
    return it.Call("a1", Calls(foreign), PlainCall(2, "book")).status == 200;
  }));
  REQUIRE(it.CountOf("booking-a", "doubled") == 0);
  REQUIRE(it.CountOf("booking-b", "doubled") == 0);
}

}  // namespace
}  // namespace hawthorn::test

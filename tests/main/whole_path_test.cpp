#include <QJsonArray>
#include <catch2/catch.hpp>

#include "tests/main/deployment.h"
#include "tests/support/event_loop.h"

namespace hawthorn::test {
namespace {

std::string Calls(const std::string& program) {
  return "/v1/programs/" + program + "/calls";
}

TEST_CASE("a program runs from creation to its end on one instance") {
  Deployment it(Plans{{"one", "zone-a"}});
  it.StartAll();
  it.StartUpstream("engine", "engine", "asistente", "zone-a");
  it.StartUpstream("booking", "service", "reservas", "zone-a");
  it.WaitUpstreams("one", 2);
  const std::string program = it.CreateProgram("one");

  const Response streamed = it.Call(
      "one", Calls(program), ModelCall(1, "Which dates are free?", true));
  REQUIRE(streamed.status == 200);
  REQUIRE(streamed.body.find("event: token") != std::string::npos);
  REQUIRE(streamed.body.find("event: end") != std::string::npos);

  const Response repeated = it.Call(
      "one", Calls(program), ModelCall(1, "Which dates are free?", true));
  REQUIRE(repeated.body.find("Answer to: Which dates are free?") !=
          std::string::npos);
  REQUIRE(it.CountOf("engine", "runs") == 1);

  for (int n = 0; n < 3; ++n) {
    const Response booked =
        it.Call("one", Calls(program), PlainCall(2, "book"));
    REQUIRE(booked.status == 200);
    REQUIRE(booked.json()["answer"].toObject()["run"].toInt() == 1);
  }
  REQUIRE(it.CountOf("booking", "runs") == 1);

  const Response gap = it.Call("one", Calls(program), PlainCall(9, "book"));
  REQUIRE(gap.error("code") == "out_of_order");
  REQUIRE(gap.error("execution") == "not run");
  const Response other = it.Call("one", Calls(program), PlainCall(2, "cancel"));
  REQUIRE(other.error("code") == "conflict");

  REQUIRE(it.Call("one", "/v1/programs/" + program + "/pause",
                  {{"tool", "travel"}, {"deadline_ms", 60000}})
              .status == 200);
  REQUIRE(it.Call("one", Calls(program), ModelCall(3, "Hello")).error("code") ==
          "out_of_order");
  REQUIRE(it.Call("one", "/v1/programs/" + program + "/resume", {}).status ==
          200);
  const Response resumed =
      it.Call("one", "/v1/programs/" + program + "/resume", {});
  REQUIRE(resumed.status == 409);
  const Response third = it.Call("one", Calls(program), ModelCall(3, "Thanks"));
  REQUIRE(third.json()["answer"].toObject()["content"].toString() ==
          "Answer to: Thanks");

  const Response read = it.Call("one", "/v1/programs/" + program, {}, "GET");
  REQUIRE(read.json()["history"].toArray().size() == 3);
  REQUIRE(it.Call("one", "/v1/programs/" + program + "/end", {}).status == 200);
  REQUIRE(it.Call("one", Calls(program), ModelCall(4, "More")).error("code") ==
          "program_ended");
}

TEST_CASE("requests without a valid key are refused") {
  Deployment it(Plans{{"one", "zone-a"}});
  it.StartAll();
  const Response unknown = it.Operate("one", "/v1/programs", {});
  REQUIRE(unknown.status == 401);
  REQUIRE(unknown.error("execution") == "not run");
  REQUIRE(it.Call("one", "/v1/admin/status", {}, "GET").status == 401);
  REQUIRE(it.Call("one", "/v1/upstreams", {}).status == 401);
}

TEST_CASE("an invalid request is refused with all its errors") {
  Deployment it(Plans{{"one", "zone-a"}});
  it.StartAll();
  const Response response =
      it.Call("one", "/v1/programs",
              {{"clas", "chat"}, {"budget", QJsonObject{{"tokens", "many"}}}});
  REQUIRE(response.status == 400);
  REQUIRE(response.error("message").find("clas") != std::string::npos);
  REQUIRE(response.error("message").find("tokens") != std::string::npos);
}

TEST_CASE("a program is served through every instance of its zone") {
  Deployment it(
      Plans{{"a1", "zone-a"}, {"a2", "zone-a"}, {"a3", "zone-a", false}});
  it.StartAll();
  it.StartUpstream("engine", "engine", "asistente", "zone-a");
  it.StartUpstream("booking", "service", "reservas", "zone-a");
  for (const char* name : {"a1", "a2", "a3"}) {
    it.WaitUpstreams(name, 2);
  }
  const std::string program = it.CreateProgram("a1");
  REQUIRE(it.Call("a2", Calls(program), ModelCall(1, "one")).status == 200);
  REQUIRE(it.Call("a3", Calls(program), PlainCall(2, "book")).status == 200);
  REQUIRE(it.Call("a1", Calls(program), PlainCall(2, "book")).status == 200);
  REQUIRE(it.CountOf("booking", "runs") == 1);
  const Response read = it.Call("a3", "/v1/programs/" + program, {}, "GET");
  REQUIRE(read.json()["history"].toArray().size() == 2);
}

TEST_CASE("of two changes to the same revision exactly one is accepted") {
  Deployment it(Plans{{"a1", "zone-a"}, {"a2", "zone-a"}, {"a3", "zone-a"}});
  it.StartAll();
  const QJsonObject current =
      it.Operate("a1", "/v1/admin/config", {}, "GET").json();
  const auto change = [&](const std::string& instance, const char* author) {
    return it.Operate(instance, "/v1/admin/config/apply",
                      {{"expected", current["revision"]},
                       {"author", author},
                       {"yaml", current["yaml"].toString() +
                                    "weight_store_concurrent_loads: 3\n"}});
  };
  const Response first = change("a1", "ana");
  const Response second = change("a2", "luis");
  INFO(first.body << second.body);
  REQUIRE(first.status == 200);
  REQUIRE(second.error("code") == "conflict");
  REQUIRE(second.error("message").find("ana") != std::string::npos);
  const int64_t revision = first.json()["revision"].toInteger();
  REQUIRE(WaitFor([&] {
    return it.Operate("a3", "/v1/admin/status", {}, "GET")
               .json()["revision"]
               .toInteger() >= revision;
  }));
}

}  // namespace
}  // namespace hawthorn::test

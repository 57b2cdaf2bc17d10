#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

#include "platform/configuration_codec.h"

namespace hawthorn::platform {
namespace {

using std::chrono::milliseconds;
using Table = std::shared_ptr<const relay::RouteTable>;

constexpr milliseconds kDay{24LL * 3600 * 1000};

/// A configuration with one field of each kind that may be replaced.
std::string Valid() {
  return R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
         R"("path_prefix":"/a/","kind":"stream","timeout_ms":3000,)"
         R"("slo_ms":200,"priority":1,"max_attempts":2,"resumable":true,)"
         R"("public":true,"retain":false,"retention_s":60.5,)"
         R"("backends":[{"service":"llm","weight":90},)"
         R"({"service":"shop","weight":10}]}],)"
         R"("services":[{"name":"llm","max_conns":170,"engine":)"
         R"({"capacity":12,"kv_capacity":9000,"tokens_per_event":11}},)"
         R"({"name":"shop","max_conns":110}],"limits":{"max_header_bytes":)"
         R"(16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000}})";
}

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = Valid();
  const size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

Table Accepted(const std::string& body) {
  const auto decoded = DecodeConfiguration(body);
  if (const auto* findings = std::get_if<core::FindingList>(&decoded)) {
    FAIL_CHECK(findings->Report());
    return nullptr;
  }
  return std::get<Table>(decoded);
}

bool IsRefused(const std::string& body) {
  return std::holds_alternative<core::FindingList>(DecodeConfiguration(body));
}

// Guards against refusing a valid configuration because a number is larger than
// this build can use.
TEST_CASE("Large numbers of a configuration are accepted and limited") {
  const std::string large = "9000000000000";
  for (const char* field :
       {R"("priority":1)", R"("max_attempts":2)", R"("weight":90)",
        R"("max_conns":170)", R"("capacity":12)", R"("kv_capacity":9000)",
        R"("tokens_per_event":11)", R"("max_header_bytes":16384)",
        R"("max_body_bytes":4194304)", R"("slo_ms":200)",
        R"("retention_s":60.5)", R"("header_timeout_ms":3000)",
        R"("idle_timeout_ms":15000)", R"("timeout_ms":3000,)"}) {
    CAPTURE(field);
    std::string text(field);
    const bool has_comma = text.ends_with(',');
    const std::string name = text.substr(0, text.find(':') + 1);
    CHECK(Accepted(Replaced(text, name + large + (has_comma ? "," : ""))));
  }
  CHECK(Accepted(Replaced(
      R"("limits":{)",
      R"("tenants":[{"name":"a","rate_per_s":9000000000000,)"
      R"("burst":9000000000000,"priority":9000000000000}],"limits":{)")));
  const Table late = Accepted(
      Replaced(R"("timeout_ms":3000,)", R"("timeout_ms":9000000000000,)"));
  REQUIRE(late);
  CHECK(late->routes().front().timeout == kDay);
  const Table body = Accepted(Replaced(R"("max_body_bytes":4194304)",
                                       R"("max_body_bytes":8589934592)"));
  REQUIRE(body);
  CHECK(body->limits().max_body_bytes >= size_t{1'000'000'000});
}

// Guards against refusing a time that is not 0, or taking it as 0.
TEST_CASE("A time below a millisecond is not 0") {
  const Table table =
      Accepted(Replaced(R"("timeout_ms":3000,)", R"("timeout_ms":0.5,)"));
  REQUIRE(table);
  CHECK(table->routes().front().timeout == milliseconds(1));
  CHECK(Accepted(Valid())->routes().front().retention == milliseconds(60500));
}

/// Share of 10,000 keys that get the service "llm".
double ShareOf(const relay::Route& route) {
  int count = 0;
  for (int n = 0; n < 10'000; ++n) {
    const std::string key = "key " + std::to_string(n);
    count += relay::RouteTable::PickService(route, key) == "llm" ? 1 : 0;
  }
  return count / 10'000.0;
}

// Guards against weights below 1 that are taken as 0, so that the configuration
// is refused or a service gets nothing.
TEST_CASE("Weights may be fractions") {
  const auto split = [](const std::string& first, const std::string& second) {
    std::string text = Replaced("\"weight\":90", "\"weight\":" + first);
    const size_t at = text.find("\"weight\":10}");
    REQUIRE(at != std::string::npos);
    return text.replace(at, 12, "\"weight\":" + second + "}");
  };
  for (const auto& [first, second] :
       {std::pair("0.75", "0.25"), std::pair("1.5", "0.5"), std::pair("3", "1"),
        std::pair("3000000000000", "1000000000000")}) {
    CAPTURE(first, second);
    const Table table = Accepted(split(first, second));
    if (table) {
      CHECK(ShareOf(table->routes().front()) == Approx(0.75).margin(0.03));
    }
  }
  // Instances of both builds select by the same weights.
  const auto& services = Accepted(Valid())->routes().front().services;
  CHECK(services ==
        std::vector<relay::WeightedService>{{"llm", 90}, {"shop", 10}});
  CHECK(IsRefused(split("0", "0.0")));
  CHECK(IsRefused(split("-1", "2")));
}

// Guards against acknowledging a configuration of which a part was not read.
TEST_CASE("Values of another type are refused") {
  for (const auto& [from, to] :
       {std::pair(R"("timeout_ms":3000,)", R"("timeout_ms":"3000",)"),
        std::pair(R"("slo_ms":200)", R"("slo_ms":"200")"),
        std::pair(R"("priority":1)", R"("priority":[1])"),
        std::pair(R"("max_attempts":2)", R"("max_attempts":{})"),
        std::pair(R"("weight":90)", R"("weight":"90")"),
        std::pair(R"("max_conns":170)", R"("max_conns":"170")"),
        std::pair(R"("retention_s":60.5)", R"("retention_s":"60.5")"),
        std::pair(R"("resumable":true)", R"("resumable":"true")"),
        std::pair(R"("public":true)", R"("public":1)"),
        std::pair(R"("retain":false)", R"("retain":"false")"),
        std::pair(R"("host":"h.example")", R"("host":7)"),
        std::pair(R"("host":"h.example",)", ""),
        std::pair(R"("capacity":12)", R"("capacity":"12")"),
        std::pair(R"("header_timeout_ms":3000)",
                  R"("header_timeout_ms":"3000")"),
        std::pair(R"("limits":{)", R"("limits":7,"other":{)"),
        std::pair(R"("engine":{)", R"("engine":"x","other":{)"),
        std::pair(R"("backends":[)",
                  R"("service":"llm","backends":{},"other":[)"),
        std::pair(R"("routes":[)", R"("routes":["x",)"),
        std::pair(R"("services":[)", R"("services":[7,)")}) {
    CAPTURE(from, to);
    CHECK(IsRefused(Replaced(from, to)));
  }
  CHECK(IsRefused(Valid() + "x"));
  CHECK(IsRefused(Valid() + Valid()));
}

std::string WithSecondRoute(const std::string& host) {
  return Replaced(R"("routes":[)",
                  R"("routes":[{"name":"s","host":")" + host +
                      R"(","path_prefix":"/a/","kind":"idempotent",)"
                      R"("timeout_ms":500,"service":"shop"},)");
}

// Guards against acknowledging two routes of the same host and prefix, of which
// one is never selected.
TEST_CASE("Routes whose hosts differ only in case are duplicates") {
  CHECK(IsRefused(WithSecondRoute("H.Example")));
  CHECK(Accepted(WithSecondRoute("i.example")));
}

// Guards against an instance that refuses a whole committed configuration
// because its checks are stricter than those of the build that accepted it.
TEST_CASE("Parts of a committed configuration are used without the others") {
  const auto taken = [](const std::string& content) {
    CommittedConfiguration it = DecodeCommittedConfiguration(content, 9);
    CHECK_FALSE(it.findings.empty());
    REQUIRE(it.table);
    CHECK(it.table->version() == 9);
    return it.table;
  };
  // Of two equal routes the first is selected, as by other builds.
  const Table duplicate = taken(WithSecondRoute("H.Example"));
  CHECK(duplicate->Find("h.example", "/a/b")->name == "s");
  CHECK(duplicate->routes().size() == 1);
  const Table unknown =
      taken(Replaced(R"({"service":"shop")", R"({"service":"gone")"));
  CHECK(unknown->Find("h.example", "/a/b")->services ==
        std::vector<relay::WeightedService>{{"llm", 90}});
  const Table number = taken(Replaced(R"("slo_ms":200)", R"("slo_ms":-1)"));
  CHECK(number->Find("h.example", "/a/b")->latency_objective ==
        milliseconds(0));
  CHECK(number->Find("h.example", "/a/b")->timeout == milliseconds(3000));
  const Table route = taken(Replaced(R"("routes":[)", R"("routes":[7,)"));
  CHECK(route->Find("h.example", "/a/b") != nullptr);
  const Table keys = taken(
      Replaced(R"("limits":{)",
               R"("tenants":[{"name":"a","api_keys":["k1"]},7,)"
               R"({"name":"b","priority":0.5,"api_keys":["k2"]}],"limits":{)"));
  CHECK(keys->FindOrganisation("k1")->name == "a");
  CHECK(keys->FindOrganisation("k2")->name == "b");
  CHECK(DecodeCommittedConfiguration(Valid(), 7).findings.empty());
}

// Guards against running requests by an older or a wider rule: a route that
// this build cannot use was left out, and its requests fell to a shorter
// prefix.
TEST_CASE("A committed route that cannot be used covers its prefix") {
  const std::string unusable = GENERATE(
      R"("timeout_ms":0,"service":"shop")", R"("timeout_ms":5,"service":"no")",
      R"("timeout_ms":5,"backends":[{"service":"shop","weight":0}])");
  const CommittedConfiguration it = DecodeCommittedConfiguration(
      Replaced(R"("routes":[)",
               R"("routes":[{"name":"s","host":"h.example",)"
               R"("path_prefix":"/a/b/","kind":"idempotent",)" +
                   unusable + "},"),
      9);
  REQUIRE(it.table);
  CHECK_FALSE(it.findings.empty());
  const relay::Route* route = it.table->Find("h.example", "/a/b/c");
  REQUIRE(route != nullptr);
  CHECK(route->name == "s");
  CHECK(route->services.empty());
  CHECK_FALSE(it.table->Find("h.example", "/a/c")->services.empty());
}

// Guards against opening every route to callers without a key, or dropping all
// routes, because a list cannot be read.
TEST_CASE("A committed configuration without a readable list is unreadable") {
  for (const std::string& content :
       {std::string("[]"), Valid().substr(0, 200),
        Replaced(R"("routes":[)", R"("routes":7,"other":[)"),
        Replaced(R"("services":[)", R"("services":7,"other":[)"),
        Replaced(R"("limits":{)", R"("tenants":7,"limits":{)")}) {
    CAPTURE(content);
    const CommittedConfiguration it = DecodeCommittedConfiguration(content, 9);
    CHECK_FALSE(it.table);
    CHECK_FALSE(it.findings.empty());
  }
}

}  // namespace
}  // namespace hawthorn::platform

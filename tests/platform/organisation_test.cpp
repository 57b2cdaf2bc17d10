#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <variant>

#include "platform/configuration_codec.h"

namespace hawthorn::platform {
namespace {

using Decoded =
    std::variant<std::shared_ptr<const relay::RouteTable>, core::FindingList>;

/// A configuration with the given value of "tenants" and further routes.
std::string With(const std::string& tenants, const std::string& routes = "") {
  return R"({"version":7,"services":[{"name":"shop"}],"tenants":)" + tenants +
         R"(,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/",)"
         R"("kind":"idempotent","timeout_ms":3000,"service":"shop",)"
         R"("public":true})" +
         routes + "]}";
}

std::shared_ptr<const relay::RouteTable> TableOf(const std::string& body) {
  const Decoded decoded = DecodeConfiguration(body);
  REQUIRE(std::holds_alternative<std::shared_ptr<const relay::RouteTable>>(
      decoded));
  return std::get<std::shared_ptr<const relay::RouteTable>>(decoded);
}

/// Report of the findings; empty if the configuration is valid.
std::string Findings(const std::string& body) {
  const Decoded decoded = DecodeConfiguration(body);
  const auto* findings = std::get_if<core::FindingList>(&decoded);
  return findings == nullptr ? "" : findings->Report();
}

TEST_CASE("Organisations are decoded with their keys, limits and priority") {
  const auto table = TableOf(
      With(R"([{"name":"acme","api_keys":["k1","k2","k1"],"rate_per_s":2.5,)"
           R"("burst":4,"priority":0,"other":1},{"name":"free",)"
           R"("api_keys":["f1"],"rate_per_s":0,"burst":9}])"));
  REQUIRE(table->has_organisations());
  const relay::Organisation* acme = table->FindOrganisation("k2");
  REQUIRE(acme != nullptr);
  CHECK(acme->name == "acme");
  CHECK(acme->limit == scheduling::QuotaLimit{2.5, 4});
  CHECK(acme->priority == 0U);
  CHECK(table->FindOrganisation("f1")->name == "free");
  CHECK_FALSE(table->FindOrganisation("f1")->priority);
  CHECK(table->FindOrganisation("k3") == nullptr);
  CHECK(table->FindOrganisation("") == nullptr);
  CHECK(table->QuotaLimits().size() == 1);
  CHECK(table->routes().front().is_public);
}

// The deployments without organisations must stay open to their callers, and
// those whose list has become empty must not.
TEST_CASE("Only a configuration without the list has no organisations") {
  std::string without = With("null");
  CHECK_FALSE(TableOf(without)->has_organisations());
  without.replace(without.find(R"("tenants":null,)"), 15, "");
  CHECK_FALSE(TableOf(without)->has_organisations());
  CHECK(TableOf(With("[]"))->has_organisations());
}

// An operator's mistake must be refused with a reason. The reason is logged, so
// that it must not contain the key.
TEST_CASE("Invalid organisations are refused without naming a key") {
  const std::string key = "secret-key";
  for (const std::string& tenants :
       {std::string(R"({"name":"a"})"), std::string(R"(["a"])"),
        std::string(R"([{"api_keys":["secret-key"]}])"),
        std::string(R"([{"name":"","api_keys":["secret-key"]}])"),
        std::string(R"([{"name":"a"},{"name":"a"}])"),
        std::string(R"([{"name":"a","api_keys":["secret-key"]},)"
                    R"({"name":"b","api_keys":["x","secret-key"]}])"),
        std::string(R"([{"name":"a","api_keys":"secret-key"}])"),
        std::string(R"([{"name":"a","api_keys":[""]}])"),
        std::string(R"([{"name":"a","api_keys":[7]}])"),
        R"([{"name":"a","api_keys":[")" + std::string(1025, 'k') + R"("]}])",
        std::string(R"([{"name":"a","rate_per_s":-1}])"),
        std::string(R"([{"name":"a","rate_per_s":"10"}])"),
        std::string(R"([{"name":"a","burst":1e300}])"),
        std::string(R"([{"name":"a","priority":1.5}])"),
        std::string(R"([{"name":"a\r\nX-Admin: 1"}])")}) {
    CAPTURE(tenants);
    const std::string findings = Findings(With(tenants));
    CHECK_FALSE(findings.empty());
    CHECK(findings.find(key) == std::string::npos);
  }
}

// Operators' tools and damaged files may send anything: each input must end in
// a table or a finding, and no finding may contain the key.
TEST_CASE("Damaged organisations never break the decoder") {
  const std::string valid =
      With(R"([{"name":"acme","api_keys":["secret-key","k2"],)"
           R"("rate_per_s":2.5,"burst":4,"priority":1},)"
           R"({"name":"b","api_keys":["k3"]}])");
  const std::string alphabet = R"([]{}",:0-9.e\nulltruesk)";
  std::mt19937 random(7);
  for (int round = 0; round < 20000; ++round) {
    std::string text = valid;
    for (uint32_t n = 0; n <= random() % 4; ++n) {
      const size_t at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = alphabet[random() % alphabet.size()];
          break;
        case 1:
          text.erase(at, random() % 8);
          break;
        default:
          text.insert(at, text.substr(random() % text.size(), random() % 40));
      }
    }
    const std::string findings = Findings(text);
    if (findings.find("secret-key") != std::string::npos) {
      FAIL("a finding contains a key: " << text);
    }
  }
}

// Each instance decodes each version; a slow decoder stops all calls meanwhile.
TEST_CASE("1,400 routes and 8,000 keys are decoded within half a second") {
  std::string tenants = "[";
  for (int n = 0; n < 800; ++n) {
    tenants += std::string(n == 0 ? "" : ",") + R"({"name":"o)" +
               std::to_string(n) + R"(","rate_per_s":10,"api_keys":[)";
    for (int k = 0; k < 10; ++k) {
      tenants += std::string(k == 0 ? "" : ",") + "\"key-" + std::to_string(n) +
                 "-" + std::to_string(k) + "\"";
    }
    tenants += "]}";
  }
  std::string routes;
  for (int n = 0; n < 1400; ++n) {
    routes += R"(,{"name":"r","host":"h.example","path_prefix":"/p)" +
              std::to_string(n) +
              R"(/","kind":"idempotent","timeout_ms":3000,"service":"shop"})";
  }
  const std::string body = With(tenants + "]", routes);
  const auto start = std::chrono::steady_clock::now();
  const auto table = TableOf(body);
  CHECK(std::chrono::steady_clock::now() - start <
        std::chrono::milliseconds(500));
  CHECK(table->FindOrganisation("key-799-9")->name == "o799");
}

}  // namespace
}  // namespace hawthorn::platform

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "rapidcheck/catch.h"
#include "settings/configuration_check.h"
#include "settings/field_rule.h"
#include "settings/quantity.h"
#include "settings/settings.h"
#include "settings/settings_check.h"
#include "tests/support/memory_limit.h"
#include "valid_settings.h"

namespace hawthorn::settings {
namespace {

// Texts with a special meaning in YAML, and values at their bounds.
const std::vector<std::string>& Tokens() {
  static const std::vector<std::string> tokens = {
      "&a [*a]", "*a",        "!!binary x",
      "{",       "}",         "[",
      "]",       "null",      "~",
      "---\n",   "...\n",     "1e999",
      "nan",     "-1",        "99999999999999999999",
      "0x10",    "yes",       "<<",
      "? ",      ": ",        "\t",
      "|\n",     ">\n",       "'",
      "\"",      "#",         "%YAML 9.9\n",
      "limits",  "instances", "idle_timeout: 5",
      ",",       ",a",        "zone: x\n",
      "\n",      "  "};
  return tokens;
}

std::string Mutate(std::string text, std::mt19937_64* random) {
  const size_t at = text.empty() ? 0 : (*random)() % text.size();
  switch ((*random)() % 6) {
    case 0:
      return text.erase(at, 1 + (*random)() % 8);
    case 1:
      return text.insert(at, 1, static_cast<char>((*random)() % 256));
    case 2:
      return text.substr(0, at);
    case 3: {
      // Repeats a line.
      const size_t begin = text.rfind('\n', at) + 1;
      const size_t end = text.find('\n', at);
      return end == std::string::npos
                 ? text
                 : text.insert(begin, text.substr(begin, end + 1 - begin));
    }
    case 4:
      return text.replace(at, (*random)() % 8,
                          Tokens()[(*random)() % Tokens().size()]);
    default:
      return text.insert(at, Tokens()[(*random)() % Tokens().size()]);
  }
}

void CheckFindings(const core::FindingList& list) {
  RC_ASSERT(!list.empty());
  for (const core::Finding& it : list.findings()) {
    RC_ASSERT(it.position.file == "a.yaml");
    RC_ASSERT(it.position.line >= 1);
    RC_ASSERT(it.position.column >= 1);
    RC_ASSERT(!it.message.empty());
    RC_ASSERT(!it.allowed.empty());
  }
}

/// Far more than a settings file of any size that is used takes.
constexpr size_t kMemoryBytes = size_t{256} * 1024 * 1024;

// Guards against a text that makes the parser allocate without end.
TEST_CASE("A comma where none can be is refused at its place") {
  for (const std::string text :
       {",inst", ",", ",,", ",a: b", "- a\n,b", "a: [1]\n---\n,b"}) {
    CAPTURE(text);
    const test::MemoryLimit limit(kMemoryBytes);
    const auto parsed = ParseSettings(text, "a.yaml");
    REQUIRE(std::holds_alternative<core::FindingList>(parsed));
    const core::FindingList& list = std::get<core::FindingList>(parsed);
    CHECK(list.Report().find("bad_alloc") == std::string::npos);
    CHECK(list.findings().front().position.line >= 1);
  }
}

TEST_CASE("A mutated settings file is read or has findings with a position") {
  const test::MemoryLimit limit(kMemoryBytes);
  int refused = 0;
  CHECK(rc::check([&](uint64_t seed) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 50; ++i) {
      std::string text = kValidSettings;
      for (uint64_t n = 1 + random() % 4; n > 0; --n) {
        text = Mutate(std::move(text), &random);
      }
      const auto parsed = ParseSettings(text, "a.yaml");
      if (const auto* findings = std::get_if<core::FindingList>(&parsed)) {
        ++refused;
        CheckFindings(*findings);
      } else {
        RC_ASSERT(CheckSettings(std::get<schema::Settings>(parsed)).empty());
      }
    }
  }));
  CHECK(refused > 1000);
}

TEST_CASE("Arbitrary bytes are refused with a position") {
  const test::MemoryLimit limit(kMemoryBytes);
  CHECK(rc::check([&](const std::string& text) {
    const auto parsed = ParseSettings(text, "a.yaml");
    RC_ASSERT(std::holds_alternative<core::FindingList>(parsed));
    CheckFindings(std::get<core::FindingList>(parsed));
  }));
}

// Ids that YAML would read as another type.
std::string AnyId(std::mt19937_64* random) {
  static const std::vector<std::string> ids = {
      "true", "null", "1e5", "0x1f", "-",   "---", "...", ".",    "_",
      "1.5",  "No",   "007", "-1",   "30s", "a",   "NaN", "-.inf"};
  return ids[(*random)() % ids.size()];
}

schema::Configuration AnyConfiguration(std::mt19937_64* random) {
  schema::Configuration value;
  SetDefaults(&value);
  value.set_weight_store_concurrent_loads(1 + (*random)() % 100);
  for (uint64_t n = (*random)() % 5; n > 0; --n) {
    schema::Organisation& it = *value.add_organisations();
    it.set_id(AnyId(random) + std::to_string(n));
    it.set_weight(1 + (*random)() % 9);
    it.set_daily_tokens(static_cast<int64_t>((*random)() >> 1));
    schema::KeyDigest& key = *it.add_keys();
    key.set_id("key" + std::to_string(n));
    for (int i = 0; i < 32; ++i) {
      key.mutable_digest()->push_back(static_cast<char>((*random)()));
    }
    key.set_salt(key.digest().substr(0, 16));
  }
  schema::Service& service = *value.add_services();
  service.set_id(AnyId(random));
  service.set_kind(schema::SERVICE_KIND_PLAIN);
  service.set_policy("las");
  service.set_latency_weight(static_cast<double>((*random)() % 1000003) /
                             1000003);
  service.set_attempt_timeout_ms(
      static_cast<int64_t>(100 + (*random)() % 3'000'000));
  service.add_idempotent_operations(AnyId(random));
  schema::ServiceClass& service_class = *value.add_classes();
  service_class.set_id(AnyId(random));
  service_class.set_weight(1);
  service_class.set_interactive((*random)() % 2 == 0);
  return value;
}

TEST_CASE("A written configuration is read back unchanged") {
  CHECK(rc::check([&](uint64_t seed) {
    std::mt19937_64 random(seed);
    const schema::Configuration value = AnyConfiguration(&random);
    RC_ASSERT(CheckConfiguration(value).empty());
    const auto parsed =
        ParseConfiguration(ConfigurationToYaml(value), "a.yaml");
    RC_ASSERT(std::holds_alternative<schema::Configuration>(parsed));
    RC_ASSERT(std::get<schema::Configuration>(parsed).SerializeAsString() ==
              value.SerializeAsString());
  }));
}

TEST_CASE("Settings are read back unchanged after writing") {
  CHECK(rc::check([&](uint64_t seed) {
    std::mt19937_64 random(seed);
    auto parsed = ParseSettings(kValidSettings, "a.yaml");
    RC_ASSERT(std::holds_alternative<schema::Settings>(parsed));
    schema::Settings value = std::get<schema::Settings>(parsed);
    const std::string id = AnyId(&random);
    value.set_instance(id);
    value.mutable_instances(0)->set_instance(id);
    value.set_log_file("it's \"odd\": #\n\ttext\\");
    value.mutable_limits()->set_idle_timeout_ms(
        static_cast<int64_t>(100 + random() % 3'000'000));
    value.mutable_limits()->set_max_body_bytes(
        static_cast<uint32_t>(1024 + random() % 1'000'000));
    const auto again = ParseSettings(SettingsToYaml(value), "a.yaml");
    RC_ASSERT(std::holds_alternative<schema::Settings>(again));
    RC_ASSERT(std::get<schema::Settings>(again).SerializeAsString() ==
              value.SerializeAsString());
  }));
}

TEST_CASE("Formatted quantities are parsed to the same value") {
  CHECK(rc::check([](int64_t value) {
    for (const schema::Unit unit :
         {schema::UNIT_NONE, schema::UNIT_MILLISECONDS, schema::UNIT_BYTES}) {
      const auto parsed = ParseQuantity(FormatQuantity(value, unit), unit);
      RC_ASSERT(std::holds_alternative<int64_t>(parsed));
      RC_ASSERT(std::get<int64_t>(parsed) == value);
    }
  }));
  CHECK(std::get<QuantityError>(
            ParseQuantity("9999999999999h", schema::UNIT_MILLISECONDS)) ==
        QuantityError::kOutOfRange);
}

}  // namespace
}  // namespace hawthorn::settings

#include "questionnaire/questionnaire.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "control/key.h"
#include "settings/settings.h"

namespace hawthorn::questionnaire {
namespace {

namespace fs = std::filesystem;

fs::path ExampleFolder(const std::string& name) {
  return fs::path(HAWTHORN_SOURCE_DIR) / "examples" / name;
}

std::string Read(const fs::path& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream content;
  content << stream.rdbuf();
  return content.str();
}

GeneratedFiles GenerateExample(const std::string& name) {
  auto generated =
      Generate(Read(ExampleFolder(name) / "answers.yaml"), "answers.yaml");
  if (const auto* findings = std::get_if<core::FindingList>(&generated)) {
    FAIL(findings->Report());
  }
  return std::get<GeneratedFiles>(generated);
}

schema::Settings SettingsIn(const GeneratedFiles& files,
                            const std::string& path) {
  const auto parsed = settings::ParseSettings(files.at(path), path);
  if (const auto* findings = std::get_if<core::FindingList>(&parsed)) {
    FAIL(findings->Report());
  }
  return std::get<schema::Settings>(parsed);
}

schema::Configuration ConfigurationIn(const GeneratedFiles& files) {
  const auto parsed = settings::ParseConfiguration(
      files.at("configuration.yaml"), "configuration.yaml");
  if (const auto* findings = std::get_if<core::FindingList>(&parsed)) {
    FAIL(findings->Report());
  }
  return std::get<schema::Configuration>(parsed);
}

size_t CountFiles(const fs::path& folder) {
  size_t n = 0;
  for (const auto& it : fs::recursive_directory_iterator(folder)) {
    n += it.is_regular_file() ? 1 : 0;
  }
  return n;
}

void CheckExampleUpToDate(const std::string& name) {
  const GeneratedFiles files = GenerateExample(name);
  const fs::path folder = ExampleFolder(name) / "generated";
  for (const auto& [path, content] : files) {
    INFO(path);
    CHECK(Read(folder / path) == content);
  }
  CHECK(CountFiles(folder) == files.size());
}

size_t CountVoters(const schema::Settings& settings, const std::string& zone) {
  size_t n = 0;
  for (const auto& it : settings.instances()) {
    n += std::count(it.ledger_zones().begin(), it.ledger_zones().end(), zone);
  }
  return n;
}

size_t CountControlVoters(const schema::Settings& settings) {
  return std::count_if(settings.instances().begin(), settings.instances().end(),
                       [](const auto& it) { return it.control_voter(); });
}

TEST_CASE("The committed examples match what their answers generate") {
  for (const char* name : {"quetzal", "peachtree", "tidewater"}) {
    CheckExampleUpToDate(name);
  }
}

TEST_CASE("Every generated settings file is valid") {
  for (const char* name : {"quetzal", "peachtree", "tidewater"}) {
    size_t n = 0;
    const GeneratedFiles files = GenerateExample(name);
    for (const auto& [path, content] : files) {
      if (path.starts_with("instances/")) {
        const schema::Settings settings = SettingsIn(files, path);
        CHECK(path == "instances/" + settings.instance() + ".yaml");
        ++n;
      }
    }
    CHECK(n == (std::string(name) == "tidewater" ? 5 : 9));
  }
}

TEST_CASE("Quetzal gets three control voters and its weight on latency") {
  const GeneratedFiles files = GenerateExample("quetzal");
  const auto settings = SettingsIn(files, "instances/gt-b-2.yaml");
  CHECK(CountControlVoters(settings) == 3);
  CHECK(CountVoters(settings, "gt-central-a") == 3);
  CHECK(settings.data_folder().empty());
  const auto configuration = ConfigurationIn(files);
  REQUIRE(configuration.services_size() == 2);
  CHECK(configuration.services(0).latency_weight() == Approx(0.8));
  CHECK_FALSE(configuration.services(0).verifies_fencing());
}

TEST_CASE("Peachtree gets five control voters over its four zones") {
  const GeneratedFiles files = GenerateExample("peachtree");
  const auto settings = SettingsIn(files, "instances/savannah-1.yaml");
  CHECK(CountControlVoters(settings) == 5);
  for (const char* zone : {"atl-north", "atl-south", "macon", "savannah"}) {
    CHECK(CountVoters(settings, zone) == 3);
  }
  CHECK(settings.data_folder() == "/var/lib/hawthorn/savannah-1");
  CHECK(ConfigurationIn(files).services(0).verifies_fencing());
}

TEST_CASE("A zone without disks gets voters with disks from other zones") {
  const GeneratedFiles files = GenerateExample("tidewater");
  const auto settings = SettingsIn(files, "instances/lighthouse-1.yaml");
  CHECK(CountControlVoters(settings) == 3);
  CHECK(CountVoters(settings, "lighthouse") == 3);
  CHECK(CountVoters(settings, "quay") == 3);
  CHECK(files.at("README.md").find("Zones without a disk: lighthouse") !=
        std::string::npos);
}

TEST_CASE("The empty form has findings for missing answers only") {
  const auto generated = Generate(QuestionnaireForm(), "form.yaml");
  REQUIRE(std::holds_alternative<core::FindingList>(generated));
  for (const auto& it : std::get<core::FindingList>(generated).findings()) {
    const bool is_missing =
        it.message.find("has no value") != std::string::npos ||
        it.message.find("have a disk") != std::string::npos;
    INFO(core::ToString(it));
    CHECK(is_missing);
    CHECK(it.position.line > 0);
  }
}

TEST_CASE("Contradictions between answers are found in one pass") {
  std::string text = Read(ExampleFolder("quetzal") / "answers.yaml");
  const auto replace = [&](const std::string& from, const std::string& to) {
    const size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    text.replace(at, from.size(), to);
  };
  replace("id: gt-a-2", "id: gt-a-1");
  replace("10.1.2.2:7300", "10.1.2.1:7300");
  replace("10.1.3.1:7300\", disk: true", "10.1.3.1:7300\"");
  replace("kind: model", "kind: plain\n    verifies_orders: true");
  replace("program_latency: 4", "program_latency: 0");
  replace("wasted_cache: 1", "wasted_cache: 0");
  replace("{id: teachers", "{id: families");
  const auto generated = Generate(text, "answers.yaml");
  REQUIRE(std::holds_alternative<core::FindingList>(generated));
  const auto& findings = std::get<core::FindingList>(generated);
  INFO(findings.Report());
  CHECK(findings.findings().size() == 6);
  CHECK(findings.Report().find("2 of 9 instances have a disk") !=
        std::string::npos);
}

TEST_CASE("Generated keys are valid for their organisation only") {
  const GeneratedFiles files = GenerateExample("peachtree");
  int n = 0;
  const GeneratedFiles secrets = GenerateKeys(files, [&n](size_t size) {
    return std::string(size, static_cast<char>(++n));
  });
  const auto configuration = ConfigurationIn(secrets);
  REQUIRE(configuration.organisations_size() == 3);
  for (const auto& it : configuration.organisations()) {
    std::string token = secrets.at("keys/organisations/" + it.id() + ".key");
    token.pop_back();
    for (const auto& other : configuration.organisations()) {
      CHECK(control::VerifyKey(token, other.keys(0)) ==
            (other.id() == it.id()));
    }
  }
  CHECK(secrets.at("keys/peer.key") != secrets.at("keys/operator.key"));
  CHECK(secrets.at("keys/peer.key").size() > 32);
}

}  // namespace
}  // namespace hawthorn::questionnaire

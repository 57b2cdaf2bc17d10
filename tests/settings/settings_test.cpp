#include "settings/settings.h"

#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "settings/reference.h"
#include "settings/rule_check.h"
#include "valid_settings.h"

namespace hawthorn::settings {
namespace {

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

core::FindingList FindingsOf(const std::string& text) {
  const auto parsed = ParseSettings(text, "a.yaml");
  if (const auto* findings = std::get_if<core::FindingList>(&parsed)) {
    return *findings;
  }
  return {};
}

bool HasFinding(const core::FindingList& list, int line, int column,
                const std::string& part) {
  return std::any_of(
      list.findings().begin(), list.findings().end(), [&](const auto& it) {
        return it.position.file == "a.yaml" && it.position.line == line &&
               it.position.column == column && !it.allowed.empty() &&
               it.message.find(part) != std::string::npos;
      });
}

TEST_CASE("Settings are read with units and defaults") {
  const auto parsed = ParseSettings(kValidSettings, "a.yaml");
  REQUIRE(std::holds_alternative<schema::Settings>(parsed));
  const auto& settings = std::get<schema::Settings>(parsed);
  CHECK(settings.limits().idle_timeout_ms() == 5000);
  CHECK(settings.limits().max_body_bytes() == 2 * 1024 * 1024);
  CHECK(settings.limits().drain_timeout_ms() == 300'000);
  CHECK(settings.log_level() == "info");
  CHECK(settings.upstream_lease_ms() == 2500);
  CHECK(settings.instances(0).control_voter());
  CHECK(settings.instances(1).ledger_zones(0) == "south");
}

TEST_CASE("All errors of a settings file are found in one pass") {
  std::string text = kValidSettings;
  text = Replace(text, "zone: north\n", "zone: west\n");
  text = Replace(text, "http_listen: 127.0.0.1:8080", "http_listn: 1.2.3.4:5");
  text = Replace(text, "idle_timeout: 5s", "idle_timeout: 5");
  text = Replace(text, "max_body: 2MiB", "max_body: 2TiB");
  text = Replace(text, "data_folder: data\n", "");
  text = Replace(text, "peer_key_file: peer.key\n", "log_level: loud\n");
  text = Replace(text, "10.0.0.2:7300", "10.0.0.1:7300");
  text += "zone: north\n";
  const core::FindingList findings = FindingsOf(text);
  INFO(findings.Report());
  CHECK(HasFinding(findings, 2, 7, "differs from the one in the list"));
  CHECK(HasFinding(findings, 3, 1, "did you mean 'http_listen'"));
  CHECK(HasFinding(findings, 1, 1, "'http_listen' is missing"));
  CHECK(HasFinding(findings, 8, 17, "'5' has no unit"));
  CHECK(HasFinding(findings, 9, 13, "unknown unit"));
  CHECK(HasFinding(findings, 1, 1, "has no data folder"));
  CHECK(HasFinding(findings, 1, 1, "'peer_key_file' is missing"));
  CHECK(HasFinding(findings, 5, 12, "'log_level' has the wrong value"));
  CHECK(HasFinding(findings, 12, 43, "is listed twice"));
  CHECK(HasFinding(findings, 13, 1, "key 'zone' stands twice"));
  CHECK(findings.findings().size() == 10);
}

// A temporary folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder()
      : path_(std::filesystem::temp_directory_path() /
              ("hawthorn-settings-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(path_);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }

  std::string Write(const std::string& name, const std::string& content) {
    const std::string path = (path_ / name).string();
    std::ofstream(path, std::ios::binary) << content;
    return path;
  }
  std::string PathOf(const std::string& name) const {
    return (path_ / name).string();
  }

 private:
  std::filesystem::path path_;
};

TEST_CASE("Loaded settings have resolved paths and valid key files") {
  TemporaryFolder folder;
  const std::string path = folder.Write("a.yaml", kValidSettings);
  const auto missing = LoadSettings(path);
  REQUIRE(std::holds_alternative<core::FindingList>(missing));
  CHECK(std::get<core::FindingList>(missing).findings().size() == 2);
  folder.Write("peer.key", std::string(32, 'k') + "\n");
  folder.Write("operator.key", std::string(31, 'k') + "\n");
  const auto too_short = LoadSettings(path);
  REQUIRE(std::holds_alternative<core::FindingList>(too_short));
  const auto& findings = std::get<core::FindingList>(too_short).findings();
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].position.line == 7);
  CHECK(findings[0].message.find("too short") != std::string::npos);
  folder.Write("operator.key", std::string(32, 'o'));
  const auto parsed = LoadSettings(path);
  REQUIRE(std::holds_alternative<schema::Settings>(parsed));
  CHECK(std::get<schema::Settings>(parsed).data_folder() ==
        folder.PathOf("data"));
}

TEST_CASE("A file that cannot be read is a finding") {
  TemporaryFolder folder;
  for (const std::string& path :
       {folder.PathOf("none.yaml"), folder.PathOf("")}) {
    CHECK(std::holds_alternative<core::FindingList>(LoadSettings(path)));
    CHECK(std::holds_alternative<core::FindingList>(LoadConfiguration(path)));
  }
}

TEST_CASE("Addresses are IP addresses with a port") {
  for (const char* text : {"1.2.3.4:5", "[::1]:65535"}) {
    CHECK(IsAddress(text, 1));
  }
  for (const char* text : {"", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0",
                           "1.2.3.4:65536", "1.2.3:5", "::1:5", "[1.2.3.4]:5",
                           "host:5", "1.2.3.4:+5", "1.2.3.4:99999999999"}) {
    CHECK_FALSE(IsAddress(text, 1));
  }
  CHECK(IsAddress("1.2.3.4:0", 0));
}

TEST_CASE("The reference page is up to date with the schema") {
  std::ifstream stream(std::string(HAWTHORN_SOURCE_DIR) + "/docs/SETTINGS.md");
  std::ostringstream page;
  page << stream.rdbuf();
  CHECK(page.str() == SettingsReference());
}

}  // namespace
}  // namespace hawthorn::settings

#include "settings/settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "settings/reference.h"

namespace hawthorn::settings {
namespace {

constexpr char kSettings[] = R"(instance: a-1
zone: north
http_listen: 127.0.0.1:8080
peer_listen: 127.0.0.1:7300
data_folder: data
peer_key_file: peer.key
operator_key_file: operator.key
limits:
  idle_timeout: 5s
  max_body: 2MiB
instances:
  - {instance: a-1, zone: north, address: "10.0.0.1:7300", has_disk: true, control_voter: true, ledger_zones: [north]}
  - {instance: a-2, zone: south, address: "10.0.0.2:7300", ledger_zones: [south]}
)";

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
        return it.place.file == "a.yaml" && it.place.line == line &&
               it.place.column == column && !it.allowed.empty() &&
               it.message.find(part) != std::string::npos;
      });
}

TEST_CASE("Settings are read with units and defaults") {
  const auto parsed = ParseSettings(kSettings, "a.yaml");
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

TEST_CASE("All faults of a settings file are found in one pass") {
  std::string text = kSettings;
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
  CHECK(HasFinding(findings, 12, 43, "stands twice"));
  CHECK(HasFinding(findings, 13, 1, "key 'zone' stands twice"));
  CHECK(findings.findings().size() == 10);
}

TEST_CASE("The reference page is in step with the schema") {
  std::ifstream stream(std::string(HAWTHORN_SOURCE_DIR) + "/docs/SETTINGS.md");
  std::ostringstream page;
  page << stream.rdbuf();
  CHECK(page.str() == SettingsReference());
}

}  // namespace
}  // namespace hawthorn::settings

#include "settings/settings.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <filesystem>
#include <utility>

#include "settings/configuration_check.h"
#include "settings/message_file.h"
#include "settings/settings_check.h"
#include "settings/yaml_writer.h"

namespace hawthorn::settings {
namespace {

// Minimum length of the key in a key file, without surrounding whitespace, and
// maximum size of the file.
constexpr size_t kMinKeyBytes = 32;
constexpr size_t kMaxKeyFileBytes = 4096;

std::string Resolve(const std::string& path,
                    const std::filesystem::path& folder) {
  return path.empty() ? path : (folder / path).lexically_normal().string();
}

void ResolvePaths(const std::filesystem::path& folder,
                  schema::Settings* settings) {
  settings->set_data_folder(Resolve(settings->data_folder(), folder));
  settings->set_peer_key_file(Resolve(settings->peer_key_file(), folder));
  settings->set_operator_key_file(
      Resolve(settings->operator_key_file(), folder));
  settings->set_first_configuration_file(
      Resolve(settings->first_configuration_file(), folder));
  settings->set_log_file(Resolve(settings->log_file(), folder));
}

void CheckKeyFile(const std::string& key, const std::string& path,
                  std::vector<Problem>* problems) {
  if (path.empty()) {
    return;
  }
  const auto content = ReadTextFile(path, kMaxKeyFileBytes);
  if (const auto* found = std::get_if<core::FindingList>(&content)) {
    problems->push_back(
        {key, absl::StrCat(path, ": ", found->findings().front().message),
         "a readable file with a key of at least 32 characters"});
    return;
  }
  const absl::string_view secret =
      absl::StripAsciiWhitespace(std::get<std::string>(content));
  if (secret.size() < kMinKeyBytes) {
    problems->push_back(
        {key, absl::StrCat(path, ": the key is missing or too short"),
         "at least 32 characters"});
  }
}

std::vector<Problem> CheckFiles(const schema::Settings& settings) {
  std::vector<Problem> problems;
  CheckKeyFile("peer_key_file", settings.peer_key_file(), &problems);
  CheckKeyFile("operator_key_file", settings.operator_key_file(), &problems);
  const std::string& first = settings.first_configuration_file();
  std::error_code ec;
  if (!first.empty() && !std::filesystem::is_regular_file(first, ec)) {
    problems.push_back({"first_configuration_file",
                        absl::StrCat(first, ": the file does not exist"),
                        "the path of a configuration file"});
  }
  return problems;
}

}  // namespace

Parsed<schema::Settings> ParseSettings(std::string_view text,
                                       const std::string& file_name) {
  return ParseMessage<schema::Settings>(text, file_name, CheckSettings);
}

Parsed<schema::Settings> LoadSettings(const std::string& path) {
  auto content = ReadTextFile(path, kMaxFileBytes);
  if (auto* findings = std::get_if<core::FindingList>(&content)) {
    return std::move(*findings);
  }
  const std::filesystem::path folder =
      std::filesystem::path(path).parent_path();
  schema::Settings resolved;
  auto parsed = ParseMessage<schema::Settings>(
      std::get<std::string>(content), path, [&](const schema::Settings& it) {
        resolved = it;
        ResolvePaths(folder, &resolved);
        std::vector<Problem> problems = CheckSettings(it);
        const std::vector<Problem> more = CheckFiles(resolved);
        problems.insert(problems.end(), more.begin(), more.end());
        return problems;
      });
  if (std::holds_alternative<core::FindingList>(parsed)) {
    return parsed;
  }
  return resolved;
}

Parsed<schema::Configuration> ParseConfiguration(std::string_view text,
                                                 const std::string& file_name) {
  return ParseMessage<schema::Configuration>(text, file_name,
                                             CheckConfiguration);
}

Parsed<schema::Configuration> LoadConfiguration(const std::string& path) {
  auto content = ReadTextFile(path, kMaxFileBytes);
  if (auto* findings = std::get_if<core::FindingList>(&content)) {
    return std::move(*findings);
  }
  return ParseConfiguration(std::get<std::string>(content), path);
}

std::string SettingsToYaml(const schema::Settings& settings) {
  return MessageToYaml(settings);
}

std::string ConfigurationToYaml(const schema::Configuration& configuration) {
  return MessageToYaml(configuration);
}

}  // namespace hawthorn::settings

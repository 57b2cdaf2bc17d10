#pragma once

#include <google/protobuf/message.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/finding.h"
#include "settings/rule_check.h"
#include "settings/yaml_reader.h"

namespace hawthorn::settings {

/// Maximum size of a YAML file in bytes.
inline constexpr size_t kMaxFileBytes = size_t{64} << 20;

/// Content of the file `path`, or a finding if it cannot be read or is larger
/// than `max_bytes`.
std::variant<std::string, core::FindingList> ReadTextFile(
    const std::string& path, size_t max_bytes);

/// Adds `problems` to the findings of `document`, each with its position,
/// except for fields that already have a finding.
void AddProblems(const std::vector<Problem>& problems, YamlDocument* document);

/// Parses `text` as a message of type `T` and checks it with `check`. Returns
/// the message or all findings.
template <typename T, typename Check>
std::variant<T, core::FindingList> ParseMessage(std::string_view text,
                                                const std::string& file_name,
                                                const Check& check) {
  T message;
  YamlDocument document = ReadYaml(text, file_name, &message);
  if (document.faulty_paths.count("") == 0) {
    AddProblems(check(message), &document);
  }
  if (!document.findings.empty()) {
    return std::move(document.findings);
  }
  return message;
}

}  // namespace hawthorn::settings

#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "control.pb.h"
#include "core/finding.h"
#include "settings.pb.h"

// Reads and writes settings and configurations as YAML files. All errors of a
// file are found in one pass; each finding gives the file, line and column, and
// what is allowed.
namespace hawthorn::settings {

/// A message, or all findings about the text that it was read from.
template <typename T>
using Parsed = std::variant<T, core::FindingList>;

/// Parses settings; `file_name` is used only in findings. Paths in the settings
/// are not resolved and the files that they name are not read.
Parsed<schema::Settings> ParseSettings(std::string_view text,
                                       const std::string& file_name);

/// Reads the settings file `path`. Paths in it are relative to its folder and
/// are returned resolved. Key files that are missing, unreadable or too short,
/// and a missing first configuration file, are findings too.
Parsed<schema::Settings> LoadSettings(const std::string& path);

/// Parses a configuration; `file_name` is used only in findings.
Parsed<schema::Configuration> ParseConfiguration(std::string_view text,
                                                 const std::string& file_name);

/// Reads the configuration file `path`.
Parsed<schema::Configuration> LoadConfiguration(const std::string& path);

/// Formats settings as YAML that ParseSettings parses to an equal message.
std::string SettingsToYaml(const schema::Settings& settings);

/// Formats a configuration as YAML that ParseConfiguration parses to an equal
/// message.
std::string ConfigurationToYaml(const schema::Configuration& configuration);

}  // namespace hawthorn::settings

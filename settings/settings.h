#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "control.pb.h"
#include "core/finding.h"
#include "settings.pb.h"

// Settings and configurations as YAML files. Everything wrong with a file is
// found in one pass, each finding with file, line, column and what is allowed.
namespace hawthorn::settings {

/// A message, or everything that is wrong with the text it was read from.
template <typename T>
using Parsed = std::variant<T, core::FindingList>;

/// Reads settings from `text`; `file_name` appears in findings only. Paths
/// stay as written and no file that they name is read.
Parsed<schema::Settings> ParseSettings(std::string_view text,
                                       const std::string& file_name);

/// Reads the settings file `path`. Paths inside it are taken relative to its
/// folder and returned resolved. Key files that are missing, unreadable or
/// too short and a missing first configuration file are findings too.
Parsed<schema::Settings> LoadSettings(const std::string& path);

/// Reads a configuration from `text`; `file_name` appears in findings only.
Parsed<schema::Configuration> ParseConfiguration(std::string_view text,
                                                 const std::string& file_name);

/// Reads the configuration file `path`.
Parsed<schema::Configuration> LoadConfiguration(const std::string& path);

/// Writes settings as YAML that ParseSettings reads back as an equal message.
std::string SettingsToYaml(const schema::Settings& settings);

/// Writes a configuration as YAML that ParseConfiguration reads back as an
/// equal message.
std::string ConfigurationToYaml(const schema::Configuration& configuration);

}  // namespace hawthorn::settings

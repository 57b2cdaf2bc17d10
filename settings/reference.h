#pragma once

#include <string>

namespace hawthorn::settings {

/// Reference page of all settings and of the configuration, in Markdown,
/// generated from the rules of the schema.
std::string SettingsReference();

}  // namespace hawthorn::settings

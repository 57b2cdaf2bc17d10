#pragma once

#include <vector>

#include "settings.pb.h"
#include "settings/rule_check.h"

namespace hawthorn::settings {

/// Everything wrong with the settings of one instance: rules of the fields
/// and contradictions between them. Reads no file.
std::vector<Problem> CheckSettings(const schema::Settings& value);

}  // namespace hawthorn::settings

#pragma once

#include <vector>

#include "settings.pb.h"
#include "settings/rule_check.h"

namespace hawthorn::settings {

/// Returns all errors of the settings of one instance: violated field rules and
/// contradictions between fields. Reads no files.
std::vector<Problem> CheckSettings(const schema::Settings& value);

}  // namespace hawthorn::settings

#pragma once

#include <vector>

#include "control.pb.h"
#include "settings/rule_check.h"

namespace hawthorn::settings {

/// Returns all errors of a configuration: violated field rules, duplicate ids
/// and contradictions. Used both by the file loader and by the control group.
std::vector<Problem> CheckConfiguration(const schema::Configuration& value);

/// The part of CheckConfiguration that is not covered by field rules: duplicate
/// ids, the sizes of salts and digests, and contradictions between fields.
std::vector<Problem> CheckConfigurationConsistency(
    const schema::Configuration& value);

}  // namespace hawthorn::settings

#pragma once

#include <vector>

#include "control.pb.h"
#include "settings/rule_check.h"

namespace hawthorn::settings {

/// Everything wrong with a configuration: rules of the fields, doubled ids
/// and contradictions. The loader of files and the control group use the
/// same check.
std::vector<Problem> CheckConfiguration(const schema::Configuration& value);

/// The part of CheckConfiguration that looks at several elements together:
/// doubled ids, digests and contradictions between fields.
std::vector<Problem> CheckConfigurationConsistency(
    const schema::Configuration& value);

}  // namespace hawthorn::settings

#pragma once

#include <string>
#include <vector>

#include "control.pb.h"
#include "settings/rule_check.h"

// Patches of single elements of a configuration. The control group keeps
// configurations sorted by id, so that equal ones have equal bytes.
namespace hawthorn::control {

/// Sorts the elements of each list by id.
void SortConfiguration(schema::Configuration* configuration);

/// Patch that turns `before` into `after`; both must be sorted.
schema::ConfigurationPatch DiffConfigurations(
    const schema::Configuration& before, const schema::Configuration& after);

/// Patch that undoes `patch` after it was applied to `before`, a sorted
/// configuration.
schema::ConfigurationPatch InvertPatch(const schema::Configuration& before,
                                       const schema::ConfigurationPatch& patch);

/// Problems of the elements of `patch` if it is applied to `before`, a sorted
/// configuration.
std::vector<settings::Problem> CheckPatch(
    const schema::Configuration& before,
    const schema::ConfigurationPatch& patch);

/// Applies a checked patch to a sorted configuration, which stays sorted.
void ApplyPatch(const schema::ConfigurationPatch& patch,
                schema::Configuration* configuration);

}  // namespace hawthorn::control

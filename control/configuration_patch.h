#pragma once

#include <string>
#include <vector>

#include "control.pb.h"
#include "settings/rule_check.h"

// Changes of single elements of a configuration. Configurations in the
// control group are kept sorted by id, so that equal ones have equal bytes.
namespace hawthorn::control {

/// Sorts the elements of each list by id.
void SortConfiguration(schema::Configuration* configuration);

/// Change that leads from `before` to `after`, both sorted.
schema::ConfigurationPatch DiffConfigurations(
    const schema::Configuration& before, const schema::Configuration& after);

/// Change that undoes `patch` once it was applied to `before`, a sorted
/// configuration.
schema::ConfigurationPatch InvertPatch(const schema::Configuration& before,
                                       const schema::ConfigurationPatch& patch);

/// Everything wrong with the elements of `patch`, seen against the sorted
/// configuration that it is to change.
std::vector<settings::Problem> CheckPatch(
    const schema::Configuration& before,
    const schema::ConfigurationPatch& patch);

/// Applies a checked patch to a sorted configuration, which stays sorted.
void ApplyPatch(const schema::ConfigurationPatch& patch,
                schema::Configuration* configuration);

}  // namespace hawthorn::control

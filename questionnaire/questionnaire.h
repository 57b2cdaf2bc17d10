#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "core/finding.h"

// Generates the settings of the instances and the first configuration of a
// deployment from a team's answers.
namespace hawthorn::questionnaire {

/// Contents of files by their path relative to the output folder.
using GeneratedFiles = std::map<std::string, std::string>;

/// Returns `size` random bytes from a cryptographically secure source.
using RandomSource = std::function<std::string(size_t size)>;

/// An empty form in YAML. A comment above each key explains the question and
/// the allowed values.
std::string QuestionnaireForm();

/// Generates the settings of every instance ("instances/ID.yaml"), the first
/// configuration ("configuration.yaml") and a page for the operator
/// ("README.md"). Equal answers give equal files; no keys are generated.
/// `file_name` is used only in findings.
std::variant<GeneratedFiles, core::FindingList> Generate(
    std::string_view answers, const std::string& file_name);

/// Generates the key of the instances, the key of the operators and one key for
/// each organisation of `files`, all under "keys/", and a new version of the
/// first configuration that contains the digests of the organisations' keys.
/// Files under "keys/" are secret.
GeneratedFiles GenerateKeys(const GeneratedFiles& files,
                            const RandomSource& random);

}  // namespace hawthorn::questionnaire

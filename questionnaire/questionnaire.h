#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "core/finding.h"

// From a team's answers to the settings of its instances and its first
// configuration.
namespace hawthorn::questionnaire {

/// Contents by their path relative to the output folder.
using GeneratedFiles = std::map<std::string, std::string>;

/// Fills a buffer with `size` random bytes from a source fit for secrets.
using RandomSource = std::function<std::string(size_t size)>;

/// An empty form in YAML; a comment above each question says what is asked
/// and what is allowed.
std::string QuestionnaireForm();

/// Generates the settings of every instance ("instances/ID.yaml"), the first
/// configuration ("configuration.yaml") and a page for the operator
/// ("README.md"). Equal answers give equal files; keys are not among them.
/// `file_name` appears in findings only.
std::variant<GeneratedFiles, core::FindingList> Generate(
    std::string_view answers, const std::string& file_name);

/// Generates what Generate leaves out: the keys of instances and operators
/// and one key for each organisation of `files`, all under "keys/", and the
/// first configuration again, now with the digests of these keys. Files
/// under "keys/" are secret.
GeneratedFiles GenerateKeys(const GeneratedFiles& files,
                            const RandomSource& random);

}  // namespace hawthorn::questionnaire

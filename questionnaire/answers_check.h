#pragma once

#include <vector>

#include "questionnaire.pb.h"
#include "settings/rule_check.h"

namespace hawthorn::questionnaire {

/// Returns all errors of a team's answers: violated field rules and
/// contradictions between answers.
std::vector<settings::Problem> CheckAnswers(const schema::Answers& answers);

}  // namespace hawthorn::questionnaire

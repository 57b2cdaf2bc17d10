#pragma once

#include <vector>

#include "questionnaire.pb.h"
#include "settings/rule_check.h"

namespace hawthorn::questionnaire {

/// Everything wrong with a team's answers: rules of the fields and
/// contradictions between the answers.
std::vector<settings::Problem> CheckAnswers(const schema::Answers& answers);

}  // namespace hawthorn::questionnaire

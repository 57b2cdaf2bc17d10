#pragma once

#include <string>

#include "questionnaire.pb.h"
#include "questionnaire/voter_plan.h"

namespace hawthorn::questionnaire {

/// Page for the operator of a generated deployment, in Markdown: the purpose of
/// each file, how to start, and which failures the deployment tolerates.
std::string OperatorPage(const schema::Answers& answers, const VoterPlan& plan);

}  // namespace hawthorn::questionnaire

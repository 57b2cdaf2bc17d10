#pragma once

#include <string>

#include "questionnaire.pb.h"
#include "questionnaire/voter_plan.h"

namespace hawthorn::questionnaire {

/// Page for the operator of a generated deployment, in Markdown: what each
/// file is for, how to start, and what may fail without loss.
std::string OperatorPage(const schema::Answers& answers, const VoterPlan& plan);

}  // namespace hawthorn::questionnaire

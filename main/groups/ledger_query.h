#pragma once

#include <string>

#include "control/control_state.h"
#include "core/error.h"
#include "programs/ledger.h"

// Reads of the replicated state machines, answered by their leaders.
namespace hawthorn::main {

/// Answers a serialized LedgerQuery with a serialized LedgerQueryReply.
core::Result<std::string> AnswerLedgerQuery(const programs::Ledger& ledger,
                                            const std::string& query);

/// Answers a serialized ControlQuery with a serialized ControlQueryReply.
core::Result<std::string> AnswerControlQuery(const control::ControlState& state,
                                             const std::string& query);

}  // namespace hawthorn::main

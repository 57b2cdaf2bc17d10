#pragma once

#include <string>

#include "control/control_state.h"
#include "core/error.h"
#include "programs/ledger.h"

// Queries of the replicated state machines, evaluated on their leaders.
namespace hawthorn::main {

/// Evaluates a serialized LedgerQuery and returns a serialized
/// LedgerQueryReply.
core::Result<std::string> EvaluateLedgerQuery(const programs::Ledger& ledger,
                                              const std::string& query);

/// Evaluates a serialized ControlQuery and returns a serialized
/// ControlQueryReply.
core::Result<std::string> EvaluateControlQuery(
    const control::ControlState& state, const std::string& query);

}  // namespace hawthorn::main

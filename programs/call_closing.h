#pragma once

#include <cstdint>
#include <string>

#include "ledger.pb.h"
#include "programs/ledger_state.h"

namespace hawthorn::programs::detail {

/// Amounts that a call reserves, or that it used.
struct CallAmounts {
  int64_t tokens = 0;
  int64_t cost = 0;
};

/// Budget amounts of the pending call of `program`.
BudgetAmounts ReservedBy(const PendingCall& call);

/// Records `finish` as the outcome of the pending call and settles budgets with
/// `charged`. An outcome "not run" becomes unknown if an earlier attempt may
/// have run. Returns the recorded outcome.
schema::FinishCall CloseCall(LedgerState* state, Program* program,
                             const schema::FinishCall& finish,
                             const CallAmounts& charged);

/// Ends the pending call of an owner that is gone: unknown, with the whole
/// reservation charged.
schema::FinishCall CloseLost(LedgerState* state, Program* program);

/// Charges a failed attempt besides the reservation.
void ChargeAttempt(LedgerState* state, Program* program,
                   const CallAmounts& charged);

/// Reports a use above a program's limit to its parents.
void PassOverdraftUp(LedgerState* state, Program* program);

/// Root of the tree that `program` belongs to.
Program* RootOf(const LedgerState& state, Program* program);

}  // namespace hawthorn::programs::detail

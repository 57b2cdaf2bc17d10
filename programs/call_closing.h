#pragma once

#include <cstdint>
#include <string>

#include "ledger.pb.h"
#include "programs/ledger_state.h"

namespace hawthorn::programs::detail {

/// Amounts that a call reserves or uses.
struct CallAmounts {
  int64_t tokens = 0;
  int64_t cost = 0;
};

/// Budget amounts that `call` reserves.
BudgetAmounts ReservedBy(const PendingCall& call);

/// Records `finish` as the outcome of the pending call and settles the budgets
/// with `charged`. The outcome "not run" is recorded as unknown if an earlier
/// attempt may have run. Returns the recorded outcome.
schema::FinishCall CloseCall(LedgerState* state, Program* program,
                             const schema::FinishCall& finish,
                             const CallAmounts& charged);

/// Records the outcome unknown for the pending call of a lost owner and charges
/// the whole reservation.
schema::FinishCall CloseAfterOwnerLoss(LedgerState* state, Program* program);

/// Charges a failed attempt; the reservation of the call stays.
void ChargeAttempt(LedgerState* state, Program* program,
                   const CallAmounts& charged);

/// Adds use above a program's limit to the carved parts of its ancestors.
void PropagateOverdraft(LedgerState* state, Program* program);

/// Root of the tree of sub-agents that contains `program`.
Program* RootOf(const LedgerState& state, Program* program);

}  // namespace hawthorn::programs::detail

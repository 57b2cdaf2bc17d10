#pragma once

#include <vector>

#include "ledger.pb.h"
#include "programs/hold_register.h"
#include "programs/ledger_options.h"
#include "programs/organisation_slices.h"
#include "programs/poison_register.h"
#include "programs/program_table.h"
#include "programs/reply.h"
#include "programs/timer_index.h"

namespace hawthorn::programs::detail {

/// The ledger's state, which its rules read and change.
struct LedgerState {
  LedgerOptions options;
  /// Highest wall time seen, in milliseconds.
  int64_t now_ms = 0;
  ProgramTable programs;
  TimerIndex timers;
  OrganisationSlices slices;
  PoisonRegister poison;
  HoldRegister holds;
  /// Programs that ended while the current command was applied.
  std::vector<schema::EndedProgram> ended;
};

}  // namespace hawthorn::programs::detail

#pragma once

#include <string>

#include "ledger.pb.h"
#include "programs/ledger_state.h"

namespace hawthorn::programs::detail {

/// Rules for the life of a program: creation, pauses, deadlines and ends.
class LifecycleRules {
 public:
  explicit LifecycleRules(LedgerState* state) : state_(*state) {}

  schema::LedgerReply Create(const schema::CreateProgram& create);
  schema::LedgerReply BeginPause(const schema::BeginPause& begin);
  schema::LedgerReply EndPause(const schema::EndPause& end);
  schema::LedgerReply End(const schema::EndProgram& end);

  /// Ends, compacts and prunes what is due at the time of the ledger.
  void PassTime();

  /// Ends a program and all its sub-agents.
  void EndTree(Program* program, const std::string& reason);

  /// Records that the program was active, and sets its next deadline.
  void Touch(Program* program);

  /// Sets the next deadline and gives the budget back to the parent once the
  /// program is finished. To be called after each change.
  void Update(Program* program);

 private:
  std::string FindFault(const schema::CreateProgram& create) const;
  schema::LedgerReply Recreate(const Program& program,
                               const schema::CreateProgram& create) const;
  schema::LedgerReply CreateNew(const schema::CreateProgram& create);
  void EndOne(Program* program, const std::string& reason);
  void GiveBack(Program* program);
  void Expire(Program* program);
  void ExpirePause(Program* program);

  LedgerState& state_;
};

}  // namespace hawthorn::programs::detail

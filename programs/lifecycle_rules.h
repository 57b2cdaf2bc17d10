#pragma once

#include <string>

#include "ledger.pb.h"
#include "programs/ledger_state.h"

namespace hawthorn::programs::detail {

/// Rules for a program's lifecycle: creation, pauses, deadlines and end.
class LifecycleRules {
 public:
  explicit LifecycleRules(LedgerState* state) : state_(*state) {}

  schema::LedgerReply Create(const schema::CreateProgram& create);
  schema::LedgerReply BeginPause(const schema::BeginPause& begin);
  schema::LedgerReply EndPause(const schema::EndPause& end);
  schema::LedgerReply End(const schema::EndProgram& end);

  /// Handles the deadlines due at the ledger's time: expires holds and crash
  /// reports, and ends, compacts or erases programs.
  void HandleDueDeadlines();

  /// Ends a program and all its sub-agents.
  void EndTree(Program* program, const std::string& reason);

  /// Restarts the idle time of the program and updates its next deadline.
  void MarkActive(Program* program);

  /// Updates the next deadline of the program, and returns its budget to the
  /// parent once it is finished. Must be called after each change.
  void Update(Program* program);

 private:
  /// Returns the reason why `create` is invalid, or an empty string.
  std::string Validate(const schema::CreateProgram& create) const;
  /// Reply to the creation of a program that exists already.
  schema::LedgerReply CreateResent(const Program& program,
                                   const schema::CreateProgram& create) const;
  schema::LedgerReply CreateNew(const schema::CreateProgram& create);
  void EndOne(Program* program, const std::string& reason);
  void ReturnBudget(Program* program);
  void Expire(Program* program);
  void ExpirePause(Program* program);

  LedgerState& state_;
};

}  // namespace hawthorn::programs::detail

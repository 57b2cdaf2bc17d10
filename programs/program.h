#pragma once

#include <absl/container/btree_set.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "ledger.pb.h"
#include "programs/budget_account.h"
#include "programs/call_record.h"
#include "programs/ledger_options.h"

namespace hawthorn::programs {

/// Message that the ledger adds to a history after the call `after_number`.
struct HistoryNote {
  uint32_t after_number = 0;
  std::string text;
};

/// A tool pause in progress.
struct ToolPause {
  std::string tool;
  int64_t deadline_ms = 0;
};

/// A program with its identity, its calls in order, its budget and its state.
class Program {
 public:
  Program(uint64_t serial, const schema::CreateProgram& create,
          int64_t created_ms);
  explicit Program(const schema::SnapshotProgram& snapshot);

  /// Whether `create` has the content that this program was created with.
  bool IsCreatedBy(const schema::CreateProgram& create) const;

  /// Number of the next call to begin; the number of the pending call if there
  /// is one.
  uint32_t next_number() const {
    return static_cast<uint32_t>(calls.size()) + 1;
  }

  /// Record of a call; null if it has no outcome.
  const CallRecord* FindRecord(uint32_t number) const;

  /// Appends `record` as the outcome of the pending call.
  void Append(CallRecord record);

  /// Outcome of a call with the program and the number of the call.
  schema::FinishCall OutcomeOf(uint32_t number) const;

  /// The pending call with the program and its number. There must be one.
  schema::OpenCall OpenCall() const;

  /// Drops the content of the history except for what a resend needs: the
  /// outcomes, the last answer and the answers of plain services.
  void Compact();

  /// Earliest deadline of the program; TimerIndex::kNever if there is none.
  int64_t NextDeadline(const LedgerOptions& options) const;

  /// Time at which the idle program expires; TimerIndex::kNever if it is not
  /// idle.
  int64_t IdleDeadline(const LedgerOptions& options) const;

  /// Whether the program has ended, none of its calls is open and its
  /// sub-agents are finished.
  bool IsFinished() const { return ended && !pending && children.empty(); }

  /// History from the call `from_number` on.
  std::vector<schema::HistoryEntry> History(uint32_t from_number) const;

  schema::ProgramSummary Summary() const;
  schema::SnapshotProgram ToSnapshot() const;

  // State, which the rules of the ledger change.
  uint64_t serial = 0;
  uint64_t parent_serial = 0;
  std::string id;
  std::string organisation;
  std::string parent;
  std::string service_class;
  schema::ToolTimeoutAction on_tool_timeout =
      schema::TOOL_TIMEOUT_ACTION_UNSPECIFIED;
  int64_t idle_expiry_ms = 0;
  int64_t wall_budget_ms = 0;
  /// Creation time in the program id.
  int64_t id_ms = 0;
  int64_t created_ms = 0;
  int64_t active_ms = 0;
  int64_t wall_deadline_ms = 0;
  int64_t ended_ms = 0;
  int64_t history_tokens = 0;
  /// Tokens used by the program and all its sub-agents.
  int64_t attained_tokens = 0;
  BudgetAccount budget;
  /// Serial numbers of the sub-agents that have not returned their budget yet.
  absl::btree_set<uint64_t> children;
  std::vector<CallRecord> calls;
  std::vector<HistoryNote> notes;
  std::unique_ptr<PendingCall> pending;
  std::unique_ptr<ToolPause> pause;
  std::string reason;
  uint32_t last_pause = 0;
  uint32_t depth = 0;
  bool ended = false;
  bool compacted = false;
  /// The budget was returned to the parent.
  bool returned = false;
};

}  // namespace hawthorn::programs

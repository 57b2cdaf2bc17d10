#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "ledger.pb.h"
#include "programs/ledger_options.h"
#include "programs/ledger_state.h"

// The ledger of a zone's programs: their order, budgets, outcomes and the
// engine memory that is held for them. A deterministic state machine without
// input, output, threads or a clock.
namespace hawthorn::programs {

/// Counts of a ledger.
struct LedgerStats {
  size_t programs = 0;
  size_t running = 0;
  size_t open_calls = 0;
  /// Open calls whose owner was lost; they wait for RetryCall.
  size_t orphaned_calls = 0;
  /// Bytes of messages and answers.
  uint64_t history_bytes = 0;
  HoldTotals held;
  HoldTotals to_release;
  size_t suspected = 0;
  size_t condemned = 0;

  auto operator<=>(const LedgerStats&) const = default;
};

/// Replicated ledger of one zone. Every replica that applies the same commands
/// with the same options has the same state and gives the same replies. Not
/// thread-safe.
class Ledger {
 public:
  explicit Ledger(LedgerOptions options = {});

  /// Applies a command. Time never goes backward: a wall_ms below the highest
  /// one seen counts as that one. What is due by then happens first.
  schema::LedgerReply Apply(const schema::LedgerCommand& command);

  /// Applies the serialized command at `index` of the log and returns the
  /// serialized reply. An index that was applied before, or bytes that are no
  /// command, change nothing and give an invalid verdict.
  std::string Apply(uint64_t index, std::string_view command);

  /// The whole state; equal states give equal bytes.
  std::string Snapshot() const;

  /// Replaces the state. On an error the old state is kept: kInvalidArgument
  /// for bytes that are no snapshot or that are of another format.
  core::Status Restore(std::string_view snapshot);

  /// Index of the last applied log entry; 0 before the first.
  uint64_t applied_index() const { return applied_index_; }

  /// Wall time of the ledger in milliseconds.
  int64_t now_ms() const { return state_.now_ms; }

  /// Program of the organisation; nothing for an id that does not exist or
  /// that belongs to another organisation.
  std::optional<schema::ProgramSummary> Find(const std::string& organisation,
                                             const std::string& program) const;

  /// Recorded outcome of a call; nothing while it has none.
  std::optional<schema::FinishCall> Outcome(const std::string& organisation,
                                            const std::string& program,
                                            uint32_t number) const;

  /// Messages and answers in order from call `from_number` on, with committed
  /// outcomes only. A prompt is made of the entries that ran and of the
  /// ledger's messages. Empty for an unknown program.
  std::vector<schema::HistoryEntry> History(const std::string& organisation,
                                            const std::string& program,
                                            uint32_t from_number = 1) const;

  /// Open calls of an owner; those of lost owners for an empty name.
  std::vector<schema::OpenCall> OpenCallsOf(const std::string& owner) const;

  /// Programs of an organisation, the newest first; of all for an empty name.
  std::vector<schema::ProgramSummary> List(const std::string& organisation,
                                           size_t limit) const;

  /// Holds of a program that are not to be released.
  std::vector<schema::Hold> HoldsOf(const std::string& organisation,
                                    const std::string& program) const;

  /// Holds that their engines are to release; each stays listed until
  /// ReleaseHold, a listing without it, or the loss of its upstream.
  std::vector<schema::Hold> HoldsToRelease() const;

  /// Upstreams whose listing of holds is needed.
  std::vector<std::string> UpstreamsToReconcile() const;

  /// Requests with evidence of crashes, for operators.
  std::vector<schema::PoisonEntry> Poison() const;

  /// Slices of an organisation in this zone.
  schema::SnapshotOrganisation SlicesOf(const std::string& organisation) const;

  /// Owners of open calls, in no order.
  std::vector<std::string> Owners() const { return state_.programs.Owners(); }

  /// Wall time in milliseconds at which a pause or program is next due to
  /// end; nothing if none is.
  std::optional<int64_t> NextDeadline() const {
    return state_.timers.Earliest();
  }

  /// Counts; costs a pass over all programs.
  LedgerStats Stats() const;

 private:
  schema::LedgerReply Dispatch(const schema::LedgerCommand& command);
  schema::LedgerReply Acquire(const schema::AcquireHold& acquire);
  schema::LedgerReply ReportCrash(const schema::ReportCrash& report);

  detail::LedgerState state_;
  uint64_t applied_index_ = 0;
};

}  // namespace hawthorn::programs

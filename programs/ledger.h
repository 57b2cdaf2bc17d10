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

// The ledger of a zone's programs: the order of their calls, budgets, outcomes
// and held cached prefixes. A deterministic state machine that does no I/O,
// runs no threads and reads no clock.
namespace hawthorn::programs {

/// Statistics of a ledger.
struct LedgerStats {
  size_t programs = 0;
  size_t running = 0;
  size_t open_calls = 0;
  /// Open calls whose owner was lost and which wait for another attempt.
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
/// with the same options has the same state and returns the same replies. Not
/// thread-safe.
class Ledger {
 public:
  explicit Ledger(LedgerOptions options = {});

  /// Applies a command. Time never goes backward: a wall_ms below the highest
  /// one seen is replaced by it. Deadlines due by then are handled first.
  schema::LedgerReply Apply(const schema::LedgerCommand& command);

  /// Applies the serialized command at `index` of the log and returns the
  /// serialized reply. An index that was applied before, or bytes that do not
  /// parse as a command, get an invalid verdict and change nothing.
  std::string Apply(uint64_t index, std::string_view command);

  /// The serialized state; equal states give equal bytes.
  std::string Snapshot() const;

  /// Replaces the state. Error: kInvalidArgument if the bytes do not parse as a
  /// snapshot or have another format version; the old state is kept.
  core::Status Restore(std::string_view snapshot);

  /// Index of the last applied log entry; 0 before the first.
  uint64_t applied_index() const { return applied_index_; }

  /// Wall time of the ledger in milliseconds.
  int64_t now_ms() const { return state_.now_ms; }

  /// Program of the organisation; std::nullopt if the id does not exist or
  /// belongs to another organisation.
  std::optional<schema::ProgramSummary> Find(const std::string& organisation,
                                             const std::string& program) const;

  /// Recorded outcome of a call; std::nullopt if it has none.
  std::optional<schema::FinishCall> Outcome(const std::string& organisation,
                                            const std::string& program,
                                            uint32_t number) const;

  /// Messages and answers of the calls with a committed outcome, in order from
  /// call `from_number` on. A prompt consists of the entries that ran and of
  /// the ledger's messages. Empty for an unknown program.
  std::vector<schema::HistoryEntry> History(const std::string& organisation,
                                            const std::string& program,
                                            uint32_t from_number = 1) const;

  /// Open calls of an owner; for an empty name, those of lost owners.
  std::vector<schema::OpenCall> OpenCallsOf(const std::string& owner) const;

  /// Programs of an organisation, newest first; for an empty name, of all
  /// organisations.
  std::vector<schema::ProgramSummary> List(const std::string& organisation,
                                           size_t limit) const;

  /// Holds of a program that are not marked for release.
  std::vector<schema::Hold> HoldsOf(const std::string& organisation,
                                    const std::string& program) const;

  /// Holds that are marked for release by their engines. Each stays listed
  /// until a ReleaseHold, a listing without it, or the loss of its upstream.
  std::vector<schema::Hold> HoldsToRelease() const;

  /// Upstreams with missing events, whose listing of holds is needed.
  std::vector<std::string> UpstreamsToReconcile() const;

  /// Requests suspected of or condemned for crashes, for operators.
  std::vector<schema::PoisonEntry> PoisonEntries() const;

  /// Slices and use of an organisation in this zone.
  schema::SnapshotOrganisation SlicesOf(const std::string& organisation) const;

  /// Owners of open calls, in no particular order.
  std::vector<std::string> Owners() const { return state_.programs.Owners(); }

  /// Earliest deadline of a pause or program in milliseconds of wall time;
  /// std::nullopt if there is none.
  std::optional<int64_t> NextDeadline() const {
    return state_.timers.Earliest();
  }

  /// Statistics; iterates over all programs and their calls.
  LedgerStats Stats() const;

 private:
  schema::LedgerReply Dispatch(const schema::LedgerCommand& command);
  schema::LedgerReply Acquire(const schema::AcquireHold& acquire);
  schema::LedgerReply ReportCrash(const schema::ReportCrash& report);

  detail::LedgerState state_;
  uint64_t applied_index_ = 0;
};

}  // namespace hawthorn::programs

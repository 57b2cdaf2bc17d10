#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"

// What a replica keeps across restarts, and the interface that keeps it.
namespace hawthorn::storage {

/// One life of a replica's stored state. An instance whose state was lost
/// comes back with another incarnation and is another replica.
struct ReplicaId {
  std::string instance;
  uint64_t incarnation = 0;

  bool empty() const { return instance.empty(); }
  auto operator<=>(const ReplicaId&) const = default;
};

/// What a log entry holds.
enum class EntryKind {
  kCommand,     ///< A command of the state machine.
  kEmpty,       ///< Opens a leader's term.
  kMembership,  ///< A serialized membership of the group.
};

/// One entry of the replicated log.
struct LogEntry {
  uint64_t index = 0;
  uint64_t term = 0;
  EntryKind kind = EntryKind::kCommand;
  std::string data;

  auto operator<=>(const LogEntry&) const = default;
};

/// Term and vote, which must be synced before they are acted upon.
struct HardState {
  uint64_t term = 0;
  /// Empty as long as no vote was given in `term`.
  ReplicaId voted_for;

  auto operator<=>(const HardState&) const = default;
};

/// State of the machine after the entry `index`, and the group's membership.
struct Snapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  std::string membership;
  std::string data;

  auto operator<=>(const Snapshot&) const = default;
};

/// One group commit: written and synced as a whole or not at all.
struct LogBatch {
  /// Rises with each batch of one replica.
  uint64_t sequence = 0;
  /// Written with every batch.
  HardState hard_state;
  /// Replace everything stored from the index of the first one on.
  std::vector<LogEntry> entries;
  /// Saved before the entries; older snapshots may then be removed.
  std::shared_ptr<const Snapshot> snapshot;
  /// The stored log ends at the snapshot: it was received from a leader.
  bool reset_log = false;
};

/// Everything that a store held when it was opened.
struct StoredState {
  HardState hard_state;
  std::shared_ptr<const Snapshot> snapshot;
  /// Without a gap; the first one follows the snapshot.
  std::vector<LogEntry> entries;

  /// Nothing was ever written.
  bool empty() const {
    return hard_state == HardState{} && !snapshot && entries.empty();
  }
};

/// Keeps the state of one replica. A store is used by one thread at a time.
class LogStore {
 public:
  virtual ~LogStore() = default;

  /// Incarnation of the stored state; never 0.
  virtual uint64_t incarnation() const = 0;

  /// Whether written batches outlive the process.
  virtual bool durable() const = 0;

  /// Everything stored. Called once, before the first Write.
  virtual core::Result<StoredState> Load() = 0;

  /// Writes and syncs `batch`. On an error (kStorage) nothing of the batch may
  /// be promised to anyone; the same batch may be written again.
  virtual core::Status Write(const LogBatch& batch) = 0;
};

}  // namespace hawthorn::storage

#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"

// The persistent state of a replica and the interface of its store.
namespace hawthorn::storage {

/// Identity of a replica: the instance and the incarnation of its stored state.
/// An instance that lost its state returns with a new incarnation and counts as
/// another replica.
struct ReplicaId {
  std::string instance;
  uint64_t incarnation = 0;

  bool empty() const { return instance.empty(); }
  auto operator<=>(const ReplicaId&) const = default;
};

/// Content of a log entry.
enum class EntryKind {
  kCommand,     ///< A command of the state machine.
  kEmpty,       ///< First entry of a leader's term.
  kMembership,  ///< A serialized membership of the group.
};

/// An entry of the replicated log.
struct LogEntry {
  uint64_t index = 0;
  uint64_t term = 0;
  EntryKind kind = EntryKind::kCommand;
  std::string data;

  auto operator<=>(const LogEntry&) const = default;
};

/// Term and vote, which must be durable before the replica acts on them.
struct HardState {
  uint64_t term = 0;
  /// Empty if the replica has not voted in `term`.
  ReplicaId voted_for;

  auto operator<=>(const HardState&) const = default;
};

/// State machine and membership of the group after the entry `index`.
struct Snapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  std::string membership;
  std::string data;

  auto operator<=>(const Snapshot&) const = default;
};

/// A group commit, which is written and synced as a whole or not at all.
struct LogBatch {
  /// Increases with each batch of a replica.
  uint64_t sequence = 0;
  /// Written with every batch.
  HardState hard_state;
  /// These replace all stored entries from the index of the first one on.
  std::vector<LogEntry> entries;
  /// Saved with this batch and the next ones; the previous snapshot and the
  /// entries after it are kept until it is complete. With `reset_log` it is
  /// saved before this batch.
  std::shared_ptr<const Snapshot> snapshot;
  /// Discards the stored log, because the snapshot was received from a leader.
  bool reset_log = false;
};

/// The content of a store when it was opened.
struct StoredState {
  HardState hard_state;
  std::shared_ptr<const Snapshot> snapshot;
  /// Contiguous; the first entry follows the snapshot.
  std::vector<LogEntry> entries;

  /// Whether nothing was ever written.
  bool empty() const {
    return hard_state == HardState{} && !snapshot && entries.empty();
  }
};

/// Stores the state of a replica. Must be used by one thread at a time.
class LogStore {
 public:
  virtual ~LogStore() = default;

  /// Incarnation of the stored state; never 0.
  virtual uint64_t incarnation() const = 0;

  /// Whether written batches survive the end of the process.
  virtual bool durable() const = 0;

  /// Returns the stored state. Called once, before the first Write.
  virtual core::Result<StoredState> Load() = 0;

  /// Writes and syncs `batch`. After an error (kStorage) no part of the batch
  /// may be acknowledged; the same batch may be written again.
  virtual core::Status Write(const LogBatch& batch) = 0;
};

}  // namespace hawthorn::storage

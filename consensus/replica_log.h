#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/membership.h"
#include "storage/log_store.h"

namespace hawthorn::consensus {

using storage::LogEntry;
using storage::Snapshot;

/// In-memory log of one replica: the entries after the base index, the latest
/// snapshot, and the membership at each index. Contains no protocol logic.
class ReplicaLog {
 public:
  /// Starts from the contents of a store; `initial` is the membership before
  /// the first entry.
  ReplicaLog(storage::StoredState state, Membership initial);

  /// Index before the first entry in the log.
  uint64_t base_index() const { return base_index_; }
  uint64_t last_index() const { return base_index_ + entries_.size(); }
  uint64_t last_term() const;

  /// Term of the entry at `index`; empty if it is not in the log.
  std::optional<uint64_t> TermAt(uint64_t index) const;
  /// The entry at `index`, which must be in the log.
  const LogEntry& At(uint64_t index) const;
  /// First index in the log with the term of the entry at `index`.
  uint64_t FirstIndexOfTerm(uint64_t index) const;

  /// Adds an entry at last_index() + 1.
  void Append(LogEntry entry);
  /// Removes all entries from `index` on.
  void TruncateFrom(uint64_t index);
  /// Copies entries from `index` on, up to `max_bytes` of data, but at least
  /// one entry.
  std::vector<LogEntry> Slice(uint64_t index, size_t max_bytes) const;

  /// Sets a local snapshot and removes the entries before it, except the last
  /// `retained` ones.
  void Compact(std::shared_ptr<const Snapshot> snapshot, uint64_t retained);
  /// Replaces the log with a snapshot.
  void Reset(std::shared_ptr<const Snapshot> snapshot);

  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

  /// Membership of the last membership entry, committed or not.
  const Membership& membership() const { return memberships_.back().value; }
  /// Index of that entry; 0 for the initial membership.
  uint64_t membership_index() const { return memberships_.back().index; }
  /// Membership in force at `index`.
  const Membership& MembershipAt(uint64_t index) const;

 private:
  struct IndexedMembership {
    uint64_t index;
    Membership value;
  };

  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  std::deque<LogEntry> entries_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::vector<IndexedMembership> memberships_;
};

}  // namespace hawthorn::consensus

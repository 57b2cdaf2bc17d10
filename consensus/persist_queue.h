#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "consensus/replica_log.h"
#include "schema/generated/consensus.pb.h"
#include "storage/log_store.h"

namespace hawthorn::consensus {

/// Collects what must be written into one batch at a time and holds back the
/// messages that promise a term or vote which is not synced yet.
class PersistQueue {
 public:
  /// `persisted_index` is the last index that the store held when opened.
  explicit PersistQueue(uint64_t persisted_index)
      : batched_index_(persisted_index), persisted_index_(persisted_index) {}

  /// Term or vote changed.
  void MarkHardState() { hard_state_dirty_ = true; }
  /// Entries from `index` on were replaced in the log.
  void TruncateFrom(uint64_t index);
  /// A snapshot has to be saved; `reset` if it replaces the stored log.
  void SaveSnapshot(std::shared_ptr<const Snapshot> snapshot, bool reset);

  /// Queues `message` behind the sync of term and vote.
  void SendAfterSync(schema::ConsensusMessage message);
  /// Moves out the messages that may leave now.
  std::vector<schema::ConsensusMessage> TakeReady();

  /// The next batch, unless one is being written or nothing is to be written.
  std::optional<storage::LogBatch> Next(const ReplicaLog& log,
                                        const storage::HardState& hard_state);
  /// The batch `sequence` is synced. Returns false for an unknown sequence.
  bool Confirm(uint64_t sequence);
  /// The batch being written failed; Next offers its content again.
  void Fail();

  /// Last index of the log that is synced here.
  uint64_t persisted_index() const { return persisted_index_; }
  /// The current term and vote are synced.
  bool hard_state_synced() const {
    return !hard_state_dirty_ && !(in_flight_ && in_flight_->hard_state);
  }

 private:
  struct InFlight {
    uint64_t sequence = 0;
    /// Last index of the batch that the log still holds unchanged.
    uint64_t valid_up_to = 0;
    bool hard_state = false;
    std::shared_ptr<const Snapshot> snapshot;
    bool reset = false;
  };

  uint64_t sequence_ = 0;
  uint64_t batched_index_;
  uint64_t persisted_index_;
  bool hard_state_dirty_ = false;
  std::shared_ptr<const Snapshot> snapshot_;
  bool reset_ = false;
  std::optional<InFlight> in_flight_;
  std::vector<std::pair<uint64_t, schema::ConsensusMessage>> unsynced_messages_;
  std::vector<schema::ConsensusMessage> ready_;
};

}  // namespace hawthorn::consensus

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

/// Collects unsynced changes into one batch at a time, and delays messages
/// until the term and vote on which they depend are synced.
class PersistQueue {
 public:
  /// `persisted_index` is the last index in the store when it was opened.
  explicit PersistQueue(uint64_t persisted_index)
      : batched_index_(persisted_index), persisted_index_(persisted_index) {}

  /// Marks the term or vote as changed.
  void MarkHardState() { hard_state_dirty_ = true; }
  /// Notes that the log entries from `index` on were removed.
  void TruncateFrom(uint64_t index);
  /// Queues a snapshot to be saved; with `reset` it replaces the stored log.
  void SaveSnapshot(std::shared_ptr<const Snapshot> snapshot, bool reset);

  /// Queues `message` until the current term and vote are synced.
  void SendAfterSync(schema::ConsensusMessage message);
  /// Removes and returns the messages that can be sent now.
  std::vector<schema::ConsensusMessage> TakeReady();

  /// The next batch; empty while another one is in flight or if there is
  /// nothing to write.
  std::optional<storage::LogBatch> Next(const ReplicaLog& log,
                                        const storage::HardState& hard_state);
  /// Marks the batch `sequence` as synced. Returns false if it is not the one
  /// in flight.
  bool Confirm(uint64_t sequence);
  /// Marks the batch in flight as failed; Next returns its changes again.
  void Fail();

  /// Last log index that is synced locally.
  uint64_t persisted_index() const { return persisted_index_; }
  /// Returns whether the current term and vote are synced.
  bool hard_state_synced() const {
    return !hard_state_dirty_ && !(in_flight_ && in_flight_->hard_state);
  }

 private:
  struct InFlight {
    uint64_t sequence = 0;
    /// Last index of the batch that the log still contains unchanged.
    uint64_t valid_up_to = 0;
    bool hard_state = false;
    std::shared_ptr<const Snapshot> snapshot;
    bool reset = false;
  };

  uint64_t sequence_ = 0;
  /// Last index that was put into a batch.
  uint64_t batched_index_;
  uint64_t persisted_index_;
  bool hard_state_dirty_ = false;
  std::shared_ptr<const Snapshot> snapshot_;
  bool reset_ = false;
  std::optional<InFlight> in_flight_;
  /// Delayed messages, each with the batch after which it can be sent.
  std::vector<std::pair<uint64_t, schema::ConsensusMessage>> unsynced_messages_;
  std::vector<schema::ConsensusMessage> ready_;
};

}  // namespace hawthorn::consensus

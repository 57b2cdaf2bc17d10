#include "consensus/persist_queue.h"

#include <algorithm>
#include <limits>

namespace hawthorn::consensus {

void PersistQueue::TruncateFrom(uint64_t index) {
  batched_index_ = std::min(batched_index_, index - 1);
  persisted_index_ = std::min(persisted_index_, index - 1);
  if (in_flight_) {
    in_flight_->valid_up_to = std::min(in_flight_->valid_up_to, index - 1);
  }
}

void PersistQueue::SaveSnapshot(std::shared_ptr<const Snapshot> snapshot,
                                bool reset) {
  if (reset) {
    TruncateFrom(snapshot->index);
    batched_index_ = snapshot->index;
    if (in_flight_) {
      in_flight_->valid_up_to = 0;
    }
  }
  snapshot_ = std::move(snapshot);
  reset_ = reset_ || reset;
}

void PersistQueue::SendAfterSync(schema::ConsensusMessage message) {
  if (hard_state_synced()) {
    ready_.push_back(std::move(message));
    return;
  }
  const uint64_t after = hard_state_dirty_ ? sequence_ + 1 : sequence_;
  unsynced_messages_.emplace_back(after, std::move(message));
}

std::vector<schema::ConsensusMessage> PersistQueue::TakeReady() {
  return std::exchange(ready_, {});
}

std::optional<storage::LogBatch> PersistQueue::Next(
    const ReplicaLog& log, const storage::HardState& hard_state) {
  const bool entries = log.last_index() > batched_index_;
  if (in_flight_ || (!entries && !hard_state_dirty_ && !snapshot_)) {
    return std::nullopt;
  }
  storage::LogBatch batch;
  batch.sequence = ++sequence_;
  batch.hard_state = hard_state;
  batch.snapshot = std::exchange(snapshot_, nullptr);
  batch.reset_log = std::exchange(reset_, false);
  if (entries) {
    batch.entries =
        log.Slice(batched_index_ + 1, std::numeric_limits<size_t>::max());
  }
  batched_index_ = log.last_index();
  in_flight_ = InFlight{batch.sequence, batched_index_,
                        std::exchange(hard_state_dirty_, false), batch.snapshot,
                        batch.reset_log};
  return batch;
}

bool PersistQueue::Confirm(uint64_t sequence) {
  if (!in_flight_ || in_flight_->sequence != sequence) {
    return false;
  }
  persisted_index_ = std::max(persisted_index_, in_flight_->valid_up_to);
  in_flight_.reset();
  const auto first_unsynced = std::stable_partition(
      unsynced_messages_.begin(), unsynced_messages_.end(),
      [&](const auto& delayed) { return delayed.first <= sequence; });
  for (auto it = unsynced_messages_.begin(); it != first_unsynced; ++it) {
    ready_.push_back(std::move(it->second));
  }
  unsynced_messages_.erase(unsynced_messages_.begin(), first_unsynced);
  return true;
}

void PersistQueue::Fail() {
  if (!in_flight_) {
    return;
  }
  const InFlight failed = *std::exchange(in_flight_, std::nullopt);
  hard_state_dirty_ = hard_state_dirty_ || failed.hard_state;
  if (!snapshot_) {
    snapshot_ = failed.snapshot;
  }
  reset_ = reset_ || failed.reset;
  const uint64_t stored =
      reset_ && snapshot_ ? snapshot_->index : persisted_index_;
  batched_index_ = std::min(batched_index_, stored);
  for (auto& delayed : unsynced_messages_) {
    delayed.first = sequence_ + 1;
  }
}

}  // namespace hawthorn::consensus

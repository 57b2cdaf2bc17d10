#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/membership.h"
#include "core/clock.h"

namespace hawthorn::consensus {

/// Replication progress of one other replica, as the leader knows it.
struct Progress {
  enum class State {
    kProbe,      ///< One message at a time until the last common entry is
                 ///< known.
    kReplicate,  ///< Messages are pipelined.
    kSnapshot,   ///< Snapshot chunks are sent.
  };
  State state = State::kProbe;
  /// Highest index up to which the log of the replica is known to match and to
  /// be synced.
  uint64_t match = 0;
  /// Next index to send.
  uint64_t next = 1;
  /// A probe is in flight: no reply has arrived and no heartbeat was due since.
  bool probe_sent = false;
  /// Last index of each pipelined message that is not yet acknowledged.
  std::deque<uint64_t> in_flight;
  /// Last heartbeat round that the replica acknowledged.
  uint64_t acked_round = 0;
  std::optional<core::TimePoint> last_contact;
  /// Number of the last reply.
  uint64_t last_reply = 0;
  /// The last reply before each round that may still be the latest confirmed
  /// one, by round.
  std::map<uint64_t, uint64_t> reply_before_round;
  /// The snapshot being sent and the number of bytes received so far.
  std::shared_ptr<const storage::Snapshot> snapshot;
  uint64_t snapshot_offset = 0;
  /// Offset of the part that was sent last, and when.
  std::optional<uint64_t> sent_offset;
  core::TimePoint part_sent_at;
};

/// State of one leadership: progress of the other replicas, heartbeat rounds
/// and pending reads. Computes majorities; sends no messages.
class LeaderState {
 public:
  /// A read that waits until leadership is confirmed.
  struct Read {
    uint64_t token = 0;
    /// Commit index that must be applied before the read; 0 until known.
    uint64_t index = 0;
    /// Round that a majority must acknowledge; 0 if none was started.
    uint64_t round = 0;
  };

  LeaderState(ReplicaId self, core::TimePoint now) : self_(std::move(self)) {
    leader_since_ = now;
  }

  /// Tracks exactly the other members of `membership`; the log of a new one is
  /// probed from `next`.
  void SetMembership(const Membership& membership, uint64_t next);

  std::map<ReplicaId, Progress>& others() { return others_; }
  const std::map<ReplicaId, Progress>& others() const { return others_; }
  Progress* Find(const ReplicaId& id);

  /// Starts a heartbeat round.
  uint64_t StartRound(core::TimePoint now);
  uint64_t round() const { return round_; }
  void Acknowledge(const ReplicaId& id, uint64_t round, core::TimePoint now);

  /// Highest index that a majority of voters has synced; with
  /// `require_durable`, also at least one member with a disk.
  uint64_t CommittableIndex(const Membership& membership,
                            uint64_t local_persisted,
                            bool require_durable) const;

  /// Returns the number of the last reply of `id` that arrived before the start
  /// of the latest round that a majority acknowledged; 0 if there is none. No
  /// other leader had been elected when that reply was made.
  uint64_t ConfirmedReply(const Membership& membership, const ReplicaId& id);

  /// Returns whether a majority acknowledged `round` or a later one.
  bool RoundConfirmed(const Membership& membership, uint64_t round) const;
  /// Start time of the latest round that a majority acknowledged.
  std::optional<core::TimePoint> ConfirmedRoundStart(
      const Membership& membership) const;
  /// Returns whether a majority was in contact within `window`. A replica that
  /// has not replied yet counts from the start of the leadership.
  bool HasMajorityContact(const Membership& membership, core::TimePoint now,
                          std::chrono::nanoseconds window) const;

  std::vector<Read>& reads() { return reads_; }

 private:
  uint64_t ConfirmedRound(const Membership& membership) const;

  ReplicaId self_;
  core::TimePoint leader_since_;
  std::map<ReplicaId, Progress> others_;
  uint64_t round_ = 0;
  /// Start times of the latest rounds.
  std::map<uint64_t, core::TimePoint> round_starts_;
  std::vector<Read> reads_;
};

}  // namespace hawthorn::consensus

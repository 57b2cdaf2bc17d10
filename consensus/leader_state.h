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

/// What a leader knows of one other replica.
struct Progress {
  enum class State {
    kProbe,      ///< One message at a time until the last common entry is
                 ///< known.
    kReplicate,  ///< Messages are pipelined.
    kSnapshot,   ///< Pieces of a snapshot are sent.
  };
  State state = State::kProbe;
  /// Highest index known to be equal and synced there.
  uint64_t match = 0;
  /// Next index to send.
  uint64_t next = 1;
  /// A probe was sent and neither answered nor timed out.
  bool probe_sent = false;
  /// Last index of each pipelined message that is not acknowledged.
  std::deque<uint64_t> in_flight;
  /// Last heartbeat round that was answered.
  uint64_t acked_round = 0;
  std::optional<core::TimePoint> last_contact;
  /// The snapshot being sent and the bytes of it that were received.
  std::shared_ptr<const storage::Snapshot> snapshot;
  uint64_t snapshot_offset = 0;
};

/// Bookkeeping of one leadership: progress of the others, heartbeat rounds
/// and waiting reads. Computes majorities; sends nothing.
class LeaderState {
 public:
  /// A read that waits for its leadership to be confirmed.
  struct Read {
    uint64_t token = 0;
    /// Commit index that the read must see; 0 until it is known.
    uint64_t index = 0;
    /// Round that must be answered by a majority; 0 if none was started.
    uint64_t round = 0;
  };

  LeaderState(ReplicaId self, core::TimePoint now) : self_(std::move(self)) {
    leader_since_ = now;
  }

  /// Adds and removes progress so that it covers all others of `membership`.
  void SetMembership(const Membership& membership, uint64_t next);

  std::map<ReplicaId, Progress>& others() { return others_; }
  const std::map<ReplicaId, Progress>& others() const { return others_; }
  Progress* Find(const ReplicaId& id);

  /// Starts a heartbeat round.
  uint64_t StartRound(core::TimePoint now);
  uint64_t round() const { return round_; }
  void Acknowledge(const ReplicaId& id, uint64_t round, core::TimePoint now);

  /// Highest index that a majority of voters holds synced; with
  /// `require_durable` also at least one voter with a disk.
  uint64_t CommittableIndex(const Membership& membership,
                            uint64_t local_persisted,
                            bool require_durable) const;

  /// A majority answered this round or a later one.
  bool RoundConfirmed(const Membership& membership, uint64_t round) const;
  /// When the latest round that a majority answered was started.
  std::optional<core::TimePoint> ConfirmedRoundStart(
      const Membership& membership) const;
  /// A majority was heard within `window`.
  bool HasMajorityContact(const Membership& membership, core::TimePoint now,
                          std::chrono::nanoseconds window) const;

  std::vector<Read>& reads() { return reads_; }

 private:
  uint64_t ConfirmedRound(const Membership& membership) const;

  ReplicaId self_;
  core::TimePoint leader_since_;
  std::map<ReplicaId, Progress> others_;
  uint64_t round_ = 0;
  /// Start of each round that is not yet superseded by a confirmed one.
  std::map<uint64_t, core::TimePoint> round_starts_;
  std::vector<Read> reads_;
};

}  // namespace hawthorn::consensus

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/leader_state.h"
#include "consensus/membership.h"
#include "consensus/persist_queue.h"
#include "consensus/replica_log.h"
#include "consensus/replica_options.h"
#include "core/clock.h"
#include "core/error.h"
#include "schema/generated/consensus.pb.h"

// Replicated log based on Raft (Ongaro and Ousterhout, 2014), with pre-vote,
// check-quorum and leader lease (Ongaro's thesis, 2014). The implementation is
// deterministic: its inputs are events and the time, its outputs are actions.
namespace hawthorn::consensus {

/// Role of a replica in its group.
enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

/// Position of a proposal in the log.
struct LogPosition {
  uint64_t index = 0;
  uint64_t term = 0;

  auto operator<=>(const LogPosition&) const = default;
};

/// A read that can be served once all entries up to `index` are applied.
struct ReadyRead {
  uint64_t token = 0;
  uint64_t index = 0;

  auto operator<=>(const ReadyRead&) const = default;
};

/// Work for the host of a replica. The fields are independent of each other,
/// except that `install` must be handled before `committed`.
struct Actions {
  /// Batch to write and sync; report it by OnPersisted or OnPersistFailed.
  std::optional<storage::LogBatch> persist;
  std::vector<schema::ConsensusMessage> messages;
  /// Snapshot from which to restore the state machine.
  std::shared_ptr<const Snapshot> install;
  /// Committed entries to apply in order.
  std::vector<LogEntry> committed;
  std::vector<ReadyRead> ready_reads;
  /// Reads that failed because leadership ended.
  std::vector<uint64_t> failed_reads;
};

/// One replica of a group. Not thread-safe. Performs no I/O; a message that
/// depends on unsynced state is delayed until OnPersisted.
class Replica {
 public:
  Replica(ReplicaOptions options, storage::StoredState state,
          core::TimePoint now);

  /// Handles a message from another replica. Ignores messages addressed to
  /// another identity, except announcements.
  void Step(const schema::ConsensusMessage& message, core::TimePoint now);

  /// Advances timers to `now`: elections, heartbeats, announcements.
  void Tick(core::TimePoint now);

  /// Appends a command. After kNotLeader or kOverloaded it was not appended
  /// (execution kNotRun).
  core::Result<LogPosition> Propose(std::string command, core::TimePoint now);

  /// Appends a membership change. Returns kConflict while another change is in
  /// progress, and kUnavailable if the learner to promote has not caught up.
  core::Result<LogPosition> ProposeMembership(const MembershipChange& change,
                                              core::TimePoint now);

  /// Requests a linearizable read. The token is returned in ready_reads or
  /// failed_reads of the actions. Returns kNotLeader on a follower.
  core::Status ReadIndex(uint64_t token, core::TimePoint now);

  /// Transfers leadership to the voter of `instance`, or to the most up-to-date
  /// voter if `instance` is empty. Proposals are refused meanwhile. Returns
  /// kUnavailable if there is no such voter.
  core::Status TransferLeadership(const std::string& instance,
                                  core::TimePoint now);

  /// Reports that the batch `sequence` is written and synced.
  void OnPersisted(uint64_t sequence, core::TimePoint now);
  /// Reports that the batch in flight failed. The replica gives up leadership,
  /// grants no votes until a write succeeds, and returns the same changes again
  /// with the next actions.
  void OnPersistFailed(core::TimePoint now);

  /// Stores `machine`, the snapshot of the state machine at `index`, and
  /// compacts the log. Returns kUnavailable until `index` is applied and synced
  /// locally.
  core::Status Compact(uint64_t index, std::string machine);

  /// Removes and returns the pending actions. Call after each event.
  Actions TakeActions(core::TimePoint now);

  const ReplicaId& id() const { return options_.id; }
  Role role() const { return role_; }
  uint64_t term() const { return hard_state_.term; }
  /// The known leader; empty if there is none.
  const ReplicaId& leader() const { return leader_; }
  uint64_t commit_index() const { return commit_index_; }
  uint64_t last_index() const { return log_.last_index(); }
  /// Number of entries in memory.
  uint64_t log_entries() const { return log_.last_index() - log_.base_index(); }
  /// Highest commit index that the leader of this term has told; on the leader,
  /// its own.
  uint64_t leader_commit_index() const {
    return role_ == Role::kLeader ? commit_index_ : leader_commit_index_;
  }
  /// Calls `visitor` with each entry of the log, committed or not.
  template <typename Visitor>
  void VisitEntries(Visitor&& visitor) const {
    for (uint64_t n = log_.base_index() + 1; n <= log_.last_index(); ++n) {
      visitor(log_.At(n));
    }
  }
  uint64_t persisted_index() const { return queue_.persisted_index(); }
  const Membership& membership() const { return log_.membership(); }
  bool membership_committed() const {
    return log_.membership_index() <= commit_index_;
  }
  /// Returns whether this replica leads, its storage works and no leadership
  /// transfer is in progress.
  bool accepts_proposals() const;
  /// Returns whether this replica holds the leader lease at `now`, so that no
  /// other leader can exist.
  bool HasLease(core::TimePoint now) const;
  /// End of the lease; empty without one.
  std::optional<core::TimePoint> LeaseEnd() const;
  /// Time of the last contact with a leader since this process started; for a
  /// leader, with a majority. Empty before the first contact.
  std::optional<core::TimePoint> LastContact() const;
  /// Time up to which the applied entries are known to include everything that
  /// the group had committed; empty if that was never known. Older than the
  /// last contact while this replica is behind, while the leader has not
  /// committed in its term, and if messages are delayed.
  std::optional<core::TimePoint> CurrentAsOf() const;
  /// Returns whether this replica leads and has returned all that earlier
  /// leaders have committed, up to an entry of its term.
  bool KnowsCommits() const;
  /// Returns whether the last write failed.
  bool storage_failed() const { return storage_failed_; }
  /// Returns whether the store was empty and this replica belongs to no group.
  bool fresh() const;
  /// Returns whether this replica leads and `id` replied within an election
  /// timeout.
  bool IsInContact(const ReplicaId& id) const;
  /// Returns whether this replica leads and `id` is in contact and has synced
  /// all entries that were committed one to two heartbeat intervals ago.
  bool HasCaughtUp(const ReplicaId& id) const;

 private:
  struct Transfer {
    ReplicaId target;
    core::TimePoint deadline;
    bool sent = false;
  };
  struct IncomingSnapshot {
    uint64_t index = 0;
    uint64_t term = 0;
    std::string data;
  };
  struct Announcement {
    ReplicaId id;
    bool durable = false;
    bool fresh = false;
    uint64_t term = 0;
    uint64_t nonce = 0;
    core::TimePoint at;
  };

  // replica.cpp
  schema::ConsensusMessage MessageTo(const ReplicaId& to) const;
  void Send(schema::ConsensusMessage message);
  void BecomeFollower(uint64_t term, const ReplicaId& leader);
  void ResetElectionTimer();
  /// A random time between `base` and twice `base` from now.
  core::TimePoint RandomDeadline(std::chrono::nanoseconds base);
  void AppendEntry(storage::EntryKind kind, std::string data);
  void AdvanceCommit(uint64_t index);
  void FailReads();
  uint64_t RetainedEntries(uint64_t index) const;
  void CollectCommitted(Actions* actions);
  core::Error NotLeader() const;

  // replica_election.cpp
  void Campaign(bool pre_vote, bool transfer);
  void CountVote(const ReplicaId& voter, bool granted);
  void OnVoteRequest(const schema::ConsensusMessage& message);
  void OnVoteReply(const schema::ConsensusMessage& message);
  void OnTimeoutNow(const schema::ConsensusMessage& message);
  bool WouldVoteFor(const schema::ConsensusMessage& message) const;
  bool LeaderIsAlive() const;
  void BecomeLeader();

  // replica_follower.cpp
  void OnLeaderContact(const schema::ConsensusMessage& message);
  void OnAppend(const schema::ConsensusMessage& message);
  uint64_t MergeEntries(const schema::AppendRequest& request);
  void UpdateCurrentAsOf(const schema::AppendRequest& request);
  /// Numbers a reply to the leader and records when it was made.
  uint64_t NextReplyNumber();
  void RejectAppend(const schema::ConsensusMessage& message);
  void AcknowledgeAppend(uint64_t round);
  void OnSnapshotChunk(const schema::ConsensusMessage& message);
  void InstallSnapshot(const schema::SnapshotPiece& chunk);

  // replica_leader.cpp
  void OnAppendReply(const schema::ConsensusMessage& message);
  void OnSnapshotReply(const schema::ConsensusMessage& message);
  void AdvanceProgress(const ReplicaId& id, Progress* progress);
  void TickLeader();
  void Broadcast();
  void SendAppend(const ReplicaId& id, Progress* progress, bool heartbeat);
  void SendSnapshotChunk(const ReplicaId& id, Progress* progress);
  void FlushEntries();
  /// Returns whether all replicas get new entries now, not only the eager
  /// voters.
  bool ShouldFlushAll();
  void ChooseEagerVoters();
  void UpdateCommit();
  void ResolveReads(Actions* actions);
  void ContinueTransfer();
  const ReplicaId* MostUpToDateVoter() const;
  bool CommittedInTerm() const;
  bool MembershipReplicated() const;
  /// As CurrentAsOf, of the committed entries instead of the applied ones.
  std::optional<core::TimePoint> CommittedAsOf() const;

  // replica_admission.cpp
  void TickAdmission();
  void SendAnnounce(const ReplicaId& to, uint64_t term, uint64_t nonce);
  void OnAnnounce(const schema::ConsensusMessage& message);
  void OnAnnounceAtLeader(const schema::ConsensusMessage& message);
  void TryBootstrapGroup();
  void RepairMembership();
  bool AdmitReplica(const Announcement& announcement);
  bool RemoveReplacedVoter();

  ReplicaOptions options_;
  ReplicaLog log_;
  storage::HardState hard_state_;
  PersistQueue queue_;
  std::mt19937_64 random_;
  core::TimePoint now_;
  Role role_ = Role::kFollower;
  ReplicaId leader_;
  uint64_t commit_index_ = 0;
  /// Highest commit index that the leader of this term has told; see
  /// leader_commit_index.
  uint64_t leader_commit_index_ = 0;
  /// Time up to which the log is known to include what was committed; for a
  /// leader, the time before its leadership.
  std::optional<core::TimePoint> current_as_of_;
  /// CurrentAsOf when all committed entries had last been returned.
  std::optional<core::TimePoint> returned_as_of_;
  /// Times of the replies that the leader has not echoed, by number. Numbers of
  /// one process do not occur in another.
  std::map<uint64_t, core::TimePoint> reply_times_;
  uint64_t last_reply_number_ = 0;
  /// Last committed index that was returned in the actions.
  uint64_t emitted_index_ = 0;
  bool storage_failed_ = false;
  core::TimePoint election_deadline_;
  /// Last contact with a leader. A restart with lease reads sets it too, since
  /// the old process may have extended the lease of a leader.
  std::optional<core::TimePoint> leader_contact_at_;
  /// Last contact with a leader since this process started. Unlike
  /// leader_contact_at_, a restart does not set it.
  std::optional<core::TimePoint> last_contact_;
  core::TimePoint started_at_;
  bool transfer_campaign_ = false;
  std::map<ReplicaId, bool> votes_;
  /// Highest index up to which the log is known to match the current leader's.
  uint64_t verified_index_ = 0;
  /// Highest match reported to the current leader.
  uint64_t reported_index_ = 0;
  std::optional<IncomingSnapshot> incoming_;
  std::shared_ptr<const Snapshot> install_;
  std::optional<LeaderState> leader_state_;
  core::TimePoint next_heartbeat_;
  core::TimePoint next_maintenance_;
  uint64_t commit_at_heartbeat_ = 0;
  uint64_t commit_at_previous_heartbeat_ = 0;
  bool announce_commit_ = false;
  /// Voters that get entries without delay; if empty, all replicas do.
  std::set<ReplicaId> eager_voters_;
  /// Time at which the other replicas get their entries, and last index of the
  /// log when the delay started; 0 if no entries are delayed.
  core::TimePoint lazy_deadline_;
  uint64_t lazy_from_index_ = 0;
  /// Every follower is due the entries up to this index.
  uint64_t flush_until_index_ = 0;
  bool lease_given_up_ = false;
  std::optional<Transfer> transfer_;
  std::vector<uint64_t> failed_reads_;
  std::map<std::string, Announcement> announcements_;
  /// Term and nonce of the last challenge of a leader that this replica has
  /// replied to; see OnAnnounce.
  std::pair<uint64_t, uint64_t> last_challenge_;
  core::TimePoint next_announce_;
};

}  // namespace hawthorn::consensus

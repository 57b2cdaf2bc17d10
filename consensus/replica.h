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

// Replicated log after Raft (Ongaro and Ousterhout, 2014), with pre-vote,
// check-quorum and leader lease (Ongaro's thesis, 2014). Deterministic: events
// and the time go in, actions come out.
namespace hawthorn::consensus {

/// Part that a replica plays in its group.
enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

/// Place of a proposal in the log.
struct LogPosition {
  uint64_t index = 0;
  uint64_t term = 0;

  auto operator<=>(const LogPosition&) const = default;
};

/// A read that may be answered once everything up to `index` is applied.
struct ReadyRead {
  uint64_t token = 0;
  uint64_t index = 0;

  auto operator<=>(const ReadyRead&) const = default;
};

/// What a replica wants done. The parts are independent of each other, except
/// that `install` comes before `committed`.
struct Actions {
  /// Write and sync, then call OnPersisted or OnPersistFailed.
  std::optional<storage::LogBatch> persist;
  std::vector<schema::ConsensusMessage> messages;
  /// Restore the state machine from this snapshot.
  std::shared_ptr<const Snapshot> install;
  /// Apply these entries in order. They never change any more.
  std::vector<LogEntry> committed;
  std::vector<ReadyRead> ready_reads;
  /// Reads that cannot be confirmed: leadership ended.
  std::vector<uint64_t> failed_reads;
};

/// One replica of a group. Not thread-safe: one thread owns it. It opens no
/// file or socket; what it promises to others waits for OnPersisted.
class Replica {
 public:
  Replica(ReplicaOptions options, storage::StoredState state,
          core::TimePoint now);

  /// Takes a message of another replica. Messages that name another identity
  /// than this one are ignored.
  void Step(const schema::ConsensusMessage& message, core::TimePoint now);

  /// Lets time pass: elections, heartbeats, leases.
  void Tick(core::TimePoint now);

  /// Appends a command. kNotLeader and kOverloaded mean that it was not
  /// appended (execution kNotRun).
  core::Result<LogPosition> Propose(std::string command, core::TimePoint now);

  /// Appends a change of membership. kConflict while another one is under way,
  /// kUnavailable while a learner has not caught up and synced.
  core::Result<LogPosition> ProposeMembership(const MembershipChange& change,
                                              core::TimePoint now);

  /// Asks to confirm leadership for a linearizable read. The token comes back
  /// in ready_reads or failed_reads; kNotLeader at once on a follower.
  core::Status ReadIndex(uint64_t token, core::TimePoint now);

  /// Hands leadership to the named voter, or to the one that is furthest if
  /// empty. Proposals are refused meanwhile. kUnavailable without a candidate.
  core::Status TransferLeadership(const std::string& instance,
                                  core::TimePoint now);

  /// The batch `sequence` is written and synced.
  void OnPersisted(uint64_t sequence, core::TimePoint now);
  /// The batch being written failed. The replica gives up leadership, casts
  /// no vote and offers the same content again with the next actions.
  void OnPersistFailed(core::TimePoint now);

  /// Takes a snapshot of the state machine after `index` and compacts the
  /// log. Refused with kUnavailable until `index` is applied and synced here.
  core::Status Compact(uint64_t index, std::string machine);

  /// Hands out what is to be done. Call after each event.
  Actions TakeActions(core::TimePoint now);

  const ReplicaId& id() const { return options_.id; }
  Role role() const { return role_; }
  uint64_t term() const { return hard_state_.term; }
  /// The leader as known here; empty if none is.
  const ReplicaId& leader() const { return leader_; }
  uint64_t commit_index() const { return commit_index_; }
  uint64_t last_index() const { return log_.last_index(); }
  uint64_t persisted_index() const { return queue_.persisted_index(); }
  const Membership& membership() const { return log_.membership(); }
  bool membership_committed() const {
    return log_.membership_index() <= commit_index_;
  }
  /// A leader that commits, outside a hand-over.
  bool accepts_proposals() const;
  /// A leader whose lease holds at `now`: no other leader exists until then.
  bool HasLease(core::TimePoint now) const;
  /// End of the lease; nothing without one.
  std::optional<core::TimePoint> LeaseEnd() const;
  /// Time at which a leader was last heard, or a majority for a leader itself,
  /// in this life of the process; nothing before the first contact.
  std::optional<core::TimePoint> LastContact() const;
  /// The last write failed and none has succeeded since.
  bool storage_failed() const { return storage_failed_; }
  /// The store held nothing and no group has taken this replica in.
  bool fresh() const;
  /// A learner holds everything that was committed one heartbeat ago.
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
  /// A random time between once and twice `base` from now.
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
  /// Whether everyone gets entries now.
  bool ShouldFlushAll();
  void ChooseEagerVoters();
  void UpdateCommit();
  void ResolveReads(Actions* actions);
  void ContinueTransfer();
  const ReplicaId* MostUpToDateVoter() const;
  bool CommittedInTerm() const;
  bool MembershipReplicated() const;

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
  uint64_t emitted_index_ = 0;
  bool storage_failed_ = false;
  core::TimePoint election_deadline_;
  std::optional<core::TimePoint> leader_contact_at_;
  /// Last contact with a leader since this process started. Unlike
  /// leader_contact_at_, a restart does not set it.
  std::optional<core::TimePoint> last_contact_;
  core::TimePoint started_at_;
  bool transfer_campaign_ = false;
  std::map<ReplicaId, bool> votes_;
  /// Highest index known to be equal to the current leader's log.
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
  /// Voters that get entries at once; everyone does while it is empty.
  std::set<ReplicaId> eager_voters_;
  /// When the others get theirs, and the first index that is held back.
  core::TimePoint lazy_deadline_;
  uint64_t lazy_from_index_ = 0;
  bool lease_given_up_ = false;
  std::optional<Transfer> transfer_;
  std::vector<uint64_t> failed_reads_;
  std::map<std::string, Announcement> announcements_;
  /// Term and nonce of the last challenge of a leader that was answered.
  std::pair<uint64_t, uint64_t> answered_challenge_;
  core::TimePoint next_announce_;
};

}  // namespace hawthorn::consensus

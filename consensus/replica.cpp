#include "consensus/replica.h"

#include <algorithm>
#include <utility>

namespace hawthorn::consensus {

Replica::Replica(ReplicaOptions options, storage::StoredState state,
                 core::TimePoint now)
    : options_(std::move(options)),
      log_({}, Membership()),
      queue_(0),
      random_(options_.seed),
      now_(now),
      last_reply_number_(static_cast<uint64_t>(now.time_since_epoch().count())),
      started_at_(now) {
  const bool first_start = state.empty();
  hard_state_ = state.hard_state;
  log_ = ReplicaLog(std::move(state), Membership());
  queue_ = PersistQueue(log_.last_index());
  if (log_.snapshot()) {
    install_ = log_.snapshot();
    commit_index_ = install_->index;
    emitted_index_ = install_->index;
  }
  const Membership initial(options_.initial_members);
  if (first_start && initial.Find(options_.id) != nullptr) {
    hard_state_.term = 1;
    queue_.MarkHardState();
    AppendEntry(storage::EntryKind::kMembership, initial.Serialize());
  }
  if (!first_start && options_.lease_reads) {
    // Before the restart, this replica may have extended the lease of a leader.
    // It must not vote against that leader until the lease has expired.
    leader_contact_at_ = now;
  }
  next_announce_ = now;
  ResetElectionTimer();
  if (!first_start) {
    // A live leader makes contact within a heartbeat interval, and a pre-vote
    // does not disturb it. So the first timeout can be short.
    election_deadline_ = RandomDeadline(options_.heartbeat_interval * 2);
  }
}

void Replica::Step(const schema::ConsensusMessage& message,
                   core::TimePoint now) {
  now_ = now;
  if (message.has_announce()) {
    OnAnnounce(message);
    return;
  }
  if (FromProto(message.to()) != options_.id) {
    return;
  }
  const bool pre_vote = message.has_vote() && message.vote().pre_vote();
  const bool pre_vote_granted = message.has_vote_reply() &&
                                message.vote_reply().pre_vote() &&
                                message.vote_reply().granted();
  if (message.term() > term() && !pre_vote && !pre_vote_granted) {
    if (message.has_vote() && !message.vote().transfer() && LeaderIsAlive()) {
      return;
    }
    BecomeFollower(message.term(), {});
  }
  switch (message.body_case()) {
    case schema::ConsensusMessage::kVote:
      return OnVoteRequest(message);
    case schema::ConsensusMessage::kVoteReply:
      return OnVoteReply(message);
    case schema::ConsensusMessage::kAppend:
      return OnAppend(message);
    case schema::ConsensusMessage::kAppendReply:
      return OnAppendReply(message);
    case schema::ConsensusMessage::kSnapshot:
      return OnSnapshotChunk(message);
    case schema::ConsensusMessage::kSnapshotReply:
      return OnSnapshotReply(message);
    case schema::ConsensusMessage::kTimeoutNow:
      return OnTimeoutNow(message);
    default:
      return;
  }
}

void Replica::Tick(core::TimePoint now) {
  now_ = now;
  TickAdmission();
  if (role_ == Role::kLeader) {
    TickLeader();
    return;
  }
  if (storage_failed_ || !membership().IsVoter(options_.id)) {
    return;
  }
  const bool alone = membership().voter_count() == 1;
  if (alone && role_ == Role::kFollower) {
    Campaign(false, false);
  } else if (now_ >= election_deadline_) {
    Campaign(true, false);
  }
}

core::Result<LogPosition> Replica::Propose(std::string command,
                                           core::TimePoint now) {
  now_ = now;
  if (!accepts_proposals()) {
    return NotLeader();
  }
  if (last_index() - commit_index_ >= options_.max_uncommitted_entries) {
    return core::Error{core::ErrorCode::kOverloaded,
                       "too many proposals wait for commit",
                       core::Execution::kNotRun,
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           options_.heartbeat_interval)};
  }
  AppendEntry(storage::EntryKind::kCommand, std::move(command));
  return LogPosition{last_index(), term()};
}

core::Result<LogPosition> Replica::ProposeMembership(
    const MembershipChange& change, core::TimePoint now) {
  now_ = now;
  if (!accepts_proposals()) {
    return NotLeader();
  }
  const auto refuse = [](core::ErrorCode code, std::string message) {
    return core::Error{code, std::move(message), core::Execution::kNotRun, {}};
  };
  if (!MembershipReplicated()) {
    return refuse(core::ErrorCode::kConflict,
                  "another change of membership is under way");
  }
  if (change.kind == MembershipChange::Kind::kPromote &&
      !HasCaughtUp(change.id)) {
    return refuse(core::ErrorCode::kUnavailable,
                  ToString(change.id) + " has not caught up and synced");
  }
  if (change.kind == MembershipChange::Kind::kRemove &&
      change.id == options_.id) {
    return refuse(core::ErrorCode::kInvalidArgument,
                  "the leader cannot remove itself; transfer leadership first");
  }
  const core::Result<Membership> changed = membership().With(change);
  if (!core::IsOk(changed)) {
    return core::ErrorOf(changed);
  }
  const Membership& next = core::Value(changed);
  if (options_.require_durable_copy && next.durable_voter_count() == 0) {
    return refuse(core::ErrorCode::kInvalidArgument,
                  "the last voter with a disk cannot be removed");
  }
  AppendEntry(storage::EntryKind::kMembership, next.Serialize());
  return LogPosition{last_index(), term()};
}

void Replica::OnPersisted(uint64_t sequence, core::TimePoint now) {
  now_ = now;
  if (!queue_.Confirm(sequence)) {
    return;
  }
  storage_failed_ = false;
  if (role_ == Role::kCandidate && queue_.hard_state_synced()) {
    CountVote(options_.id, true);
  }
  if (role_ == Role::kLeader) {
    UpdateCommit();
    return;
  }
  const uint64_t match = std::min(queue_.persisted_index(), verified_index_);
  if (!leader_.empty() && match > reported_index_) {
    AcknowledgeAppend(0);
  }
}

void Replica::OnPersistFailed(core::TimePoint now) {
  now_ = now;
  queue_.Fail();
  storage_failed_ = true;
  if (role_ != Role::kFollower) {
    BecomeFollower(term(), {});
  }
}

core::Status Replica::Compact(uint64_t index, std::string machine) {
  const bool available = index > log_.base_index() && index <= emitted_index_;
  if (!available || index > queue_.persisted_index()) {
    return core::Error{core::ErrorCode::kUnavailable,
                       "the entry is not applied and synced here",
                       core::Execution::kNotRun,
                       {}};
  }
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = index;
  snapshot->term = *log_.TermAt(index);
  snapshot->membership = log_.MembershipAt(index).Serialize();
  snapshot->data = std::move(machine);
  log_.Compact(snapshot, RetainedEntries(index));
  queue_.SaveSnapshot(snapshot, false);
  return std::monostate{};
}

uint64_t Replica::RetainedEntries(uint64_t index) const {
  uint64_t retained = options_.retained_entries;
  if (!leader_state_) {
    return retained;
  }
  for (const auto& [id, progress] : leader_state_->others()) {
    // A replica that is receiving a snapshot needs the entries after it.
    // Without them it would need the next snapshot, and never catch up.
    const bool receives =
        progress.snapshot != nullptr && progress.last_contact &&
        *progress.last_contact + options_.election_timeout > now_;
    if (receives && progress.snapshot->index < index) {
      retained = std::max(retained, index - progress.snapshot->index);
    }
  }
  return retained;
}

Actions Replica::TakeActions(core::TimePoint now) {
  now_ = now;
  Actions actions;
  if (role_ == Role::kLeader) {
    ResolveReads(&actions);
    FlushEntries();
  }
  actions.failed_reads = std::exchange(failed_reads_, {});
  actions.install = std::exchange(install_, nullptr);
  CollectCommitted(&actions);
  actions.persist = queue_.Next(log_, hard_state_);
  actions.messages = queue_.TakeReady();
  return actions;
}

bool Replica::accepts_proposals() const {
  return role_ == Role::kLeader && !transfer_ && !storage_failed_;
}

std::optional<core::TimePoint> Replica::LastContact() const {
  if (role_ == Role::kLeader) {
    return leader_state_->ConfirmedRoundStart(membership());
  }
  return last_contact_;
}

bool Replica::KnowsCommits() const {
  return role_ == Role::kLeader && CommittedInTerm() &&
         emitted_index_ == commit_index_;
}

std::optional<core::TimePoint> Replica::CurrentAsOf() const {
  return emitted_index_ == commit_index_ ? CommittedAsOf() : returned_as_of_;
}

std::optional<core::TimePoint> Replica::CommittedAsOf() const {
  if (role_ == Role::kLeader && CommittedInTerm()) {
    return std::max(current_as_of_,
                    leader_state_->ConfirmedRoundStart(membership()));
  }
  return current_as_of_;
}

bool Replica::fresh() const { return membership().empty() && term() == 0; }

schema::ConsensusMessage Replica::MessageTo(const ReplicaId& to) const {
  schema::ConsensusMessage message;
  *message.mutable_from() = ToProto(options_.id);
  *message.mutable_to() = ToProto(to);
  message.set_term(term());
  return message;
}

void Replica::Send(schema::ConsensusMessage message) {
  queue_.SendAfterSync(std::move(message));
}

void Replica::BecomeFollower(uint64_t new_term, const ReplicaId& leader) {
  // Before the term changes, since a leader has committed in its own.
  current_as_of_ = CommittedAsOf();
  if (new_term > term()) {
    hard_state_ = storage::HardState{new_term, {}};
    queue_.MarkHardState();
  }
  role_ = Role::kFollower;
  leader_ = leader;
  verified_index_ = 0;
  reported_index_ = 0;
  leader_commit_index_ = 0;
  transfer_campaign_ = false;
  votes_.clear();
  incoming_.reset();
  transfer_.reset();
  FailReads();
  if (leader_state_) {
    last_contact_ = leader_state_->ConfirmedRoundStart(membership());
  }
  leader_state_.reset();
  ResetElectionTimer();
}

void Replica::ResetElectionTimer() {
  election_deadline_ = RandomDeadline(options_.election_timeout);
}

core::TimePoint Replica::RandomDeadline(std::chrono::nanoseconds base) {
  std::uniform_int_distribution<int64_t> spread(0, base.count());
  return now_ + base + std::chrono::nanoseconds(spread(random_));
}

void Replica::AppendEntry(storage::EntryKind kind, std::string data) {
  log_.Append(LogEntry{last_index() + 1, term(), kind, std::move(data)});
  if (kind == storage::EntryKind::kMembership && leader_state_) {
    leader_state_->SetMembership(membership(), last_index());
  }
}

void Replica::AdvanceCommit(uint64_t index) {
  commit_index_ = std::max(commit_index_, std::min(index, last_index()));
}

void Replica::FailReads() {
  if (!leader_state_) {
    return;
  }
  for (const LeaderState::Read& read : leader_state_->reads()) {
    failed_reads_.push_back(read.token);
  }
  leader_state_->reads().clear();
}

void Replica::CollectCommitted(Actions* actions) {
  while (emitted_index_ < commit_index_ &&
         actions->committed.size() < options_.max_committed_entries) {
    actions->committed.push_back(log_.At(++emitted_index_));
  }
  if (emitted_index_ == commit_index_) {
    returned_as_of_ = CommittedAsOf();
  }
}

core::Error Replica::NotLeader() const {
  const std::string where = leader_.empty() || leader_ == options_.id
                                ? std::string("no leader is known")
                                : "the leader is " + leader_.instance;
  return core::Error{core::ErrorCode::kNotLeader, where,
                     core::Execution::kNotRun,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         options_.heartbeat_interval)};
}

}  // namespace hawthorn::consensus

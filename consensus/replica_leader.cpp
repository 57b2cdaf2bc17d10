// Replication on a leader: entries, commits, reads and leadership transfer.
#include <algorithm>
#include <functional>
#include <utility>

#include "consensus/replica.h"

namespace hawthorn::consensus {

namespace {

schema::LogEntryKind KindOf(storage::EntryKind kind) {
  switch (kind) {
    case storage::EntryKind::kEmpty:
      return schema::LOG_ENTRY_KIND_EMPTY;
    case storage::EntryKind::kMembership:
      return schema::LOG_ENTRY_KIND_MEMBERSHIP;
    case storage::EntryKind::kCommand:
      break;
  }
  return schema::LOG_ENTRY_KIND_COMMAND;
}

}  // namespace

void Replica::TickLeader() {
  if (!leader_state_->HasMajorityContact(membership(), now_,
                                         options_.election_timeout)) {
    BecomeFollower(term(), {});
    return;
  }
  ContinueTransfer();
  if (now_ >= next_heartbeat_) {
    Broadcast();
  }
  // Reads also start rounds, which postpone the next heartbeat. Maintenance has
  // its own timer so that reads cannot postpone it.
  if (now_ >= next_maintenance_) {
    next_maintenance_ = now_ + options_.heartbeat_interval;
    commit_at_previous_heartbeat_ =
        std::exchange(commit_at_heartbeat_, commit_index_);
    ChooseEagerVoters();
    RepairMembership();
  }
}

void Replica::Broadcast() {
  next_heartbeat_ = now_ + options_.heartbeat_interval;
  announce_commit_ = false;
  leader_state_->StartRound(now_);
  for (auto& [id, progress] : leader_state_->others()) {
    progress.probe_sent = false;
    SendAppend(id, &progress, true);
  }
}

void Replica::SendAppend(const ReplicaId& id, Progress* progress,
                         bool heartbeat) {
  if (progress->state != Progress::State::kSnapshot &&
      !log_.TermAt(progress->next - 1)) {
    progress->state = Progress::State::kSnapshot;
    progress->snapshot = log_.snapshot();
    progress->snapshot_offset = 0;
    progress->sent_offset.reset();
  }
  if (progress->state == Progress::State::kSnapshot) {
    SendSnapshotChunk(id, progress);
    return;
  }
  schema::ConsensusMessage message = MessageTo(id);
  schema::AppendRequest* request = message.mutable_append();
  request->set_previous_index(progress->next - 1);
  request->set_previous_term(*log_.TermAt(progress->next - 1));
  request->set_commit(commit_index_);
  request->set_round(leader_state_->round());
  // A leader that was replaced does not know what was committed since.
  request->set_last_reply(leader_state_->ConfirmedReply(membership(), id));
  if (!heartbeat) {
    for (LogEntry& entry :
         log_.Slice(progress->next, options_.max_append_bytes)) {
      schema::LogRecord* record = request->add_entries();
      record->set_index(entry.index);
      record->set_term(entry.term);
      record->set_kind(KindOf(entry.kind));
      record->set_data(std::move(entry.data));
    }
  }
  if (progress->state == Progress::State::kProbe) {
    progress->probe_sent = true;
  } else if (!request->entries().empty()) {
    progress->next += static_cast<uint64_t>(request->entries_size());
    progress->in_flight.push_back(progress->next - 1);
  }
  Send(std::move(message));
}

void Replica::SendSnapshotChunk(const ReplicaId& id, Progress* progress) {
  const Snapshot& snapshot = *progress->snapshot;
  schema::ConsensusMessage message = MessageTo(id);
  schema::SnapshotPiece* chunk = message.mutable_snapshot();
  chunk->set_index(snapshot.index);
  chunk->set_index_term(snapshot.term);
  chunk->mutable_membership()->ParseFromString(snapshot.membership);
  chunk->set_offset(progress->snapshot_offset);
  // Without data it is a heartbeat. A replica that is slow to answer would get
  // slower by each copy.
  const bool is_sent =
      progress->sent_offset == progress->snapshot_offset &&
      now_ < progress->part_sent_at + options_.election_timeout;
  if (!is_sent) {
    progress->sent_offset = progress->snapshot_offset;
    progress->part_sent_at = now_;
    chunk->set_data(snapshot.data.substr(progress->snapshot_offset,
                                         options_.snapshot_chunk_bytes));
  }
  chunk->set_total_size(snapshot.data.size());
  chunk->set_round(leader_state_->round());
  Send(std::move(message));
}

void Replica::ChooseEagerVoters() {
  const size_t needed = membership().quorum() - 1;
  if (options_.lazy_interval.count() == 0 || options_.require_durable_copy ||
      !eager_voters_.empty() || !membership_committed()) {
    return;
  }
  std::vector<std::pair<uint64_t, ReplicaId>> candidates;
  for (const auto& [id, progress] : leader_state_->others()) {
    if (membership().IsVoter(id) && HasCaughtUp(id)) {
      candidates.emplace_back(progress.match, id);
    }
  }
  if (candidates.size() < needed) {
    return;
  }
  std::sort(candidates.begin(), candidates.end(), std::greater<>());
  for (size_t n = 0; n < needed; ++n) {
    eager_voters_.insert(candidates[n].second);
  }
}

bool Replica::ShouldFlushAll() {
  if (eager_voters_.empty() || transfer_ || !membership_committed()) {
    eager_voters_.clear();
    lazy_from_index_ = 0;
    flush_until_index_ = last_index();
    return true;
  }
  if (lazy_from_index_ == 0 && last_index() > commit_index_) {
    lazy_from_index_ = last_index();
    lazy_deadline_ = now_ + options_.lazy_interval;
  }
  if (lazy_from_index_ == 0 || now_ < lazy_deadline_) {
    return false;
  }
  if (commit_index_ < lazy_from_index_) {
    // The eager voters do not reply in time.
    eager_voters_.clear();
  }
  lazy_from_index_ = 0;
  flush_until_index_ = last_index();
  return true;
}

void Replica::FlushEntries() {
  const bool all = ShouldFlushAll();
  for (auto& [id, progress] : leader_state_->others()) {
    // A follower that could not be sent a whole batch gets the rest as soon as
    // it can.
    if (!all && !eager_voters_.contains(id) &&
        progress.state == Progress::State::kReplicate &&
        progress.next > flush_until_index_) {
      continue;
    }
    if (progress.state == Progress::State::kProbe && !progress.probe_sent) {
      SendAppend(id, &progress, false);
      continue;
    }
    if (progress.state != Progress::State::kReplicate) {
      continue;
    }
    bool sent = false;
    while (progress.state == Progress::State::kReplicate &&
           progress.next <= last_index() &&
           progress.in_flight.size() < options_.max_appends_in_flight) {
      SendAppend(id, &progress, false);
      sent = true;
    }
    if (!sent && announce_commit_) {
      SendAppend(id, &progress, true);
    }
  }
  announce_commit_ = false;
}

void Replica::OnAppendReply(const schema::ConsensusMessage& message) {
  if (role_ != Role::kLeader || message.term() != term()) {
    return;
  }
  const ReplicaId from = FromProto(message.from());
  const schema::AppendReply& reply = message.append_reply();
  leader_state_->Acknowledge(from, reply.round(), now_);
  Progress* progress = leader_state_->Find(from);
  if (progress == nullptr) {
    return;
  }
  progress->last_reply = reply.number();
  if (reply.rejected()) {
    const bool stale = reply.previous_index() <= progress->match ||
                       (progress->state == Progress::State::kProbe &&
                        reply.previous_index() != progress->next - 1);
    if (stale || progress->state == Progress::State::kSnapshot) {
      return;
    }
    progress->state = Progress::State::kProbe;
    progress->in_flight.clear();
    progress->probe_sent = false;
    progress->next =
        std::clamp(reply.hint(), progress->match + 1, reply.previous_index());
    return;
  }
  progress->match = std::max(progress->match, reply.match());
  AdvanceProgress(from, progress);
  UpdateCommit();
}

void Replica::AdvanceProgress(const ReplicaId& id, Progress* progress) {
  while (!progress->in_flight.empty() &&
         progress->in_flight.front() <= progress->match) {
    progress->in_flight.pop_front();
  }
  if (progress->state == Progress::State::kSnapshot) {
    if (progress->match < progress->snapshot->index) {
      return;
    }
    progress->snapshot.reset();
  } else if (progress->state == Progress::State::kReplicate) {
    progress->next = std::max(progress->next, progress->match + 1);
    return;
  }
  progress->state = Progress::State::kReplicate;
  progress->next = progress->match + 1;
  progress->in_flight.clear();
  if (!log_.TermAt(progress->match)) {
    SendAppend(id, progress, false);
  }
}

void Replica::OnSnapshotReply(const schema::ConsensusMessage& message) {
  if (role_ != Role::kLeader || message.term() != term()) {
    return;
  }
  const ReplicaId from = FromProto(message.from());
  const schema::SnapshotReply& reply = message.snapshot_reply();
  leader_state_->Acknowledge(from, reply.round(), now_);
  Progress* progress = leader_state_->Find(from);
  if (progress != nullptr) {
    progress->last_reply = reply.number();
  }
  if (progress == nullptr || progress->state != Progress::State::kSnapshot ||
      progress->snapshot->index != reply.index() ||
      progress->snapshot_offset == reply.received()) {
    return;
  }
  progress->snapshot_offset =
      std::min<uint64_t>(reply.received(), progress->snapshot->data.size());
  if (progress->snapshot_offset < progress->snapshot->data.size()) {
    SendSnapshotChunk(from, progress);
  }
}

bool Replica::CommittedInTerm() const {
  return log_.TermAt(commit_index_) == term();
}

bool Replica::MembershipReplicated() const {
  // An entry that a majority has synced survives an election. The durable copy
  // that a commit may also need must not be required here: if it is lost, only
  // a membership change can replace it.
  const uint64_t replicated = leader_state_->CommittableIndex(
      membership(), queue_.persisted_index(), false);
  return log_.membership_index() <= replicated &&
         log_.TermAt(replicated) == term();
}

void Replica::UpdateCommit() {
  const uint64_t index = leader_state_->CommittableIndex(
      membership(), queue_.persisted_index(), options_.require_durable_copy);
  if (index <= commit_index_ || log_.TermAt(index) != term()) {
    return;
  }
  AdvanceCommit(index);
  announce_commit_ = options_.announce_commits;
}

core::Status Replica::ReadIndex(uint64_t token, core::TimePoint now) {
  now_ = now;
  if (role_ != Role::kLeader) {
    return NotLeader();
  }
  leader_state_->reads().push_back({token, 0, 0});
  return std::monostate{};
}

void Replica::ResolveReads(Actions* actions) {
  if (!CommittedInTerm() || leader_state_->reads().empty()) {
    return;
  }
  const bool lease = options_.lease_reads && HasLease(now_);
  bool round_started = false;
  for (LeaderState::Read& read : leader_state_->reads()) {
    if (read.index == 0) {
      read.index = commit_index_;
    }
    if (!lease && read.round == 0) {
      if (!round_started) {
        Broadcast();
        round_started = true;
      }
      read.round = leader_state_->round();
    }
  }
  std::erase_if(leader_state_->reads(), [&](const LeaderState::Read& read) {
    const bool confirmed =
        lease || leader_state_->RoundConfirmed(membership(), read.round);
    if (confirmed) {
      actions->ready_reads.push_back({read.token, read.index});
    }
    return confirmed;
  });
}

std::optional<core::TimePoint> Replica::LeaseEnd() const {
  if (role_ != Role::kLeader || lease_given_up_) {
    return std::nullopt;
  }
  const auto since = leader_state_->ConfirmedRoundStart(membership());
  if (!since) {
    return std::nullopt;
  }
  const int percent = 100 - options_.max_clock_drift_percent;
  return *since + options_.election_timeout * percent / 100;
}

bool Replica::HasLease(core::TimePoint now) const {
  const auto end = LeaseEnd();
  return end && now < *end;
}

bool Replica::IsInContact(const ReplicaId& id) const {
  if (role_ != Role::kLeader) {
    return false;
  }
  const auto it = leader_state_->others().find(id);
  return it != leader_state_->others().end() && it->second.last_contact &&
         *it->second.last_contact + options_.election_timeout > now_;
}

bool Replica::HasCaughtUp(const ReplicaId& id) const {
  if (!IsInContact(id) || !CommittedInTerm()) {
    return false;
  }
  const uint64_t match = leader_state_->others().at(id).match;
  return match >= commit_at_previous_heartbeat_ && match > 0;
}

const ReplicaId* Replica::MostUpToDateVoter() const {
  const ReplicaId* best = nullptr;
  uint64_t best_match = 0;
  for (const auto& [id, progress] : leader_state_->others()) {
    const bool recent =
        progress.last_contact &&
        *progress.last_contact + options_.election_timeout > now_;
    if (!recent || !membership().IsVoter(id)) {
      continue;
    }
    if (best == nullptr || progress.match > best_match) {
      best = &id;
      best_match = progress.match;
    }
  }
  return best;
}

core::Status Replica::TransferLeadership(const std::string& instance,
                                         core::TimePoint now) {
  now_ = now;
  if (role_ != Role::kLeader) {
    return NotLeader();
  }
  const ReplicaId* target = MostUpToDateVoter();
  if (!instance.empty()) {
    const Member* member = membership().FindInstance(instance);
    target = member != nullptr && member->voter && member->id != options_.id
                 ? &member->id
                 : nullptr;
  }
  if (target == nullptr) {
    return core::Error{core::ErrorCode::kUnavailable,
                       "no other voter can take over",
                       core::Execution::kNotRun,
                       {}};
  }
  transfer_ = Transfer{*target, now + options_.election_timeout, false};
  ContinueTransfer();
  return std::monostate{};
}

void Replica::ContinueTransfer() {
  if (!transfer_) {
    return;
  }
  if (now_ >= transfer_->deadline) {
    transfer_.reset();
    return;
  }
  const Progress* progress = leader_state_->Find(transfer_->target);
  if (progress == nullptr || transfer_->sent ||
      progress->match < last_index()) {
    return;
  }
  // A delayed TimeoutNow can start an election at any later time of this term,
  // regardless of the lease.
  lease_given_up_ = true;
  transfer_->sent = true;
  schema::ConsensusMessage message = MessageTo(transfer_->target);
  message.mutable_timeout_now();
  Send(std::move(message));
}

}  // namespace hawthorn::consensus

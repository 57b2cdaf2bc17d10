// Replication on a follower: handles entries and snapshots from the leader.
#include <algorithm>
#include <utility>

#include "consensus/replica.h"

namespace hawthorn::consensus {

namespace {

/// Replies whose time is kept until the leader echoes them; far more than are
/// sent within a heartbeat interval.
constexpr size_t kMaxReplyTimes = 4096;

storage::EntryKind KindOf(const schema::LogRecord& record) {
  switch (record.kind()) {
    case schema::LOG_ENTRY_KIND_EMPTY:
      return storage::EntryKind::kEmpty;
    case schema::LOG_ENTRY_KIND_MEMBERSHIP:
      return storage::EntryKind::kMembership;
    default:
      return storage::EntryKind::kCommand;
  }
}

}  // namespace

void Replica::OnLeaderContact(const schema::ConsensusMessage& message) {
  const ReplicaId from = FromProto(message.from());
  if (role_ != Role::kFollower || leader_ != from) {
    BecomeFollower(term(), from);
  }
  leader_contact_at_ = now_;
  last_contact_ = now_;
  ResetElectionTimer();
}

void Replica::OnAppend(const schema::ConsensusMessage& message) {
  if (message.term() < term()) {
    RejectAppend(message);
    return;
  }
  OnLeaderContact(message);
  const schema::AppendRequest& request = message.append();
  const uint64_t previous = request.previous_index();
  const bool log_matches = previous <= commit_index_ ||
                           log_.TermAt(previous) == request.previous_term();
  leader_commit_index_ = std::max(leader_commit_index_, request.commit());
  if (!log_matches) {
    RejectAppend(message);
    return;
  }
  const uint64_t merged_up_to = MergeEntries(request);
  verified_index_ = std::max(verified_index_, merged_up_to);
  AdvanceCommit(std::min(request.commit(), verified_index_));
  UpdateCurrentAsOf(request);
  if (request.entries().empty() ||
      queue_.persisted_index() >= verified_index_) {
    AcknowledgeAppend(request.round());
  }
}

void Replica::UpdateCurrentAsOf(const schema::AppendRequest& request) {
  if (commit_index_ < leader_commit_index_ ||
      log_.TermAt(leader_commit_index_) != term()) {
    return;
  }
  // The message may have been on its way for long, so its age is that of the
  // last reply that the leader had received.
  core::TimePoint known_at = now_;
  if (request.has_last_reply()) {
    const auto it = reply_times_.find(request.last_reply());
    if (it == reply_times_.end()) {
      return;
    }
    known_at = it->second;
    reply_times_.erase(reply_times_.begin(), it);
  }
  current_as_of_ = std::max(current_as_of_, std::optional(known_at));
}

uint64_t Replica::NextReplyNumber() {
  reply_times_[++last_reply_number_] = now_;
  if (reply_times_.size() > kMaxReplyTimes) {
    reply_times_.erase(reply_times_.begin());
  }
  return last_reply_number_;
}

uint64_t Replica::MergeEntries(const schema::AppendRequest& request) {
  uint64_t index = request.previous_index();
  for (const schema::LogRecord& record : request.entries()) {
    index = record.index();
    if (index <= commit_index_ || log_.TermAt(index) == record.term()) {
      continue;
    }
    if (index <= last_index()) {
      log_.TruncateFrom(index);
      queue_.TruncateFrom(index);
    }
    log_.Append(LogEntry{index, record.term(), KindOf(record), record.data()});
  }
  return std::max(index, commit_index_);
}

void Replica::RejectAppend(const schema::ConsensusMessage& message) {
  schema::ConsensusMessage out = MessageTo(FromProto(message.from()));
  schema::AppendReply* reply = out.mutable_append_reply();
  const uint64_t previous = message.append().previous_index();
  reply->set_rejected(true);
  reply->set_round(message.append().round());
  reply->set_previous_index(previous);
  uint64_t hint = last_index() + 1;
  if (previous <= last_index() && previous > log_.base_index()) {
    hint = log_.FirstIndexOfTerm(previous);
  }
  reply->set_hint(std::max(hint, commit_index_ + 1));
  reply->set_number(NextReplyNumber());
  Send(std::move(out));
}

void Replica::AcknowledgeAppend(uint64_t round) {
  reported_index_ = std::min(queue_.persisted_index(), verified_index_);
  schema::ConsensusMessage out = MessageTo(leader_);
  out.mutable_append_reply()->set_round(round);
  out.mutable_append_reply()->set_match(reported_index_);
  out.mutable_append_reply()->set_number(NextReplyNumber());
  Send(std::move(out));
}

void Replica::OnSnapshotChunk(const schema::ConsensusMessage& message) {
  if (message.term() < term()) {
    schema::ConsensusMessage out = MessageTo(FromProto(message.from()));
    out.mutable_append_reply()->set_rejected(true);
    Send(std::move(out));
    return;
  }
  OnLeaderContact(message);
  const schema::SnapshotPiece& chunk = message.snapshot();
  leader_commit_index_ = std::max(leader_commit_index_, chunk.index());
  if (chunk.index() <= commit_index_) {
    verified_index_ = std::max(verified_index_, commit_index_);
    AcknowledgeAppend(chunk.round());
    return;
  }
  if (!incoming_ || incoming_->index != chunk.index() ||
      incoming_->term != chunk.index_term()) {
    incoming_ = IncomingSnapshot{chunk.index(), chunk.index_term(), ""};
  }
  if (incoming_->data.size() == chunk.offset()) {
    incoming_->data += chunk.data();
  }
  const uint64_t received = incoming_->data.size();
  schema::ConsensusMessage out = MessageTo(leader_);
  out.mutable_snapshot_reply()->set_index(chunk.index());
  out.mutable_snapshot_reply()->set_received(received);
  out.mutable_snapshot_reply()->set_round(chunk.round());
  out.mutable_snapshot_reply()->set_number(NextReplyNumber());
  Send(std::move(out));
  if (received == chunk.total_size()) {
    InstallSnapshot(chunk);
  }
}

void Replica::InstallSnapshot(const schema::SnapshotPiece& chunk) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = chunk.index();
  snapshot->term = chunk.index_term();
  snapshot->membership = chunk.membership().SerializeAsString();
  snapshot->data = std::move(incoming_->data);
  incoming_.reset();
  log_.Reset(snapshot);
  queue_.SaveSnapshot(snapshot, true);
  install_ = snapshot;
  commit_index_ = snapshot->index;
  emitted_index_ = snapshot->index;
  verified_index_ = std::max(verified_index_, snapshot->index);
}

}  // namespace hawthorn::consensus

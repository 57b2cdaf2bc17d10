// Elections: pre-vote, votes and leadership transfer.
#include <algorithm>
#include <utility>

#include "consensus/replica.h"

namespace hawthorn::consensus {

void Replica::Campaign(bool pre_vote, bool transfer) {
  ResetElectionTimer();
  leader_ = {};
  votes_.clear();
  transfer_campaign_ = transfer;
  role_ = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  if (!pre_vote) {
    hard_state_ = storage::HardState{term() + 1, options_.id};
    verified_index_ = 0;
    reported_index_ = 0;
    queue_.MarkHardState();
  }
  for (const Member& member : membership().members()) {
    if (!member.voter || member.id == options_.id) {
      continue;
    }
    schema::ConsensusMessage message = MessageTo(member.id);
    message.set_term(pre_vote ? term() + 1 : term());
    schema::VoteRequest* vote = message.mutable_vote();
    vote->set_pre_vote(pre_vote);
    vote->set_last_index(last_index());
    vote->set_last_term(log_.last_term());
    vote->set_transfer(transfer);
    Send(std::move(message));
  }
  if (pre_vote) {
    // Unlike an election, a pre-vote is cheap and disturbs no leader, so it can
    // be retried soon.
    election_deadline_ = RandomDeadline(options_.heartbeat_interval);
    CountVote(options_.id, true);
  }
}

void Replica::CountVote(const ReplicaId& voter, bool granted) {
  if (!membership().IsVoter(voter)) {
    return;
  }
  votes_[voter] = granted;
  const auto n = static_cast<size_t>(
      std::count_if(votes_.begin(), votes_.end(),
                    [](const auto& vote) { return vote.second; }));
  if (n < membership().quorum()) {
    return;
  }
  if (role_ == Role::kPreCandidate) {
    Campaign(false, false);
  } else if (role_ == Role::kCandidate) {
    BecomeLeader();
  }
}

bool Replica::LeaderIsAlive() const {
  if (role_ == Role::kLeader) {
    return true;
  }
  return leader_contact_at_ &&
         now_ < *leader_contact_at_ + options_.election_timeout;
}

bool Replica::WouldVoteFor(const schema::ConsensusMessage& message) const {
  const schema::VoteRequest& vote = message.vote();
  if (storage_failed_) {
    return false;
  }
  if (!vote.transfer() && LeaderIsAlive()) {
    return false;
  }
  const LogPosition theirs{vote.last_index(), vote.last_term()};
  const bool up_to_date =
      theirs.term > log_.last_term() ||
      (theirs.term == log_.last_term() && theirs.index >= last_index());
  if (!up_to_date) {
    return false;
  }
  if (vote.pre_vote()) {
    return message.term() > term();
  }
  return hard_state_.voted_for.empty() ||
         hard_state_.voted_for == FromProto(message.from());
}

void Replica::OnVoteRequest(const schema::ConsensusMessage& message) {
  const bool pre_vote = message.vote().pre_vote();
  const bool granted = message.term() >= term() && WouldVoteFor(message);
  const ReplicaId candidate = FromProto(message.from());
  if (granted && !pre_vote) {
    if (hard_state_.voted_for != candidate) {
      hard_state_.voted_for = candidate;
      queue_.MarkHardState();
    }
    ResetElectionTimer();
  }
  schema::ConsensusMessage reply = MessageTo(candidate);
  if (pre_vote && granted) {
    reply.set_term(message.term());
  }
  reply.mutable_vote_reply()->set_pre_vote(pre_vote);
  reply.mutable_vote_reply()->set_granted(granted);
  Send(std::move(reply));
}

void Replica::OnVoteReply(const schema::ConsensusMessage& message) {
  const schema::VoteReply& reply = message.vote_reply();
  const Role requesting_role =
      reply.pre_vote() ? Role::kPreCandidate : Role::kCandidate;
  const uint64_t requested_term =
      reply.pre_vote() && reply.granted() ? term() + 1 : term();
  if (role_ != requesting_role || message.term() != requested_term) {
    return;
  }
  CountVote(FromProto(message.from()), reply.granted());
}

void Replica::OnTimeoutNow(const schema::ConsensusMessage& message) {
  const bool from_leader =
      message.term() == term() && FromProto(message.from()) == leader_;
  if (!from_leader || storage_failed_ || role_ != Role::kFollower ||
      !membership().IsVoter(options_.id)) {
    return;
  }
  Campaign(false, true);
}

void Replica::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = options_.id;
  votes_.clear();
  transfer_campaign_ = false;
  lease_given_up_ = false;
  eager_voters_.clear();
  lazy_from_index_ = 0;
  flush_until_index_ = 0;
  leader_state_.emplace(options_.id, now_);
  leader_state_->SetMembership(membership(), last_index() + 1);
  next_maintenance_ = now_ + options_.heartbeat_interval;
  commit_at_heartbeat_ = commit_index_;
  commit_at_previous_heartbeat_ = commit_index_;
  AppendEntry(storage::EntryKind::kEmpty, "");
  Broadcast();
}

}  // namespace hawthorn::consensus

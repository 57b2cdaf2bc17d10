// Bootstrap of a group and repair of its membership without an operator.
#include <algorithm>
#include <utility>

#include "consensus/replica.h"

namespace hawthorn::consensus {

namespace {

/// Number of election timeouts without contact with a leader after which a
/// member announces itself, because its identity may have been removed
/// unnoticed.
constexpr int kAnnounceAfterTimeouts = 4;

}  // namespace

void Replica::TickAdmission() {
  const bool member = membership().Find(options_.id) != nullptr;
  const bool no_leader =
      now_ > leader_contact_at_.value_or(started_at_) +
                 options_.election_timeout * kAnnounceAfterTimeouts;
  const bool needed = !member || (no_leader && role_ != Role::kLeader);
  if (options_.instances.empty() || !needed || now_ < next_announce_) {
    return;
  }
  next_announce_ = now_ + options_.heartbeat_interval;
  for (const std::string& instance : options_.instances) {
    if (instance == options_.id.instance) {
      continue;
    }
    const auto it = announcements_.find(instance);
    const bool known = it != announcements_.end();
    SendAnnounce(known ? it->second.id : ReplicaId{instance, 0}, term(), 0);
  }
  TryBootstrapGroup();
}

void Replica::SendAnnounce(const ReplicaId& to, uint64_t term, uint64_t nonce) {
  schema::ConsensusMessage message = MessageTo(to);
  message.set_term(term);
  message.mutable_announce()->set_durable(options_.durable);
  message.mutable_announce()->set_fresh(fresh());
  message.mutable_announce()->set_nonce(nonce);
  Send(std::move(message));
}

void Replica::OnAnnounce(const schema::ConsensusMessage& message) {
  const ReplicaId from = FromProto(message.from());
  const ReplicaId to = FromProto(message.to());
  const bool exact = to == options_.id;
  const bool listed =
      std::find(options_.instances.begin(), options_.instances.end(),
                from.instance) != options_.instances.end();
  if (!listed || to.instance != options_.id.instance) {
    return;
  }
  if (role_ == Role::kLeader) {
    OnAnnounceAtLeader(message);
    return;
  }
  const uint64_t nonce = message.announce().nonce();
  if (nonce != 0 && exact) {
    // The reply may reach a replica that no longer leads. Replying to each
    // challenge only once prevents an endless exchange between the two.
    const std::pair<uint64_t, uint64_t> challenge(message.term(), nonce);
    if (challenge > last_challenge_) {
      last_challenge_ = challenge;
      SendAnnounce(from, message.term(), nonce);
    }
    return;
  }
  // `fresh` counts only if it is addressed to the current incarnation of this
  // replica.
  announcements_[from.instance] =
      Announcement{from,
                   message.announce().durable(),
                   exact && message.announce().fresh(),
                   0,
                   0,
                   now_};
}

void Replica::OnAnnounceAtLeader(const schema::ConsensusMessage& message) {
  const ReplicaId from = FromProto(message.from());
  if (membership().Find(from) != nullptr) {
    return;
  }
  const uint64_t nonce = message.announce().nonce();
  const bool confirms = FromProto(message.to()) == options_.id &&
                        message.term() == term() && nonce != 0;
  if (!confirms) {
    SendAnnounce(from, term(), leader_state_->round());
    return;
  }
  Announcement& known = announcements_[from.instance];
  if (known.term == term() && nonce <= known.nonce && known.id != from) {
    return;
  }
  known = Announcement{from, message.announce().durable(), false, term(), nonce,
                       now_};
}

void Replica::TryBootstrapGroup() {
  if (!fresh() || options_.instances.front() != options_.id.instance) {
    return;
  }
  for (const std::string& instance : options_.instances) {
    const auto it = announcements_.find(instance);
    const bool is_fresh = it != announcements_.end() && it->second.fresh;
    if (instance != options_.id.instance && !is_fresh) {
      return;
    }
  }
  announcements_.clear();
  hard_state_.term = 1;
  queue_.MarkHardState();
  const Membership alone({Member{options_.id, true, options_.durable}});
  AppendEntry(storage::EntryKind::kMembership, alone.Serialize());
}

void Replica::RepairMembership() {
  if (role_ != Role::kLeader || options_.instances.empty() ||
      !MembershipReplicated() || !accepts_proposals()) {
    return;
  }
  for (const Member& member : membership().members()) {
    if (!member.voter && HasCaughtUp(member.id)) {
      ProposeMembership(
          {MembershipChange::Kind::kPromote, member.id, member.durable}, now_);
      return;
    }
  }
  if (RemoveReplacedVoter()) {
    return;
  }
  for (const auto& [instance, announcement] : announcements_) {
    const bool current = announcement.term == term() &&
                         announcement.at + options_.election_timeout > now_;
    if (current && AdmitReplica(announcement)) {
      return;
    }
  }
}

bool Replica::AdmitReplica(const Announcement& announcement) {
  if (membership().Find(announcement.id) != nullptr) {
    return false;
  }
  const Member* old = membership().FindInstance(announcement.id.instance);
  if (old != nullptr &&
      core::IsOk(ProposeMembership(
          {MembershipChange::Kind::kRemove, old->id, false}, now_))) {
    return true;
  }
  // The last voter with a disk cannot be removed first. If it lost its disk,
  // its replacement joins as a learner and the old identity is removed later.
  return core::IsOk(ProposeMembership({MembershipChange::Kind::kAddLearner,
                                       announcement.id, announcement.durable},
                                      now_));
}

bool Replica::RemoveReplacedVoter() {
  const std::vector<Member>& members = membership().members();
  for (const Member& old : members) {
    // A new identity is admitted only when the old one no longer exists.
    const bool replaced =
        std::any_of(members.begin(), members.end(), [&](const Member& member) {
          return member.voter && member.id.instance == old.id.instance &&
                 member.id != old.id &&
                 (member.id == options_.id || HasCaughtUp(member.id));
        });
    if (replaced && old.id != options_.id && !HasCaughtUp(old.id)) {
      return core::IsOk(ProposeMembership(
          {MembershipChange::Kind::kRemove, old.id, false}, now_));
    }
  }
  return false;
}

}  // namespace hawthorn::consensus

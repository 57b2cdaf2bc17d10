#include "consensus/leader_state.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace hawthorn::consensus {

namespace {

/// Number of rounds whose start time is kept. An older round can no longer
/// extend the lease.
constexpr size_t kMaxRounds = 1024;

}  // namespace

void LeaderState::SetMembership(const Membership& membership, uint64_t next) {
  for (const Member& member : membership.members()) {
    if (member.id != self_ && !others_.contains(member.id)) {
      others_[member.id].next = next;
    }
  }
  std::erase_if(others_, [&](const auto& item) {
    return membership.Find(item.first) == nullptr;
  });
}

Progress* LeaderState::Find(const ReplicaId& id) {
  const auto it = others_.find(id);
  return it == others_.end() ? nullptr : &it->second;
}

uint64_t LeaderState::StartRound(core::TimePoint now) {
  round_starts_[++round_] = now;
  if (round_starts_.size() > kMaxRounds) {
    round_starts_.erase(round_starts_.begin());
  }
  for (auto& [id, progress] : others_) {
    progress.reply_before_round[round_] = progress.last_reply;
    if (progress.reply_before_round.size() > kMaxRounds) {
      progress.reply_before_round.erase(progress.reply_before_round.begin());
    }
  }
  return round_;
}

uint64_t LeaderState::ConfirmedReply(const Membership& membership,
                                     const ReplicaId& id) {
  Progress* progress = Find(id);
  if (progress == nullptr) {
    return 0;
  }
  auto& replies = progress->reply_before_round;
  const auto after = replies.upper_bound(ConfirmedRound(membership));
  if (after == replies.begin()) {
    return 0;
  }
  const auto latest = std::prev(after);
  replies.erase(replies.begin(), latest);
  return latest->second;
}

void LeaderState::Acknowledge(const ReplicaId& id, uint64_t round,
                              core::TimePoint now) {
  Progress* progress = Find(id);
  if (progress == nullptr) {
    return;
  }
  progress->last_contact = now;
  progress->acked_round = std::max(progress->acked_round, round);
}

uint64_t LeaderState::CommittableIndex(const Membership& membership,
                                       uint64_t local_persisted,
                                       bool require_durable) const {
  std::vector<uint64_t> matches;
  uint64_t durable = 0;
  for (const Member& member : membership.members()) {
    uint64_t match = 0;
    if (member.id == self_) {
      match = local_persisted;
    } else if (const auto it = others_.find(member.id); it != others_.end()) {
      match = it->second.match;
    }
    // The disk of a learner counts, since the learner may replace a voter whose
    // disk was lost.
    if (member.durable) {
      durable = std::max(durable, match);
    }
    if (member.voter) {
      matches.push_back(match);
    }
  }
  if (matches.empty()) {
    return 0;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const uint64_t majority = matches[membership.quorum() - 1];
  return require_durable ? std::min(majority, durable) : majority;
}

uint64_t LeaderState::ConfirmedRound(const Membership& membership) const {
  std::vector<uint64_t> rounds;
  for (const Member& member : membership.members()) {
    if (!member.voter) {
      continue;
    }
    const auto it = others_.find(member.id);
    if (member.id == self_) {
      rounds.push_back(round_);
    } else {
      rounds.push_back(it == others_.end() ? 0 : it->second.acked_round);
    }
  }
  if (rounds.empty()) {
    return 0;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  return rounds[membership.quorum() - 1];
}

bool LeaderState::RoundConfirmed(const Membership& membership,
                                 uint64_t round) const {
  return ConfirmedRound(membership) >= round;
}

std::optional<core::TimePoint> LeaderState::ConfirmedRoundStart(
    const Membership& membership) const {
  const auto it = round_starts_.find(ConfirmedRound(membership));
  if (it == round_starts_.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool LeaderState::HasMajorityContact(const Membership& membership,
                                     core::TimePoint now,
                                     std::chrono::nanoseconds window) const {
  size_t in_contact = 0;
  for (const Member& member : membership.members()) {
    if (!member.voter) {
      continue;
    }
    const auto it = others_.find(member.id);
    const bool self = member.id == self_;
    const bool recent =
        it != others_.end() &&
        it->second.last_contact.value_or(leader_since_) + window > now;
    in_contact += self || recent ? 1 : 0;
  }
  return in_contact >= membership.quorum();
}

}  // namespace hawthorn::consensus

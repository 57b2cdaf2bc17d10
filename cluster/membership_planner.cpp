#include "cluster/membership_planner.h"

#include <algorithm>
#include <map>
#include <set>

namespace hawthorn::cluster {

namespace {

using consensus::Member;
using consensus::MembershipChange;

constexpr size_t kMinVoters = 3;

class Planner {
 public:
  explicit Planner(const GroupView& view) : view_(view) {
    for (const InstanceView& it : view.instances) {
      zones_.insert(it.zone);
      usable_ += it.retiring ? 0 : 1;
    }
  }

  PlannedStep Plan() const {
    for (const auto step :
         {&Planner::RemoveLostIdentity, &Planner::RemoveRetiring,
          &Planner::Promote, &Planner::RemoveDeadVoter,
          &Planner::RemoveDeadLearner, &Planner::AddLearner}) {
      PlannedStep planned = (this->*step)();
      if (!std::holds_alternative<std::monostate>(planned)) {
        return planned;
      }
    }
    return {};
  }

 private:
  const InstanceView* ViewOf(const Member& member) const {
    for (const InstanceView& it : view_.instances) {
      if (it.id.instance == member.id.instance) {
        return &it;
      }
    }
    return nullptr;
  }

  size_t TargetVoters() const {
    return usable_ >= kMaxVoters ? kMaxVoters : kMinVoters;
  }

  /// Maximum voters in one zone such that a majority survives the loss of the
  /// zone. Not limited with fewer than three zones.
  size_t MaxVotersPerZone() const {
    return zones_.size() < kMinVoters ? kMaxVoters : (TargetVoters() - 1) / 2;
  }

  /// Dead voters do not count, so that a learner of their zone can replace
  /// them.
  size_t LiveVotersIn(const std::string& zone) const {
    size_t n = 0;
    for (const Member& member : view_.membership.members()) {
      const InstanceView* it = ViewOf(member);
      const bool counts = member.voter && IsLive(member);
      n += counts && it != nullptr && it->zone == zone ? 1 : 0;
    }
    return n;
  }

  bool IsLive(const Member& member) const {
    if (member.id == view_.self || view_.in_contact.contains(member.id)) {
      return true;
    }
    const InstanceView* it = ViewOf(member);
    return it != nullptr && it->alive && it->id == member.id;
  }

  /// Removes the old identity of an instance that restarted without its state.
  PlannedStep RemoveLostIdentity() const {
    for (const Member& member : view_.membership.members()) {
      const InstanceView* it = ViewOf(member);
      const bool lost = it != nullptr && it->alive && !IsLive(member);
      if (lost && it->id != member.id) {
        return Remove(member);
      }
    }
    return {};
  }

  PlannedStep RemoveRetiring() const {
    const size_t remaining = LiveVoters();
    for (const Member& member : view_.membership.members()) {
      const InstanceView* it = ViewOf(member);
      if (it == nullptr || !it->retiring) {
        continue;
      }
      if (member.id == view_.self) {
        return remaining > 1 ? PlannedStep(LeadershipTransfer{})
                             : PlannedStep();
      }
      if (!member.voter || BestLearner() != nullptr || remaining > kMinVoters) {
        return Remove(member);
      }
    }
    return {};
  }

  PlannedStep Promote() const {
    if (view_.membership.voter_count() >= TargetVoters()) {
      return {};
    }
    const Member* learner = BestLearner();
    if (learner == nullptr) {
      return {};
    }
    return MembershipChange{MembershipChange::Kind::kPromote, learner->id,
                            learner->durable};
  }

  PlannedStep RemoveDeadVoter() const {
    if (BestLearner() == nullptr) {
      return {};
    }
    for (const Member& member : view_.membership.members()) {
      // The remaining live voters must form a majority of the smaller group.
      // The quorum before the removal is at least as large.
      const size_t quorum = view_.membership.voter_count() / 2 + 1;
      if (member.voter && !IsLive(member) && LiveVoters() >= quorum) {
        return Remove(member);
      }
    }
    return {};
  }

  PlannedStep RemoveDeadLearner() const {
    for (const Member& member : view_.membership.members()) {
      if (!member.voter && !IsLive(member)) {
        return Remove(member);
      }
    }
    return {};
  }

  PlannedStep AddLearner() const {
    const size_t wanted = TargetVoters() + kSpareLearners;
    for (const bool control : {true, false}) {
      for (const InstanceView& it : view_.instances) {
        const bool member =
            view_.membership.FindInstance(it.id.instance) != nullptr;
        const bool needed =
            control || view_.membership.members().size() < wanted;
        if (it.alive && !it.retiring && !member && needed &&
            it.serves_control == control) {
          return MembershipChange{MembershipChange::Kind::kAddLearner, it.id,
                                  true};
        }
      }
    }
    return {};
  }

  size_t LiveVoters() const {
    size_t n = 0;
    for (const Member& member : view_.membership.members()) {
      n += member.voter && IsLive(member) ? 1 : 0;
    }
    return n;
  }

  /// The learner that can become a voter in the zone with the fewest voters, or
  /// null.
  const Member* BestLearner() const {
    const Member* best = nullptr;
    size_t best_voters = 0;
    for (const Member& member : view_.membership.members()) {
      const InstanceView* it = ViewOf(member);
      if (member.voter || it == nullptr || !it->alive || it->retiring ||
          !it->caught_up || it->id != member.id) {
        continue;
      }
      const size_t voters = LiveVotersIn(it->zone);
      if (voters < MaxVotersPerZone() &&
          (best == nullptr || voters < best_voters)) {
        best = &member;
        best_voters = voters;
      }
    }
    return best;
  }

  static PlannedStep Remove(const Member& member) {
    return MembershipChange{MembershipChange::Kind::kRemove, member.id,
                            member.durable};
  }

  const GroupView& view_;
  std::set<std::string> zones_;
  size_t usable_ = 0;
};

}  // namespace

PlannedStep PlanMembership(const GroupView& view) {
  return Planner(view).Plan();
}

}  // namespace hawthorn::cluster

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "consensus/membership.h"

// Manages the voters of the deployment group without an operator.
namespace hawthorn::cluster {

/// An instance with a disk as the leader sees it.
struct InstanceView {
  consensus::ReplicaId id;
  std::string zone;
  /// Workers and operators call this instance, so it needs the state of the
  /// group.
  bool serves_control = false;
  /// An operator requested its retirement.
  bool retiring = false;
  /// Its last announcement is recent; otherwise it is considered dead.
  bool alive = false;
  /// It has synced all entries that were committed one to two heartbeat
  /// intervals ago.
  bool caught_up = false;

  bool operator==(const InstanceView&) const = default;
};

/// Input of the planner.
struct GroupView {
  consensus::Membership membership;
  consensus::ReplicaId self;
  std::vector<InstanceView> instances;
  /// Members that acknowledged messages of the group within an election
  /// timeout. Announcements may arrive late and in any order; these cannot.
  std::set<consensus::ReplicaId> in_contact;
};

/// Step that transfers leadership to another voter.
struct LeadershipTransfer {
  bool operator==(const LeadershipTransfer&) const = default;
};

using PlannedStep = std::variant<std::monostate, consensus::MembershipChange,
                                 LeadershipTransfer>;

/// Maximum voters of a group. Five tolerate the loss of two at the same time,
/// so that the group tolerates a second loss even before the repair of the
/// first has completed.
inline constexpr size_t kMaxVoters = 5;
/// Learners that are kept to replace a voter. Instances that serve control are
/// admitted regardless of this number.
inline constexpr size_t kSpareLearners = 1;

/// Returns the next step towards a group that tolerates as many losses as
/// possible, or nothing. A pure function of `view`.
PlannedStep PlanMembership(const GroupView& view);

}  // namespace hawthorn::cluster

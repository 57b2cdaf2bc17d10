#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "consensus/membership.h"

// Decides who votes in the group of a deployment, without an operator.
namespace hawthorn::cluster {

/// An instance with a disk as the leader sees it.
struct InstanceView {
  consensus::ReplicaId id;
  std::string zone;
  /// Workers and operators call it, so it needs the group's state.
  bool serves_control = false;
  /// Operators asked to empty it.
  bool retiring = false;
  /// It was heard within the time after which an instance counts as dead.
  bool alive = false;
  /// It holds everything that was committed a heartbeat ago.
  bool caught_up = false;

  bool operator==(const InstanceView&) const = default;
};

struct GroupView {
  consensus::Membership membership;
  consensus::ReplicaId self;
  std::vector<InstanceView> instances;
};

/// Leadership should go to another voter.
struct LeadershipTransfer {
  bool operator==(const LeadershipTransfer&) const = default;
};

using PlannedStep = std::variant<std::monostate, consensus::MembershipChange,
                                 LeadershipTransfer>;

/// Most voters of a group. Five bear the loss of two at once, so that a second
/// loss right after a repair is borne even if the repair has not ended.
inline constexpr size_t kMaxVoters = 5;
/// Learners that are kept ready to replace a voter, beside those that need the
/// state anyway.
inline constexpr size_t kSpareLearners = 1;

/// The next single step towards a group that bears most losses. Pure: equal
/// views give equal steps.
PlannedStep PlanMembership(const GroupView& view);

}  // namespace hawthorn::cluster

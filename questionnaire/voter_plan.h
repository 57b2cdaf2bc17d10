#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "questionnaire.pb.h"

namespace hawthorn::questionnaire {

/// Assignment of voters to the replicated groups.
struct VoterPlan {
  /// Voters of the control group.
  std::set<std::string> control;
  /// For each instance, the zones in whose ledger groups it votes; its own
  /// zone, if it votes there, is the first.
  std::map<std::string, std::vector<std::string>> ledger_zones;

  bool operator==(const VoterPlan&) const = default;
};

/// Voters of the control group: 5 instances with a disk if there are that many,
/// else 3, else 1, spread over as many zones as possible.
std::set<std::string> PlanControlVoters(const schema::Answers& answers);

/// Voters of all groups. A ledger group has 3 voters from its zone, or 5 if the
/// zone has at least 5 instances; instances with a disk are preferred. If the
/// zone has fewer than 3 instances, instances with a disk in other zones fill
/// the group up to 3. If the zone has no disk, at least one voter is an
/// instance with a disk in another zone, if there is one.
VoterPlan PlanVoters(const schema::Answers& answers);

}  // namespace hawthorn::questionnaire

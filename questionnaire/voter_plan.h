#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "questionnaire.pb.h"

namespace hawthorn::questionnaire {

/// Which instances vote in which replicated group.
struct VoterPlan {
  /// Voters of the control group.
  std::set<std::string> control;
  /// Zones in whose ledger group an instance votes, its own zone first.
  std::map<std::string, std::vector<std::string>> ledger_zones;

  bool operator==(const VoterPlan&) const = default;
};

/// Voters of the control group: 5 instances with a disk if there are so many,
/// else 3, else 1, spread over as many zones as possible.
std::set<std::string> PlanControlVoters(const schema::Answers& answers);

/// Voters of all groups. A ledger group has 3 voters of its zone, or 5 in a
/// zone of at least 5 instances, disks first; instances with a disk in other
/// zones fill it up to 3, and one of them takes the last place where the
/// zone has no disk of its own.
VoterPlan PlanVoters(const schema::Answers& answers);

}  // namespace hawthorn::questionnaire

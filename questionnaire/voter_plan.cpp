#include "questionnaire/voter_plan.h"

#include <algorithm>
#include <cstddef>

namespace hawthorn::questionnaire {
namespace {

using schema::Answers;
using schema::InstanceAnswer;
using schema::ZoneAnswer;

constexpr size_t kFewVoters = 3;
constexpr size_t kManyVoters = 5;

std::vector<std::string> InstancesOf(const ZoneAnswer& zone, bool has_disk) {
  std::vector<std::string> ids;
  for (const InstanceAnswer& it : zone.instances()) {
    if (it.disk() == has_disk) {
      ids.push_back(it.id());
    }
  }
  return ids;
}

// Instances with a disk, the first ones of all zones before the second ones,
// starting at the zone `first`.
std::vector<std::string> DisksByRound(const Answers& answers, int first) {
  std::vector<std::string> ids;
  for (size_t round = 0;; ++round) {
    const size_t before = ids.size();
    for (int i = 0; i < answers.zones_size(); ++i) {
      const ZoneAnswer& zone =
          answers.zones((first + i) % answers.zones_size());
      const std::vector<std::string> disks = InstancesOf(zone, true);
      if (round < disks.size()) {
        ids.push_back(disks[round]);
      }
    }
    if (ids.size() == before) {
      return ids;
    }
  }
}

// Chooses the ledger voters of one zone after the other and keeps count, so
// that the help for other zones is spread over all disks.
class LedgerPlanner {
 public:
  LedgerPlanner(const Answers& answers, VoterPlan* plan)
      : answers_(answers), plan_(*plan) {}

  void PlanZone(int index) {
    const ZoneAnswer& zone = answers_.zones(index);
    const std::vector<std::string> disks = InstancesOf(zone, true);
    const std::vector<std::string> others = InstancesOf(zone, false);
    std::vector<std::string> own = disks;
    own.insert(own.end(), others.begin(), others.end());
    const size_t wanted = own.size() >= kManyVoters ? kManyVoters : kFewVoters;
    std::vector<std::string> helpers = HelpersFor(index);
    const bool needs_disk = disks.empty() && !helpers.empty();
    own.resize(std::min(own.size(), wanted - (needs_disk ? 1 : 0)));
    helpers.resize(std::min(helpers.size(), wanted - own.size()));
    for (const std::string& it : own) {
      plan_.ledger_zones[it].push_back(zone.id());
    }
    for (const std::string& it : helpers) {
      plan_.ledger_zones[it].push_back(zone.id());
      ++helped_[it];
    }
  }

 private:
  // Instances with a disk in other zones, those that help least first.
  std::vector<std::string> HelpersFor(int index) {
    std::vector<std::string> helpers = DisksByRound(answers_, index + 1);
    const ZoneAnswer& zone = answers_.zones(index);
    std::erase_if(helpers, [&](const std::string& id) {
      return std::any_of(zone.instances().begin(), zone.instances().end(),
                         [&](const auto& it) { return it.id() == id; });
    });
    std::stable_sort(helpers.begin(), helpers.end(),
                     [&](const std::string& a, const std::string& b) {
                       return helped_[a] < helped_[b];
                     });
    return helpers;
  }

  const Answers& answers_;
  VoterPlan& plan_;
  std::map<std::string, int> helped_;
};

}  // namespace

std::set<std::string> PlanControlVoters(const Answers& answers) {
  std::vector<std::string> disks = DisksByRound(answers, 0);
  if (disks.size() >= kManyVoters) {
    disks.resize(kManyVoters);
  } else if (disks.size() >= kFewVoters) {
    disks.resize(kFewVoters);
  } else if (!disks.empty()) {
    disks.resize(1);
  }
  return {disks.begin(), disks.end()};
}

VoterPlan PlanVoters(const Answers& answers) {
  VoterPlan plan;
  plan.control = PlanControlVoters(answers);
  LedgerPlanner planner(answers, &plan);
  for (int i = 0; i < answers.zones_size(); ++i) {
    planner.PlanZone(i);
  }
  for (const ZoneAnswer& zone : answers.zones()) {
    for (const InstanceAnswer& it : zone.instances()) {
      auto& zones = plan.ledger_zones[it.id()];
      std::stable_partition(zones.begin(), zones.end(),
                            [&](auto& id) { return id == zone.id(); });
    }
  }
  return plan;
}

}  // namespace hawthorn::questionnaire

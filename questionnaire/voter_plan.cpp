#include "questionnaire/voter_plan.h"

#include <algorithm>
#include <cstddef>

namespace hawthorn::questionnaire {
namespace {

using schema::Answers;
using schema::InstanceAnswer;
using schema::ZoneAnswer;

constexpr size_t kSmallGroupVoters = 3;
constexpr size_t kLargeGroupVoters = 5;

std::vector<std::string> InstancesOf(const ZoneAnswer& zone, bool has_disk) {
  std::vector<std::string> ids;
  for (const InstanceAnswer& it : zone.instances()) {
    if (it.disk() == has_disk) {
      ids.push_back(it.id());
    }
  }
  return ids;
}

// Instances with a disk in round-robin order over the zones, starting at the
// zone with the index `first`.
std::vector<std::string> DiskInstancesRoundRobin(const Answers& answers,
                                                 int first) {
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

// Chooses the ledger voters of one zone after the other. It counts how often
// each instance votes for another zone, so that these votes are spread over all
// instances with a disk.
class LedgerPlanner {
 public:
  LedgerPlanner(const Answers& answers, VoterPlan* plan)
      : answers_(answers), plan_(*plan) {}

  void PlanZone(int index) {
    const ZoneAnswer& zone = answers_.zones(index);
    const std::vector<std::string> disks = InstancesOf(zone, true);
    const std::vector<std::string> others = InstancesOf(zone, false);
    std::vector<std::string> local_voters = disks;
    local_voters.insert(local_voters.end(), others.begin(), others.end());
    const size_t voter_count = local_voters.size() >= kLargeGroupVoters
                                   ? kLargeGroupVoters
                                   : kSmallGroupVoters;
    std::vector<std::string> remote_voters = RemoteCandidates(index);
    const bool needs_disk = disks.empty() && !remote_voters.empty();
    local_voters.resize(
        std::min(local_voters.size(), voter_count - (needs_disk ? 1 : 0)));
    remote_voters.resize(
        std::min(remote_voters.size(), voter_count - local_voters.size()));
    for (const std::string& it : local_voters) {
      plan_.ledger_zones[it].push_back(zone.id());
    }
    for (const std::string& it : remote_voters) {
      plan_.ledger_zones[it].push_back(zone.id());
      ++remote_votes_[it];
    }
  }

 private:
  // Instances with a disk in other zones, those with the fewest votes for other
  // zones first.
  std::vector<std::string> RemoteCandidates(int index) {
    std::vector<std::string> remote_voters =
        DiskInstancesRoundRobin(answers_, index + 1);
    const ZoneAnswer& zone = answers_.zones(index);
    std::erase_if(remote_voters, [&](const std::string& id) {
      return std::any_of(zone.instances().begin(), zone.instances().end(),
                         [&](const auto& it) { return it.id() == id; });
    });
    std::stable_sort(remote_voters.begin(), remote_voters.end(),
                     [&](const std::string& a, const std::string& b) {
                       return remote_votes_[a] < remote_votes_[b];
                     });
    return remote_voters;
  }

  const Answers& answers_;
  VoterPlan& plan_;
  std::map<std::string, int> remote_votes_;
};

}  // namespace

std::set<std::string> PlanControlVoters(const Answers& answers) {
  std::vector<std::string> disks = DiskInstancesRoundRobin(answers, 0);
  if (disks.size() >= kLargeGroupVoters) {
    disks.resize(kLargeGroupVoters);
  } else if (disks.size() >= kSmallGroupVoters) {
    disks.resize(kSmallGroupVoters);
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

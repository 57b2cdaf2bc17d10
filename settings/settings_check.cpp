#include "settings/settings_check.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <set>
#include <string>

namespace hawthorn::settings {
namespace {

using schema::PeerAddress;
using schema::Settings;

// Checks the list of instances for contradictions, including those with the
// settings of this instance.
class InstanceListChecker {
 public:
  InstanceListChecker(const Settings& settings, std::vector<Problem>* problems)
      : settings_(settings), problems_(*problems) {
    for (const PeerAddress& it : settings.instances()) {
      zones_.insert(it.zone());
    }
  }

  void Check() {
    for (int i = 0; i < settings_.instances_size(); ++i) {
      CheckInstance(settings_.instances(i), absl::StrCat("instances[", i, "]"));
    }
    CheckThisInstance();
    CheckVoterCount();
  }

 private:
  void Add(std::string path, std::string message, std::string allowed) {
    problems_.push_back(
        {std::move(path), std::move(message), std::move(allowed)});
  }

  void CheckInstance(const PeerAddress& peer, const std::string& path) {
    if (!peer.instance().empty() && !names_.insert(peer.instance()).second) {
      Add(path + ".instance",
          absl::StrCat("instance '", peer.instance(), "' is listed twice"),
          "each instance once");
    }
    if (!peer.address().empty() && !addresses_.insert(peer.address()).second) {
      Add(path + ".address",
          absl::StrCat("address '", peer.address(), "' is listed twice"),
          "an address of its own for each instance");
    }
    if (peer.control_voter() && !peer.has_disk()) {
      Add(path + ".control_voter",
          absl::StrCat("instance '", peer.instance(),
                       "' votes in the control group without a disk"),
          "control_voter: true only with has_disk: true");
    }
    CheckLedgerZones(peer, path);
  }

  void CheckLedgerZones(const PeerAddress& peer, const std::string& path) {
    std::set<std::string> seen;
    for (int i = 0; i < peer.ledger_zones_size(); ++i) {
      const std::string& zone = peer.ledger_zones(i);
      const std::string zone_path =
          absl::StrCat(path, ".ledger_zones[", i, "]");
      if (zones_.count(zone) == 0) {
        Add(zone_path, absl::StrCat("unknown zone '", zone, "'"),
            absl::StrCat("one of ", absl::StrJoin(zones_, ", ")));
      }
      if (!seen.insert(zone).second) {
        Add(zone_path, absl::StrCat("zone '", zone, "' is listed twice"),
            "each zone once");
      }
    }
  }

  void CheckThisInstance() {
    const auto& list = settings_.instances();
    if (settings_.instance().empty() || list.empty()) {
      return;
    }
    const auto self = std::find_if(list.begin(), list.end(), [&](auto& it) {
      return it.instance() == settings_.instance();
    });
    if (self == list.end()) {
      Add("instance",
          absl::StrCat("instance '", settings_.instance(),
                       "' is not in the list of instances"),
          absl::StrCat("one of ", absl::StrJoin(names_, ", ")));
      CheckZoneIsListed();
      return;
    }
    if (!settings_.zone().empty() && !self->zone().empty() &&
        self->zone() != settings_.zone()) {
      Add("zone",
          absl::StrCat("zone '", settings_.zone(),
                       "' differs from the one in the list of instances"),
          self->zone());
    }
    CheckDataFolder(*self);
  }

  void CheckZoneIsListed() {
    if (!settings_.zone().empty() && zones_.count(settings_.zone()) == 0) {
      Add("zone", absl::StrCat("unknown zone '", settings_.zone(), "'"),
          absl::StrCat("one of ", absl::StrJoin(zones_, ", ")));
    }
  }

  void CheckDataFolder(const PeerAddress& self) {
    const bool has_folder = !settings_.data_folder().empty();
    if (!has_folder && (self.control_voter() || self.has_disk())) {
      Add("data_folder",
          absl::StrCat(
              "instance '", self.instance(), "' is listed as ",
              self.control_voter() ? "a control voter" : "having a disk",
              " but has no data folder"),
          "a folder on the disk of the instance");
    }
    if (has_folder && !self.has_disk()) {
      Add("data_folder",
          absl::StrCat("instance '", self.instance(),
                       "' has a data folder but is listed without a disk"),
          "has_disk: true in the list of instances, or no data folder");
    }
  }

  void CheckVoterCount() {
    const auto& list = settings_.instances();
    const auto voters = std::count_if(
        list.begin(), list.end(), [](auto& it) { return it.control_voter(); });
    if (!list.empty() && voters == 0) {
      Add("instances", "no instance votes in the control group",
          "control_voter: true at 1, 3 or 5 instances with a disk");
    }
  }

  const Settings& settings_;
  std::vector<Problem>& problems_;
  std::set<std::string> zones_;
  std::set<std::string> names_;
  std::set<std::string> addresses_;
};

}  // namespace

std::vector<Problem> CheckSettings(const Settings& value) {
  std::vector<Problem> problems = CheckRules(value);
  InstanceListChecker(value, &problems).Check();
  if (value.limits().max_connections_per_client() >
      value.limits().max_connections()) {
    problems.push_back({"limits.max_connections_per_client",
                        "more connections per client than in total",
                        "at most limits.max_connections"});
  }
  return problems;
}

}  // namespace hawthorn::settings

#include "questionnaire/answers_check.h"

#include <absl/strings/str_cat.h>

#include <set>
#include <string>

namespace hawthorn::questionnaire {
namespace {

using schema::Answers;
using schema::InstanceAnswer;
using settings::Problem;

constexpr int kMinDisks = 3;

class AnswersChecker {
 public:
  explicit AnswersChecker(const Answers& answers)
      : answers_(answers), problems_(settings::CheckRules(answers)) {}

  std::vector<Problem> Check() {
    CheckZones();
    CheckDisks();
    CheckUnique(answers_.organisations(), "organisations");
    CheckUnique(answers_.services(), "services");
    CheckUnique(answers_.classes(), "classes");
    CheckServices();
    CheckGoals();
    return std::move(problems_);
  }

 private:
  void Add(std::string path, std::string message, std::string allowed) {
    problems_.push_back(
        {std::move(path), std::move(message), std::move(allowed)});
  }

  // Adds a problem if `value` was used before.
  void CheckUnused(std::set<std::string>* seen, const std::string& value,
                   const std::string& path) {
    if (!value.empty() && !seen->insert(value).second) {
      Add(path, absl::StrCat("'", value, "' is listed twice"), "each one once");
    }
  }

  template <typename List>
  void CheckUnique(const List& list, const std::string& name) {
    std::set<std::string> seen;
    for (int i = 0; i < list.size(); ++i) {
      CheckUnused(&seen, list[i].id(), absl::StrCat(name, "[", i, "].id"));
    }
  }

  void CheckZones() {
    CheckUnique(answers_.zones(), "zones");
    std::set<std::string> ids;
    std::set<std::string> addresses;
    for (int i = 0; i < answers_.zones_size(); ++i) {
      const auto& list = answers_.zones(i).instances();
      for (int j = 0; j < list.size(); ++j) {
        const std::string path =
            absl::StrCat("zones[", i, "].instances[", j, "]");
        CheckUnused(&ids, list[j].id(), path + ".id");
        CheckUnused(&addresses, list[j].http_address(), path + ".http_address");
        CheckUnused(&addresses, list[j].peer_address(), path + ".peer_address");
        instances_ += 1;
        disks_ += list[j].disk() ? 1 : 0;
      }
    }
  }

  void CheckDisks() {
    const bool is_single = instances_ == 1 && disks_ == 1;
    if (instances_ > 0 && disks_ < kMinDisks && !is_single) {
      Add("zones",
          absl::StrCat(disks_, " of ", instances_,
                       " instances have a disk; the loss of one would stop "
                       "the control group"),
          "disk: true at 3 or more instances, or a single instance with a "
          "disk");
    }
  }

  void CheckServices() {
    for (int i = 0; i < answers_.services_size(); ++i) {
      const schema::ServiceAnswer& it = answers_.services(i);
      const std::string path = absl::StrCat("services[", i, "]");
      if (it.kind() == schema::SERVICE_KIND_MODEL &&
          !it.idempotent_operations().empty()) {
        Add(path + ".idempotent_operations",
            "a model service has no operations",
            "operations of a plain service");
      }
      if (it.kind() == schema::SERVICE_KIND_PLAIN && it.verifies_orders()) {
        Add(path + ".verifies_orders", "a plain service takes no orders",
            "true for model services only");
      }
    }
  }

  void CheckGoals() {
    const schema::GoalAnswer& goals = answers_.goals();
    if (goals.program_latency() + goals.wasted_cache() <= 0) {
      Add("goals", "neither program latency nor wasted cache has a weight",
          "a weight above 0 for at least one of them");
    }
  }

  const Answers& answers_;
  std::vector<Problem> problems_;
  int instances_ = 0;
  int disks_ = 0;
};

}  // namespace

std::vector<Problem> CheckAnswers(const Answers& answers) {
  return AnswersChecker(answers).Check();
}

}  // namespace hawthorn::questionnaire

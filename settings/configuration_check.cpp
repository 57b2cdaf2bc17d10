#include "settings/configuration_check.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <string>
#include <string_view>

namespace hawthorn::settings {
namespace {

constexpr size_t kSaltBytes = 16;
constexpr size_t kDigestBytes = 32;

using IdSet = absl::flat_hash_set<std::string_view>;

// Adds a problem for each element of `list` with the same id as an earlier one.
template <typename List>
void CheckUniqueIds(const List& list, const std::string& name,
                    std::vector<Problem>* problems) {
  IdSet seen;
  seen.reserve(static_cast<size_t>(list.size()));
  for (int i = 0; i < list.size(); ++i) {
    if (!list[i].id().empty() && !seen.insert(list[i].id()).second) {
      problems->push_back({absl::StrCat(name, "[", i, "].id"),
                           absl::StrCat("id '", list[i].id(), "' stands twice"),
                           "each id once"});
    }
  }
}

// Adds the problems of one key. `path` is a function that is called only if
// there is a problem, because a deployment has many keys and most are valid.
template <typename Path>
void CheckKey(const schema::KeyDigest& key, const Path& path, IdSet* seen,
              std::vector<Problem>* problems) {
  if (!key.id().empty() && !seen->insert(key.id()).second) {
    problems->push_back({path() + ".id",
                         absl::StrCat("key id '", key.id(), "' stands twice"),
                         "ids that are unique in the deployment"});
  }
  if (!key.salt().empty() && key.salt().size() != kSaltBytes) {
    problems->push_back(
        {path() + ".salt",
         absl::StrCat("the salt has ", key.salt().size(), " bytes"),
         "16 bytes as 32 hexadecimal digits"});
  }
  if (!key.digest().empty() && key.digest().size() != kDigestBytes) {
    problems->push_back(
        {path() + ".digest",
         absl::StrCat("the digest has ", key.digest().size(), " bytes"),
         "32 bytes as 64 hexadecimal digits"});
  }
}

void CheckKeys(const schema::Configuration& value,
               std::vector<Problem>* problems) {
  IdSet seen;
  seen.reserve(static_cast<size_t>(value.organisations_size()));
  for (int i = 0; i < value.organisations_size(); ++i) {
    const auto& keys = value.organisations(i).keys();
    for (int j = 0; j < keys.size(); ++j) {
      const auto path = [i, j] {
        return absl::StrCat("organisations[", i, "].keys[", j, "]");
      };
      CheckKey(keys[j], path, &seen, problems);
    }
  }
}

void CheckService(const schema::Service& service, const std::string& path,
                  std::vector<Problem>* problems) {
  if (service.kind() == schema::SERVICE_KIND_MODEL &&
      service.idempotent_operations_size() > 0) {
    problems->push_back({absl::StrCat(path, ".idempotent_operations"),
                         "a model service has no operations",
                         "operations of a plain service"});
  }
  if (service.kind() == schema::SERVICE_KIND_PLAIN &&
      service.verifies_fencing()) {
    problems->push_back({absl::StrCat(path, ".verifies_fencing"),
                         "a plain service takes no orders",
                         "true for model services only"});
  }
}

}  // namespace

std::vector<Problem> CheckConfigurationConsistency(
    const schema::Configuration& value) {
  std::vector<Problem> problems;
  CheckUniqueIds(value.organisations(), "organisations", &problems);
  CheckUniqueIds(value.services(), "services", &problems);
  CheckUniqueIds(value.classes(), "classes", &problems);
  CheckKeys(value, &problems);
  for (int i = 0; i < value.services_size(); ++i) {
    CheckService(value.services(i), absl::StrCat("services[", i, "]"),
                 &problems);
  }
  return problems;
}

std::vector<Problem> CheckConfiguration(const schema::Configuration& value) {
  std::vector<Problem> problems = CheckRules(value);
  const std::vector<Problem> consistency = CheckConfigurationConsistency(value);
  problems.insert(problems.end(), consistency.begin(), consistency.end());
  return problems;
}

}  // namespace hawthorn::settings

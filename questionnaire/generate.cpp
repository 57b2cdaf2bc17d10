#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <utility>
#include <vector>

#include "control.pb.h"
#include "control/key.h"
#include "questionnaire.pb.h"
#include "questionnaire/answers_check.h"
#include "questionnaire/operator_page.h"
#include "questionnaire/questionnaire.h"
#include "questionnaire/voter_plan.h"
#include "settings.pb.h"
#include "settings/field_rule.h"
#include "settings/message_file.h"
#include "settings/settings.h"

namespace hawthorn::questionnaire {
namespace {

using schema::Answers;
using schema::InstanceAnswer;
using schema::ZoneAnswer;

constexpr char kConfigurationFile[] = "configuration.yaml";
constexpr char kPeerKeyFile[] = "keys/peer.key";
constexpr char kOperatorKeyFile[] = "keys/operator.key";

// The settings that all instances share, including the list of instances.
schema::Settings CommonSettings(const Answers& answers, const VoterPlan& plan) {
  schema::Settings common;
  settings::SetDefaults(&common);
  for (const ZoneAnswer& zone : answers.zones()) {
    for (const InstanceAnswer& it : zone.instances()) {
      schema::PeerAddress& peer = *common.add_instances();
      peer.set_instance(it.id());
      peer.set_zone(zone.id());
      peer.set_address(it.peer_address());
      peer.set_has_disk(it.disk());
      peer.set_control_voter(plan.control.count(it.id()) > 0);
      for (const std::string& id : plan.ledger_zones.at(it.id())) {
        peer.add_ledger_zones(id);
      }
    }
  }
  common.set_peer_key_file(absl::StrCat("../", kPeerKeyFile));
  common.set_operator_key_file(absl::StrCat("../", kOperatorKeyFile));
  common.set_first_configuration_file(absl::StrCat("../", kConfigurationFile));
  common.mutable_limits()->set_max_queued_calls(answers.max_queued_calls());
  common.mutable_limits()->set_drain_timeout_ms(answers.drain_timeout_ms());
  return common;
}

std::string InstanceFile(const Answers& answers, const schema::Settings& common,
                         const ZoneAnswer& zone,
                         const InstanceAnswer& instance) {
  schema::Settings settings = common;
  settings.set_instance(instance.id());
  settings.set_zone(zone.id());
  settings.set_http_listen(instance.http_address());
  settings.set_peer_listen(instance.peer_address());
  if (instance.disk()) {
    settings.set_data_folder(
        absl::StrCat(answers.data_folder(), "/", instance.id()));
  }
  return absl::StrCat("# Settings of ", instance.id(),
                      ", generated from the answers of ", answers.deployment(),
                      ".\n", settings::SettingsToYaml(settings));
}

schema::Configuration FirstConfiguration(const Answers& answers) {
  schema::Configuration configuration;
  const schema::GoalAnswer& goals = answers.goals();
  const double latency_weight =
      goals.program_latency() /
      (goals.program_latency() + goals.wasted_cache());
  for (const schema::OrganisationAnswer& it : answers.organisations()) {
    schema::Organisation& organisation = *configuration.add_organisations();
    organisation.set_id(it.id());
    organisation.set_weight(it.weight());
    organisation.set_daily_tokens(it.daily_tokens());
    organisation.set_daily_cost(it.daily_cost());
    organisation.set_max_open_calls(it.max_open_calls());
  }
  for (const schema::ServiceAnswer& it : answers.services()) {
    schema::Service& service = *configuration.add_services();
    service.set_id(it.id());
    service.set_kind(it.kind());
    service.set_policy(it.policy());
    service.set_latency_weight(latency_weight);
    *service.mutable_idempotent_operations() = it.idempotent_operations();
    service.set_attempt_timeout_ms(it.attempt_timeout_ms());
    service.set_verifies_fencing(it.verifies_orders());
  }
  *configuration.mutable_classes() = answers.classes();
  configuration.set_weight_store_concurrent_loads(
      answers.weight_store_concurrent_loads());
  return configuration;
}

std::string ConfigurationFile(const schema::Configuration& configuration) {
  return absl::StrCat("# First configuration of the deployment.\n",
                      settings::ConfigurationToYaml(configuration));
}

}  // namespace

std::variant<GeneratedFiles, core::FindingList> Generate(
    std::string_view text, const std::string& file_name) {
  auto parsed = settings::ParseMessage<Answers>(text, file_name, CheckAnswers);
  if (auto* findings = std::get_if<core::FindingList>(&parsed)) {
    return std::move(*findings);
  }
  const Answers& answers = std::get<Answers>(parsed);
  const VoterPlan plan = PlanVoters(answers);
  const schema::Settings common = CommonSettings(answers, plan);
  GeneratedFiles files;
  for (const ZoneAnswer& zone : answers.zones()) {
    for (const InstanceAnswer& it : zone.instances()) {
      files[absl::StrCat("instances/", it.id(), ".yaml")] =
          InstanceFile(answers, common, zone, it);
    }
  }
  files[kConfigurationFile] = ConfigurationFile(FirstConfiguration(answers));
  files["README.md"] = OperatorPage(answers, plan);
  return files;
}

GeneratedFiles GenerateKeys(const GeneratedFiles& files,
                            const RandomSource& random) {
  GeneratedFiles secrets;
  secrets[kPeerKeyFile] = control::GenerateSecret(random) + "\n";
  secrets[kOperatorKeyFile] = control::GenerateSecret(random) + "\n";
  const auto file = files.find(kConfigurationFile);
  if (file == files.end()) {
    return secrets;
  }
  auto parsed = settings::ParseConfiguration(file->second, file->first);
  auto* configuration = std::get_if<schema::Configuration>(&parsed);
  if (configuration == nullptr) {
    return secrets;
  }
  for (schema::Organisation& it : *configuration->mutable_organisations()) {
    const control::GeneratedKey key = control::GenerateKey(random);
    *it.add_keys() = key.digest;
    secrets[absl::StrCat("keys/organisations/", it.id(), ".key")] =
        key.token + "\n";
  }
  secrets[kConfigurationFile] = ConfigurationFile(*configuration);
  return secrets;
}

}  // namespace hawthorn::questionnaire

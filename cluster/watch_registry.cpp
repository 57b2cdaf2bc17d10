#include "cluster/watch_registry.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "cluster/deployment_host.h"
#include "schema/field_header.h"

namespace hawthorn::cluster {

void AppendInstances(
    const control::DeploymentState& state,
    google::protobuf::RepeatedPtrField<schema::InstanceRecord>* out) {
  for (const auto& [id, record] : state.instances()) {
    *out->Add() = record;
  }
}

void WatchRegistry::Add(const schema::WatchRequest& request,
                        const std::string& instance,
                        const peer::Replier& replier,
                        const WatchSource& source) {
  watchers_.remove_if(
      [&instance](const Watcher& it) { return it.instance == instance; });
  Watcher watcher;
  watcher.replier = replier;
  watcher.instance = instance;
  watcher.configuration_version = request.configuration_version();
  if (request.has_forwarder()) {
    watcher.forwarder = request.forwarder();
    watcher.forwarder->set_instance(instance);
  }
  watchers_.push_back(std::move(watcher));
  ++added_count_;
  Send(&watchers_.back(), source, InstancesDigest());
}

void WatchRegistry::ResendTables() {
  for (Watcher& it : watchers_) {
    it.sent_table = false;
  }
}

uint64_t WatchRegistry::InstancesDigest() const {
  uint64_t digest = 1;
  for (const auto& [id, record] : state_.instances()) {
    digest = XXH64(id.data(), id.size(), digest);
    const std::string& address = record.peer_address();
    digest = XXH64(address.data(), address.size(),
                   digest + (record.retiring() ? 1 : 0));
  }
  return digest;
}

void WatchRegistry::Update(const WatchSource& source) {
  watchers_.remove_if([](const Watcher& it) { return !it.replier.IsOpen(); });
  if (watchers_.empty()) {
    return;
  }
  const core::TimePoint now = clock_.Now();
  const uint64_t instances = InstancesDigest();
  for (Watcher& it : watchers_) {
    const bool due =
        !it.sent_table ||
        it.configuration_version < state_.configuration().version() ||
        it.upstream_revision < state_.upstream_revision() ||
        it.crash_revision != state_.crashes().revision() ||
        it.last_leader != source.leader || it.last_instances != instances ||
        it.seen_forwarders != forwarders_.digest() ||
        it.last_sent + kKeepAliveInterval <= now ||
        (it.last_sent + SpeedBoard::kInterval <= now &&
         speeds_.HasNews(it.speed_cursor, it.instance, now));
    if (due) {
      Send(&it, source, instances);
    }
  }
}

bool WatchRegistry::Contains(const std::string& instance) const {
  return std::any_of(
      watchers_.begin(), watchers_.end(),
      [&instance](const Watcher& it) { return it.instance == instance; });
}

void WatchRegistry::End(const core::Error& reason) {
  for (const Watcher& it : std::exchange(watchers_, {})) {
    it.replier.Fail(reason);
  }
}

std::vector<schema::Forwarder> WatchRegistry::OwnForwarders() const {
  std::vector<schema::Forwarder> own;
  for (const Watcher& it : watchers_) {
    if (it.forwarder) {
      own.push_back(*it.forwarder);
    }
  }
  return own;
}

std::string WatchRegistry::AddForwarders(
    const Watcher& watcher, schema::DeploymentUpdate* update) const {
  if (!watcher.forwarder || watcher.seen_forwarders == forwarders_.digest()) {
    return watcher.last_forwarders;
  }
  schema::ForwarderList list;
  for (const schema::Forwarder& it :
       forwarders_.SampleFor(watcher.instance, watcher.forwarder->zone())) {
    *list.add_forwarders() = it;
  }
  std::string serialized = list.SerializeAsString();
  if (serialized != watcher.last_forwarders) {
    *update->mutable_forwarders() = std::move(list);
  }
  return serialized;
}

std::string_view WatchRegistry::ConfigurationField() {
  const schema::PublishedConfiguration& configuration = state_.configuration();
  if (configuration_field_version_ != configuration.version()) {
    configuration_field_version_ = configuration.version();
    schema::DeploymentUpdate update;
    *update.mutable_configuration() = configuration;
    configuration_field_ = update.SerializeAsString();
  }
  return configuration_field_;
}

std::string_view WatchRegistry::TableFields(uint64_t instances) {
  const TableKey key{state_.upstream_revision(), state_.crashes().revision(),
                     instances};
  if (table_fields_key_ != key) {
    table_fields_key_ = key;
    schema::DeploymentUpdate update;
    for (const auto& [id, entry] : state_.upstreams()) {
      if (!entry.gone()) {
        *update.add_upstreams() = entry;
      }
    }
    AddHarmful(&update);
    AppendInstances(state_, update.mutable_instances());
    table_fields_ = update.SerializeAsString();
  }
  return table_fields_;
}

void WatchRegistry::AddHarmful(schema::DeploymentUpdate* update) const {
  schema::HarmfulRequests* harmful = update->mutable_harmful();
  const std::set<uint64_t> refused = state_.crashes().AllRefused();
  const std::set<uint64_t> suspected = state_.crashes().AllSuspected();
  harmful->mutable_digests()->Add(refused.begin(), refused.end());
  harmful->mutable_suspected()->Add(suspected.begin(), suspected.end());
}

void WatchRegistry::AddChanges(const Watcher& watcher, uint64_t instances,
                               schema::DeploymentUpdate* update) const {
  // Most updates are only keep-alives, and the table contains many upstreams
  // that are gone, so skip it if nothing has changed.
  if (watcher.upstream_revision < state_.upstream_revision()) {
    for (const auto& [id, entry] : state_.upstreams()) {
      if (entry.revision() > watcher.upstream_revision) {
        *update->add_upstreams() = entry;
      }
    }
  }
  if (watcher.crash_revision != state_.crashes().revision()) {
    AddHarmful(update);
  }
  if (watcher.last_instances != instances) {
    AppendInstances(state_, update->mutable_instances());
  }
}

void WatchRegistry::Send(Watcher* watcher, const WatchSource& source,
                         uint64_t instances) {
  schema::DeploymentUpdate update;
  update.set_whole_table(!watcher->sent_table);
  if (watcher->sent_table) {
    AddChanges(*watcher, instances, &update);
  }
  update.set_leader(source.leader);
  *update.mutable_position() = source.position;
  update.set_watchers(
      static_cast<uint32_t>(std::max(watchers_.size(), total_)));
  std::string forwarders = AddForwarders(*watcher, &update);
  schema::UpstreamSpeeds speeds =
      speeds_.Since(watcher->speed_cursor, watcher->instance, clock_.Now());
  if (!speeds.speeds().empty()) {
    *update.mutable_speeds() = std::move(speeds);
  }
  // Fields of a message may be serialized one after the other, so what is the
  // same for all watchers is serialized once.
  const bool has_news =
      state_.configuration().version() > watcher->configuration_version;
  const std::string_view configuration =
      has_news ? ConfigurationField() : std::string_view();
  const std::string_view table =
      watcher->sent_table ? std::string_view() : TableFields(instances);
  const std::string own = update.SerializeAsString();
  const size_t size = configuration.size() + table.size() + own.size();
  schema::PeerMessage packed;
  std::string* bytes = packed.mutable_deployment();
  bytes->reserve(size + schema::kMaxFieldHeaderBytes);
  schema::AppendFieldHeader(schema::DeploymentMessage::kUpdateFieldNumber, size,
                            bytes);
  bytes->append(configuration).append(table).append(own);
  if (!core::IsOk(watcher->replier.SendChunk(packed))) {
    return;
  }
  table_count_ += watcher->sent_table ? 0 : 1;
  sent_bytes_ += packed.deployment().size();
  watcher->seen_forwarders = forwarders_.digest();
  watcher->last_forwarders = std::move(forwarders);
  watcher->speed_cursor = speeds_.cursor();
  watcher->sent_table = true;
  watcher->configuration_version = std::max<uint64_t>(
      watcher->configuration_version, state_.configuration().version());
  watcher->upstream_revision = state_.upstream_revision();
  watcher->crash_revision = state_.crashes().revision();
  watcher->last_leader = source.leader;
  watcher->last_instances = instances;
  watcher->last_sent = clock_.Now();
}

}  // namespace hawthorn::cluster

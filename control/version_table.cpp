#include "control/version_table.h"

namespace hawthorn::control {

void VersionTable::Observe(const schema::UpstreamEntry& entry, int64_t now_ms) {
  last_seen_ms_[{entry.service(), entry.software_version()}] = now_ms;
}

void VersionTable::Expire(int64_t now_ms) {
  std::erase_if(last_seen_ms_, [now_ms](const auto& it) {
    return it.second + kRetentionMs < now_ms;
  });
}

std::optional<std::string> VersionTable::Only(
    const google::protobuf::RepeatedPtrField<std::string>& services,
    int64_t now_ms) const {
  if (now_ms < complete_ms_) {
    return std::nullopt;
  }
  std::optional<std::string> only;
  for (const std::string& service : services) {
    for (auto it = last_seen_ms_.lower_bound({service, ""});
         it != last_seen_ms_.end() && it->first.first == service; ++it) {
      if (only && *only != it->first.second) {
        return std::nullopt;
      }
      only = it->first.second;
    }
  }
  return only;
}

void VersionTable::Save(schema::DeploymentSnapshot* snapshot) const {
  for (const auto& [key, last_seen_ms] : last_seen_ms_) {
    schema::ServiceVersion* out = snapshot->add_service_versions();
    out->set_service(key.first);
    out->set_version(key.second);
    out->set_last_seen_ms(last_seen_ms);
  }
  snapshot->set_versions_complete_ms(complete_ms_);
}

void VersionTable::Load(const schema::DeploymentSnapshot& snapshot) {
  last_seen_ms_.clear();
  for (const schema::ServiceVersion& it : snapshot.service_versions()) {
    last_seen_ms_[{it.service(), it.version()}] = it.last_seen_ms();
  }
  complete_ms_ = snapshot.versions_complete_ms();
  if (!snapshot.has_versions_complete_ms()) {
    for (const schema::UpstreamEntry& it : snapshot.upstreams()) {
      Observe(it, snapshot.clock_ms());
    }
    complete_ms_ = snapshot.clock_ms() + kRetentionMs;
  }
}

}  // namespace hawthorn::control

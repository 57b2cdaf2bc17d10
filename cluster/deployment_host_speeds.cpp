// Speeds of upstreams that entry instances report: passed on to the watchers of
// this instance and to the other instances that have watchers.
#include "cluster/deployment_host.h"
#include "logging/log.h"

namespace hawthorn::cluster {

std::set<std::string> DeploymentHost::InstancesWithWatchers() const {
  if (!is_leader()) {
    return watched_instances_;
  }
  std::set<std::string> watched;
  for (const auto& [id, it] : announcements_) {
    if (it.at + kDeadAfter > Now() && it.announcement.watchers() > 0) {
      watched.insert(id);
    }
  }
  return watched;
}

void DeploymentHost::OnSpeeds(const schema::UpstreamSpeeds& speeds,
                              const std::string& from) {
  const bool is_watcher = watches_.Contains(from);
  const size_t dropped =
      watches_.speeds().OnSpeeds(speeds, from, is_watcher, Now());
  metrics_.Count("speeds_received",
                 static_cast<uint64_t>(speeds.speeds_size()));
  if (dropped > 0) {
    metrics_.Count("speeds_dropped", dropped);
    logging::Log(logging::LogLevel::kWarn, "upstream speeds dropped",
                 {{"from", from}, {"count", std::to_string(dropped)}});
  }
}

void DeploymentHost::PassOnSpeeds() {
  schema::DeploymentMessage message;
  *message.mutable_speeds() = watches_.speeds().TakeForPeers(Now());
  if (message.speeds().speeds().empty()) {
    return;
  }
  const schema::PeerMessage packed = Pack(message);
  for (const std::string& instance : InstancesWithWatchers()) {
    if (instance == options_.self.instance() ||
        !peer_addresses_.contains(instance)) {
      continue;
    }
    const core::Status sent = peers_.Send(core::InstanceId(instance), packed);
    if (core::IsOk(sent)) {
      metrics_.Count("speeds_passed_on");
      continue;
    }
    metrics_.Count("speeds_not_passed_on");
    logging::Log(logging::LogLevel::kInfo, "upstream speeds not passed on",
                 {{"to", instance}, {"reason", core::ErrorOf(sent).message}});
  }
}

}  // namespace hawthorn::cluster

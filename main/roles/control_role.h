#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/deployment_host.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "main/roles/role.h"
#include "peer/peer_transport.h"
#include "platform/boot_settings.h"
#include "platform/control_api.h"
#include "transport/http_session.h"
#include "turns/disk_thread.h"
#include "turns/peer_links.h"
#include "turns/turn_store.h"

namespace hawthorn::main {

/// Hosts a replica of the deployment's state on a machine with a disk. If the
/// settings name a control address, also serves the control API for upstreams
/// and operators.
class ControlRole final : public Role {
 public:
  static constexpr std::chrono::milliseconds kDrainPollInterval{50};
  /// Minimum drain time, so that another replica can take over leadership.
  static constexpr std::chrono::milliseconds kLeadershipTransferTime{300};
  /// Maximum drain time; open control requests take less.
  static constexpr std::chrono::milliseconds kDrainLimit{2000};

  ControlRole(platform::BootSettings settings, const core::Clock& clock,
              core::Metrics& metrics, peer::PeerTransport& peers);

  core::Status Start() override;
  void AddSeeds(const std::vector<std::string>& seeds) override;
  void UpdateGauges() override;
  void Drain(std::function<void()> on_done) override;

 private:
  static cluster::HostOptions OptionsOf(const platform::BootSettings& settings);
  static turns::TurnLog::Options TurnOptionsOf(
      const platform::BootSettings& settings);
  void ContinueDrain();
  void TickTurns();

  platform::BootSettings settings_;
  const core::Clock& clock_;
  peer::PeerTransport& peers_;
  storage::PosixFileSystem turn_files_;
  turns::TransportLinks turn_links_;
  turns::DiskThread turn_disk_;
  turns::TurnStore turns_;
  cluster::DeploymentHost host_;
  platform::ControlApi api_;
  transport::HttpEndpoint control_;
  bool draining_ = false;
  core::TimePoint drain_started_;
  QTimer drain_timer_;
  QTimer turn_timer_;
  std::function<void()> on_done_;
};

}  // namespace hawthorn::main

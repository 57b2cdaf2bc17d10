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

namespace hawthorn::main {

/// Keeps a replica of the deployment's state on a machine with a disk, and
/// takes the calls of workers and operators where the machine serves them.
class ControlRole final : public Role {
 public:
  static constexpr std::chrono::milliseconds kDrainPoll{50};
  /// Time for another replica to take the leadership over.
  static constexpr std::chrono::milliseconds kHandOverTime{300};
  /// Longest drain; open calls of control take less.
  static constexpr std::chrono::milliseconds kDrainLimit{2000};

  ControlRole(platform::BootSettings settings, const core::Clock& clock,
              core::Metrics& metrics, peer::PeerTransport& peers);

  core::Status Start() override;
  void AddSeeds(const std::vector<std::string>& seeds) override;
  void UpdateGauges() override;
  void Drain(std::function<void()> on_done) override;

 private:
  static cluster::HostOptions OptionsOf(const platform::BootSettings& settings);
  void ContinueDrain();

  platform::BootSettings settings_;
  const core::Clock& clock_;
  peer::PeerTransport& peers_;
  cluster::DeploymentHost host_;
  platform::ControlApi api_;
  transport::HttpEndpoint control_;
  bool draining_ = false;
  core::TimePoint drain_started_;
  QTimer drain_timer_;
  std::function<void()> on_done_;
};

}  // namespace hawthorn::main

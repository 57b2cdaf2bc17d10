#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/deployment_client.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "main/roles/role.h"
#include "peer/peer_transport.h"
#include "platform/boot_settings.h"
#include "platform/call_codec.h"
#include "relay/relay.h"
#include "transport/http_session.h"

namespace hawthorn::main {

/// Takes the calls of programs and relays them to upstreams.
class EntryRole final : public Role {
 public:
  /// Time for the platform to stop sending callers: two missed questions a
  /// second apart, and their way.
  static constexpr std::chrono::milliseconds kLeaveRotation{2500};
  /// Time without an update after which this instance is not ready. Shorter
  /// than the loss of contact, since only two answers in a row count.
  static constexpr std::chrono::milliseconds kReadyContact{450};
  static constexpr std::chrono::milliseconds kDrainPoll{50};
  /// Time before the platform's own limit at which the process ends anyway.
  static constexpr std::chrono::milliseconds kDrainReserve{400};

  EntryRole(platform::BootSettings settings, const core::Clock& clock,
            core::Metrics& metrics, peer::PeerTransport& peers);

  core::Status Start() override;
  void AddSeeds(const std::vector<std::string>& seeds) override;
  void UpdateGauges() override;
  void Drain(std::function<void()> on_done) override;

 private:
  void OnUpdate(const schema::DeploymentUpdate& update);
  void ContinueDrain();
  bool IsReady() const;
  /// Time after which the process ends with whatever is still open.
  std::chrono::milliseconds DrainLimit() const {
    return std::chrono::milliseconds(settings_.grace_ms) - kDrainReserve;
  }

  platform::BootSettings settings_;
  const core::Clock& clock_;
  core::Metrics& metrics_;
  platform::PlatformCallCodec codec_;
  cluster::DeploymentClient client_;
  relay::Relay relay_;
  transport::HttpEndpoint callers_;
  transport::HttpEndpoint readiness_;
  bool table_complete_ = false;
  bool draining_ = false;
  core::TimePoint drain_started_;
  QTimer drain_timer_;
  std::function<void()> on_done_;
};

}  // namespace hawthorn::main

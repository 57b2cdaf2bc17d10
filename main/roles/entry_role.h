#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/deployment_client.h"
#include "cluster/quota_client.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "main/roles/role.h"
#include "peer/peer_transport.h"
#include "platform/boot_settings.h"
#include "platform/call_codec.h"
#include "relay/relay.h"
#include "transport/http_session.h"
#include "turns/peer_links.h"
#include "turns/turn_client.h"

namespace hawthorn::main {

/// Accepts the calls of programs and relays them to upstreams.
class EntryRole final : public Role {
 public:
  /// Time until the platform sends no new callers here after readiness fails:
  /// two failed readiness probes 1 s apart, plus the time in transit.
  static constexpr std::chrono::milliseconds kPlatformRemovalDelay{2500};
  /// Time since the last contact with the control group after which this
  /// instance reports not ready. Shorter than the time after which contact
  /// counts as lost, since the platform only reacts to two equal readiness
  /// responses in a row.
  static constexpr std::chrono::milliseconds kReadyContactLimit{450};
  static constexpr std::chrono::milliseconds kDrainPollInterval{50};
  /// The drain ends this long before the platform's grace period does, whatever
  /// is still open.
  static constexpr std::chrono::milliseconds kDrainMargin{400};
  /// Bytes that may be buffered for callers and upstreams while requests are
  /// admitted. Entry instances have 88 MB; what is buffered for calls that run
  /// already may grow a little beyond.
  static constexpr size_t kMaxBufferedBytes = size_t{24} * 1024 * 1024;

  EntryRole(platform::BootSettings settings, const core::Clock& clock,
            core::Metrics& metrics, peer::PeerTransport& peers);

  core::Status Start() override;
  void AddSeeds(const std::vector<std::string>& seeds) override;
  void UpdateGauges() override;
  void Drain(std::function<void()> on_done) override;

 private:
  void OnUpdate(const schema::DeploymentUpdate& update);
  /// Puts a committed configuration into force, as far as this build can use
  /// it. The one before stays in force if it is unreadable.
  void TakeConfiguration(const schema::PublishedConfiguration& committed);
  void ContinueDrain();
  bool IsReady() const;
  /// Time after which the drain ends even if calls are still open.
  std::chrono::milliseconds DrainLimit() const {
    return std::chrono::milliseconds(settings_.grace_ms) - kDrainMargin;
  }

  platform::BootSettings settings_;
  const core::Clock& clock_;
  core::Metrics& metrics_;
  peer::PeerTransport& peers_;
  platform::PlatformCallCodec codec_;
  transport::BufferBudget buffers_{kMaxBufferedBytes};
  cluster::DeploymentClient client_;
  cluster::QuotaClient quota_;
  turns::TransportLinks turn_links_;
  turns::TurnClient turns_;
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

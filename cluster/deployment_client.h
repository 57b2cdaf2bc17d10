#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "peer/peer_transport.h"
#include "relay/token_ledger.h"
#include "schema/generated/deployment.pb.h"

namespace hawthorn::cluster {

/// An instance without a disk: it watches the deployment at one instance that
/// serves control, and claims budgets at the leader.
class DeploymentClient final : public QObject, public relay::TokenLedger {
  Q_OBJECT

 public:
  using UpdateHandler = std::function<void(const schema::DeploymentUpdate&)>;

  /// Time without an update after which another instance is watched. Updates
  /// come at least every WatchRegistry::kKeepAliveInterval.
  static constexpr std::chrono::milliseconds kUpdateTimeout{700};
  /// Time for the first update of a watch: several round trips. It doubles
  /// with each source that exceeds it, up to kUpdateTimeout, so that slow
  /// sources are heard in the end.
  static constexpr std::chrono::milliseconds kFirstUpdateTimeout{250};
  /// Wait between two attempts to watch.
  static constexpr std::chrono::milliseconds kWatchRetryDelay{80};
  /// Wait that is suggested while no leader can be reached: an election takes
  /// about as long.
  static constexpr std::chrono::milliseconds kNoLeaderRetryAfter{600};
  /// Wait that is suggested while this instance is cut off: the platform sends
  /// callers elsewhere after two missed questions a second apart.
  static constexpr std::chrono::milliseconds kIsolatedRetryAfter{2000};
  /// Time without an update after which no election explains the silence.
  static constexpr std::chrono::milliseconds kIsolatedAfter{1500};
  static constexpr std::chrono::milliseconds kClaimAttemptTimeout{400};
  static constexpr std::chrono::milliseconds kClaimRetryDelay{60};
  /// Settlements wait so long for a claim that takes them along. Well within
  /// the second in which a deployment counts an ended turn at its most.
  static constexpr std::chrono::milliseconds kSettleDelay{150};
  static constexpr std::chrono::milliseconds kSettleRetryDelay{200};
  /// Tries and pauses that outlast an election.
  static constexpr int kCrashAttempts = 5;
  static constexpr std::chrono::milliseconds kCrashRetryDelay{300};

  DeploymentClient(const std::vector<std::string>& seeds, uint64_t seed,
                   const core::Clock& clock, core::Metrics& metrics,
                   peer::PeerTransport& peers, UpdateHandler on_update);
  /// Ends the watch; `peers` outlives the client.
  ~DeploymentClient() override;

  void Start();
  /// Sets the gauges of the metrics to what holds now.
  void UpdateGauges() const;
  void AddSeeds(const std::vector<std::string>& seeds);

  void Claim(const relay::TokenClaim& claim, std::chrono::milliseconds timeout,
             ClaimCallback callback) override;
  void Settle(const relay::TokenClaim& claim, int64_t used) override;

  /// Tells the group that an upstream ended while it ran the request with this
  /// digest. Repeated a few times; lost if no leader is found meanwhile.
  void ReportCrash(uint64_t digest);

  /// An update arrived lately, so that what is known here is current.
  bool IsCurrent() const { return HeardWithin(kUpdateTimeout); }
  bool HeardWithin(std::chrono::milliseconds time) const;
  /// Settlements that are not durable yet.
  size_t open_settlements() const { return settlements_.size(); }

 private:
  struct PendingClaim {
    relay::TokenClaim claim;
    ClaimCallback callback;
    core::TimePoint started_at;
    core::TimePoint deadline;
    /// Leader that was asked last.
    std::string sent_to;
    bool done = false;
  };
  using ClaimPtr = std::shared_ptr<PendingClaim>;

  bool IsIsolated() const;
  void SendCrash(uint64_t digest, int attempts_left);
  void Watch();
  void OnWatchEvent(const schema::PeerMessage& event);
  void OnWatchEnd(const core::Status& status);
  void OnFirstUpdateTimeout();
  void TryClaim(const ClaimPtr& claim);
  void OnClaimReply(const ClaimPtr& claim,
                    const core::Result<schema::PeerMessage>& reply);
  void FinishClaim(const ClaimPtr& claim,
                   const core::Result<relay::ClaimAnswer>& answer);
  /// Asks a new leader at once what the old one has not answered.
  void RetryClaims();
  void SendSettlements();
  /// Sends a command to the leader as it is known here. No reply is handed over
  /// after this client is gone.
  void SendToLeader(
      const schema::DeploymentCommand& command,
      std::chrono::milliseconds timeout,
      std::function<void(const core::Result<schema::PeerMessage>&)> on_reply);
  /// Adds open settlements to a command, up to the bound of one.
  void FillSettlements(
      google::protobuf::RepeatedPtrField<schema::TokenSettlement>* out) const;
  void OnSettled(
      const google::protobuf::RepeatedPtrField<schema::TokenSettlement>&
          settled);
  void UpdateInstance(const std::string& instance, const std::string& address,
                      bool serves_control);

  uint64_t seed_;
  const core::Clock& clock_;
  core::Metrics& metrics_;
  peer::PeerTransport& peers_;
  UpdateHandler on_update_;
  /// Peer addresses of instances that may be watched, by instance.
  std::map<std::string, std::string> sources_;
  std::map<std::string, std::string> peer_addresses_;
  std::string source_;
  size_t source_cursor_ = 0;
  std::string leader_;
  uint64_t configuration_version_ = 0;
  core::TimePoint last_update_;
  peer::StreamHandle watch_;
  std::set<ClaimPtr> claims_;
  QTimer first_update_;
  std::chrono::milliseconds first_update_timeout_{kFirstUpdateTimeout};
  QTimer retry_;
  QTimer settle_timer_;
  std::map<std::string, schema::TokenSettlement> settlements_;
  bool settling_ = false;
};

}  // namespace hawthorn::cluster

#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/leader_contact.h"
#include "cluster/program_gate.h"
#include "cluster/settlement_queue.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "peer/transport.h"
#include "relay/token_ledger.h"
#include "schema/generated/deployment.pb.h"

namespace hawthorn::cluster {

/// Client of the deployment group on an instance without a replica. It watches
/// the state at one instance that serves control, and sends budget claims to
/// the leader.
class DeploymentClient final : public QObject, public relay::TokenLedger {
  Q_OBJECT

 public:
  using UpdateHandler = std::function<void(const schema::DeploymentUpdate&)>;
  using InstancesCallback =
      std::function<void(const core::Result<schema::InstanceList>&)>;

  /// Time without an update after which the client watches another instance.
  /// Updates arrive at least every WatchRegistry::kKeepAliveInterval.
  static constexpr std::chrono::milliseconds kUpdateTimeout{700};
  /// Timeout of the first update of a watch: several round trips. From the
  /// kQuickWatches-th watch in a row that brings none, it doubles with each
  /// one, up to kUpdateTimeout, so that slow sources work too. One source is
  /// asked at a time: asking others beside slow ones keeps them all slow.
  static constexpr std::chrono::milliseconds kFirstUpdateTimeout{250};
  static constexpr size_t kQuickWatches = 4;
  /// Watches in a row after which a source that does not tell its position
  /// serves; bounded, since many of the others may be gone.
  static constexpr size_t kPositionAttempts = 4;
  /// Delay between two watches. It doubles each time that all sources have
  /// refused or not answered, up to kMaxWatchRetryDelay, so that instances
  /// without a source do not keep the sources busy.
  static constexpr std::chrono::milliseconds kWatchRetryDelay{80};
  static constexpr std::chrono::milliseconds kMaxWatchRetryDelay{320};
  /// Time without an update after which sources that are current and behind
  /// this client show that its position is of another log.
  static constexpr std::chrono::milliseconds kPositionDoubtAfter{3000};
  /// Suggested retry delay while no leader is reachable: about the duration of
  /// an election.
  static constexpr std::chrono::milliseconds kNoLeaderRetryAfter{600};
  /// Suggested retry delay while this instance is isolated: the platform routes
  /// callers to another instance after two failed checks, one second apart.
  static constexpr std::chrono::milliseconds kIsolatedRetryAfter{2000};
  /// Time without an update after which this instance counts as isolated; an
  /// election does not take as long.
  static constexpr std::chrono::milliseconds kIsolatedAfter{1500};
  static constexpr std::chrono::milliseconds kClaimAttemptTimeout{400};
  /// Delay after a claim that the leader failed. Doubles with each further one.
  /// While the leader does not answer, a claim is not sent again: the answer to
  /// it would be no earlier.
  static constexpr std::chrono::milliseconds kClaimRetryDelay{60};
  static constexpr std::chrono::milliseconds kMaxClaimRetryDelay{240};
  /// Time for which settlements wait for a claim that can include them. Well
  /// below one second: the deployment may count an ended turn at its maximum
  /// for no longer than that.
  static constexpr std::chrono::milliseconds kSettleDelay{150};
  static constexpr std::chrono::milliseconds kSettleRetryDelay{200};
  /// Timeout of a command with settlements alone.
  static constexpr std::chrono::milliseconds kSettleTimeout{1000};
  /// Delay between two attempts to report how a request ended.
  static constexpr std::chrono::milliseconds kReportRetryDelay{300};
  /// Delay after which a configuration that did not come into force is asked
  /// for at another source. It doubles with each further one, up to
  /// kMaxUnreadableRetryDelay.
  static constexpr std::chrono::milliseconds kUnreadableRetryDelay{500};
  static constexpr std::chrono::milliseconds kMaxUnreadableRetryDelay{8000};
  /// Maximum number of reports that the group has not confirmed; further ones
  /// are lost.
  static constexpr size_t kMaxOpenReports = 1024;

  DeploymentClient(const std::vector<std::string>& seeds, uint64_t seed,
                   const core::Clock& clock, core::Metrics& metrics,
                   peer::Transport& peers, UpdateHandler on_update);
  /// Ends the watch. `peers` must outlive the client.
  ~DeploymentClient() override;

  /// Offers this instance as one that carries out exchanges for others. To be
  /// called before Start.
  void SetForwarder(schema::Forwarder forwarder) {
    forwarder_ = std::move(forwarder);
  }
  /// Sets the function that returns the configuration version in force here,
  /// called after each update. A version that was received and is not in force
  /// is asked for again. To be called before Start. Without it, each version
  /// that was received counts as in force.
  void SetVersionInForce(std::function<uint64_t()> version_in_force) {
    version_in_force_ = std::move(version_in_force);
  }
  void Start();
  /// Sets the gauges to their current values.
  void UpdateGauges() const;
  void AddSeeds(const std::vector<std::string>& seeds);

  void Claim(const relay::TokenClaim& claim, std::chrono::milliseconds timeout,
             ClaimCallback callback) override;
  void Settle(const relay::TokenClaim& claim, int64_t used) override;

  /// Reads the instances with a disk linearizably, at the leader. An error if
  /// none is known, or if it does not confirm the list in time.
  void ReadInstances(InstancesCallback callback);

  /// Reports to the group that an upstream crashed while it ran a request.
  /// Retried until the group confirms it.
  void ReportCrash(const schema::ReportCrash& report);
  /// Reports to the group that an upstream ran a suspected request to its end.
  /// Retried like a crash.
  void ReportSuccess(uint64_t digest);
  /// Reports to the group that an upstream said in a response that it is
  /// draining. Retried like a crash.
  void ReportDraining(const std::string& upstream, uint64_t started_at_ms);

  /// Reports to the group that an upstream changed its request limit in a
  /// response. Retried like a crash.
  void ReportLimit(const schema::UpstreamLimit& limit);

  /// Reports the speeds of upstreams to the watched instance, which passes them
  /// on to all others. Not retried: the next report replaces a lost one.
  void ReportSpeeds(const schema::UpstreamSpeeds& speeds);

  /// Returns whether the known state is current: an update was received within
  /// kUpdateTimeout.
  bool IsCurrent() const { return HadContactWithin(kUpdateTimeout); }
  bool HadContactWithin(std::chrono::milliseconds time) const;
  /// Number of watches that have not ended.
  size_t open_watches() const { return watch_.number == 0 ? 0 : 1; }
  /// Number of settlements that are not durable yet.
  size_t open_settlements() const { return settlements_.size(); }
  /// Number of reports that the group has not confirmed yet.
  size_t open_reports() const { return open_reports_; }

 private:
  struct PendingClaim {
    relay::TokenClaim claim;
    ClaimCallback callback;
    core::TimePoint started_at;
    core::TimePoint deadline;
    /// Leader to which the claim was last sent.
    std::string sent_to;
    /// How often it was sent, less the times that it was certainly not
    /// proposed: each of these may still be granted.
    int open_sends = 0;
    /// Failed attempts in a row.
    size_t failures = 0;
    bool done = false;
  };
  using ClaimPtr = std::shared_ptr<PendingClaim>;

  bool IsIsolated() const;
  void AddReport(const schema::DeploymentCommand& command);
  void LogLostReport(const schema::DeploymentCommand& command,
                     const std::string& reason);
  void SendReport(const schema::DeploymentCommand& command);
  void Watch();
  /// Selects the source of the next watch: the next other one in turn whose
  /// last watch brought updates or that was not watched yet. If there is none,
  /// the next one in turn.
  void SelectSource();
  void OnWatchEvent(const schema::PeerMessage& event);
  /// Ends the watch and begins another one later.
  void LeaveSource(core::ErrorCode code, const std::string& reason);
  /// Returns whether the update was made from a state at or beyond the one that
  /// this client has.
  bool IsUpToDate(const schema::DeploymentUpdate& update);
  void OnWatchEnd(const core::Status& status);
  /// Notes that a source that is current is behind this client.
  void OnSourceBehind();
  std::chrono::milliseconds RetryDelay() const;
  std::chrono::milliseconds FirstUpdateTimeout() const;
  /// Notes which version is held once an update was handled.
  void UpdateHeldVersion(const schema::DeploymentUpdate& update);
  /// Asks another source for the version that is not in force.
  void OnUnreadableRetry();
  void OnFirstUpdateTimeout();
  void TryClaim(const ClaimPtr& claim);
  /// Returns why a claim cannot be sent now and would not be answered in time.
  std::optional<core::Error> RefusalOf(const PendingClaim& claim) const;
  void SendClaim(const ClaimPtr& claim);
  void OnClaimReply(const ClaimPtr& claim,
                    const core::Result<schema::PeerMessage>& reply);
  void RetryLater(const ClaimPtr& claim);
  /// Error of a claim that is given up for lack of an answer.
  core::Error NoAnswer(const PendingClaim& claim) const;
  void FinishClaim(const ClaimPtr& claim,
                   const core::Result<relay::ClaimReply>& result);
  /// Sends the pending claims of a previous leader to the new one without
  /// delay.
  void RetryClaims();
  void SendSettlements();
  /// Sends a command to the known leader. `on_reply` is not called after this
  /// client is destroyed.
  void SendToLeader(
      const schema::DeploymentCommand& command,
      std::chrono::milliseconds timeout,
      std::function<void(const core::Result<schema::PeerMessage>&)> on_reply);
  /// Starts the timer of the next settlements, if any wait.
  void ScheduleSettlements(std::chrono::milliseconds delay);
  /// The command with `settlements` was answered.
  void OnSettled(const SettlementQueue::List& settlements,
                 const core::Result<schema::PeerMessage>& reply);
  void UpdateInstance(const std::string& instance, const std::string& address,
                      bool serves_control);

  uint64_t seed_;
  const core::Clock& clock_;
  core::Metrics& metrics_;
  peer::Transport& peers_;
  UpdateHandler on_update_;
  struct Source {
    /// The last watch ended before its first update.
    bool failed = false;
  };
  /// Instances that can be watched.
  std::map<std::string, Source> sources_;
  std::map<std::string, std::string> peer_addresses_;
  std::optional<schema::Forwarder> forwarder_;
  /// Source of the current watch, or of the last one.
  std::string source_;
  size_t source_cursor_ = 0;
  /// Whether the current watch has brought an update.
  bool source_serves_ = false;
  /// Watches in a row that ended without an update.
  size_t failed_watches_ = 0;
  /// Sources in a row that were current and behind this client.
  size_t sources_behind_ = 0;
  std::string leader_;
  std::function<uint64_t()> version_in_force_;
  /// Highest version that is in force here; sources send later ones.
  uint64_t configuration_version_ = 0;
  /// Highest version that was received and is not in force; 0 if none.
  uint64_t unreadable_version_ = 0;
  std::chrono::milliseconds unreadable_retry_delay_{kUnreadableRetryDelay};
  QTimer unreadable_retry_;
  /// The newest state that an update was made from. Older ones are not taken.
  schema::StatePosition position_;
  /// Watches in a row since one of a source that tells its position.
  size_t watches_without_position_ = 0;
  core::TimePoint last_update_;
  /// The current watch; its number is 0 if there is none.
  peer::StreamHandle watch_;
  std::set<ClaimPtr> claims_;
  LeaderContact leader_contact_;
  ProgramGate program_gate_;
  QTimer first_update_;
  QTimer retry_;
  QTimer settle_timer_;
  SettlementQueue settlements_;
  /// A command with settlements alone is on its way.
  bool settling_ = false;
  size_t open_reports_ = 0;
};

}  // namespace hawthorn::cluster

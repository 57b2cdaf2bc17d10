#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "peer/peer_transport.h"
#include "relay/admission_log.h"
#include "relay/drain_marks.h"
#include "relay/forward_server.h"
#include "relay/forwarder_table.h"
#include "relay/instance_count.h"
#include "relay/link_counter.h"
#include "relay/organisation_stats.h"
#include "relay/poison_guard.h"
#include "relay/quota_source.h"
#include "relay/relay_call.h"
#include "relay/request_limits.h"
#include "relay/silence_watch.h"
#include "relay/upstream_link_pool.h"
#include "relay/upstream_paths.h"
#include "scheduling/shared_scheduler.h"
#include "scheduling/upstream_speed.h"
#include "schema/generated/deployment.pb.h"
#include "transport/http_session.h"

// Forwards requests and responses unmodified between callers and upstreams, in
// the order that the scheduler decides.
namespace hawthorn::relay {

/// Handles requests of callers. Lives in one thread with an event loop.
class Relay final : public QObject, private CallHost, private ForwardHost {
  Q_OBJECT

 public:
  struct Parts {
    const core::Clock& clock;
    const CallCodec& codec;
    TokenLedger& ledger;
    core::Metrics& metrics;
    /// Availability zone of this instance.
    std::string zone;
    uint64_t seed = 1;
    /// Receives a report for each call whose upstream crashed while running it.
    std::function<void(const schema::ReportCrash&)> on_crash = {};
    /// Receives the digest of a suspected request that an upstream has run to
    /// its end.
    std::function<void(uint64_t)> on_success = {};
    /// Receives an upstream and its start time when it says in a response that
    /// it is draining.
    std::function<void(const std::string&, uint64_t)> on_draining = {};
    /// Receives the request limit of an upstream when a response changes it.
    std::function<void(const schema::UpstreamLimit&)> on_limit = {};
    /// Time without a complete event after which a stream is given up.
    std::chrono::milliseconds progress_timeout = RelayCall::kProgressTimeout;
    /// Links to the instances that carry out exchanges for this one; null if
    /// there are none.
    peer::PeerTransport* peers = nullptr;
    /// Receives what the other instances should know of the speed of upstreams.
    std::function<void(const schema::UpstreamSpeeds&)> on_speeds = {};
    /// Credit for the requests of organisations with a limit; null if limits
    /// are not enforced.
    QuotaSource* quota = nullptr;
    /// What the instance buffers for callers and upstreams. While it is over
    /// its limit, no request is admitted. Null if nobody counts.
    transport::BufferBudget* buffers = nullptr;
    /// Turns of conversations; null if there is nobody to keep them.
    TurnHistory* history = nullptr;
  };

  explicit Relay(Parts parts, QObject* parent = nullptr);
  ~Relay() override;

  /// Handles a request that was received completely.
  void OnRequest(transport::HttpSession& session,
                 transport::RelayRequest request);

  /// Replaces the routing table if the version of `table` is higher.
  void SetTable(std::shared_ptr<const RouteTable> table);
  /// Refuses calls until there is a table of at least `unusable_version`, which
  /// was committed and cannot be used here: the table before may allow what it
  /// does not.
  void ClearTable(uint64_t unusable_version);
  /// The table in force; null if there is none.
  const std::shared_ptr<const RouteTable>& table() const { return table_; }

  /// Adds or updates an upstream from its entry in the deployment state;
  /// removes it if the entry is marked as gone.
  void SetUpstream(const schema::UpstreamEntry& entry);
  /// Removes every upstream that is not in `known`.
  void RetainUpstreams(const std::set<std::string>& known);
  /// Sets the digests of the poison requests at all grains, which are refused,
  /// and of those that are suspected, whose success is reported.
  void SetPoisonRequests(std::set<uint64_t> digests,
                         std::set<uint64_t> suspected);
  /// Time before the process exits by which every call has ended, so that its
  /// response is sent.
  static constexpr std::chrono::milliseconds kFinalResponseTime{200};

  /// Sets the time by which the process exits. From now on, calls that might
  /// end too late are refused, and their callers retry at another instance. A
  /// call that an upstream was sent is ended in time.
  void SetShutdownDeadline(core::TimePoint deadline);
  /// Sets the number of instances that share the connection limits and request
  /// limits of the upstreams.
  void SetInstanceCount(size_t instances);
  /// Replaces the list of the instances that carry out exchanges with upstreams
  /// that this one cannot reach.
  void SetForwarders(const std::vector<schema::Forwarder>& forwarders);
  /// Takes what other instances read of the speed of upstreams.
  void OnSpeeds(const schema::UpstreamSpeeds& speeds);
  /// Carries out an exchange for another instance.
  void OnForwardRequest(const schema::PeerMessage& message,
                        const peer::Replier& replier);
  /// Carries out no further exchanges for other instances.
  void DrainForwarding() { forward_server_.Drain(); }
  size_t open_forwarded() const { return forward_server_.open_exchanges(); }

  /// Change of a request limit, as a part of it, below which the other
  /// instances are not told: each of them reads it in a response of its own.
  static constexpr double kReportedLimitChange = 0.1;

  /// Interval of looking for suspended upstreams that are due for a check.
  static constexpr std::chrono::milliseconds kCheckInterval{100};
  /// Number of other instances that are asked at a time whether they reach an
  /// upstream, and the time that they get for it: connecting to the upstream
  /// and the way there and back.
  static constexpr size_t kProbes = 3;
  static constexpr std::chrono::milliseconds kProbeTimeout{500};
  /// The same if the upstream must answer: that instance may have to ask
  /// another upstream as well.
  static constexpr std::chrono::milliseconds kAnswerProbeTimeout{1000};
  /// Time since bytes last arrived from any upstream after which this instance
  /// may be partitioned from all of them.
  static constexpr std::chrono::milliseconds kContactTime{300};
  /// Least time between two checks of all upstreams.
  static constexpr std::chrono::milliseconds kSurveyInterval{500};

  /// Sets the gauges of the metrics to their current values.
  void UpdateGauges();
  size_t open_calls() const { return calls_.size(); }
  size_t upstream_count() const { return upstreams_.size(); }

 private:
  struct Upstream {
    schema::UpstreamEntry entry;
    transport::SocketAddress address;
  };

  // CallHost
  const core::Clock& clock() const override { return parts_.clock; }
  std::optional<core::TimePoint> shutdown_deadline() const override {
    return shutdown_deadline_;
  }
  const CallCodec& codec() const override { return parts_.codec; }
  TokenLedger& ledger() override { return parts_.ledger; }
  QuotaSource* quota() override { return parts_.quota; }
  TurnHistory* history() override { return parts_.history; }
  core::Status Enqueue(RelayCall& call) override;
  std::string ProposeVersion(const RelayCall& call) override;
  void Dequeue(RelayCall& call) override;
  void FinishAttempt(RelayCall& call, scheduling::CallOutcome outcome) override;
  uint64_t StartTimeOf(const std::string& upstream) const override;
  std::string VersionOf(const std::string& upstream) const override;
  bool TakeRepeat(const RelayCall& call) override;
  void OnSent(const RelayCall& call) override;
  void OnResponseHead(const RelayCall& call,
                      const ResponseInfo& response) override;
  bool IsDraining(const RelayCall& call) const override;
  std::variant<ExchangeLink*, LinkFailure> OpenLink(
      const RelayCall& call, bool must_be_fresh) override;
  void CloseLink(const RelayCall& call, ExchangeLink* link,
                 const ResponseInfo& response) override;
  void CheckLink(const RelayCall& call,
                 std::function<void(ReachCheck)> on_checked) override;
  void CheckAlive(const std::string& upstream,
                  std::function<void(bool)> on_checked) override;
  void OnWrongUpstream(const std::string& upstream) override;
  void OnConnectionBroken(const RelayCall& call,
                          const std::string& upstream) override;
  void OnDecision(const RelayCall& call, const char* decision,
                  const std::string& reason) override;
  void OnCallEnded(RelayCall& call) override;

  // ForwardHost
  std::variant<UpstreamLink*, schema::ForwardEnd> OpenForwarded(
      const schema::ForwardRequest& request) override;
  void CloseForwarded(const schema::ForwardRequest& request, UpstreamLink* link,
                      const ResponseInfo& response) override;
  void CheckForwarded(
      const schema::ForwardRequest& request,
      std::function<void(schema::ForwardEnd)> on_checked) override;
  /// Within kContactTime.
  bool HadContact() const override;
  void OnForwardedEnded(const schema::ForwardRequest& request,
                        const std::string& origin, schema::ForwardEnd end,
                        const std::string& reason) override;

  /// A request that was sent to an incarnation of an upstream.
  struct ExchangeId {
    std::string upstream;
    uint64_t started_at_ms = 0;
    std::string request_id;

    bool operator==(const ExchangeId&) const = default;
  };

  /// Keeps a connection of this instance for reuse after an exchange if it may
  /// be used again, and closes it otherwise.
  void ReturnLink(const ExchangeId& exchange, bool is_kept, UpstreamLink* link,
                  const ResponseInfo& response);
  /// Names the upstream and its incarnation to another instance.
  static schema::ForwardRequest ForwardRequestFor(const Upstream& upstream);
  /// Opens a link through another instance.
  std::variant<ExchangeLink*, LinkFailure> OpenThroughForwarder(
      const RelayCall& call, const Upstream& upstream, bool must_be_fresh);
  /// Tests whether a connection of this instance to the upstream can be opened;
  /// `on_checked` is never called from within this call. A removed upstream
  /// counts as reachable.
  void CheckDirect(const std::string& upstream,
                   std::function<void(bool)> on_checked);
  /// Finds out whether this instance reaches any upstream but `except`, if it
  /// had no contact within kContactTime; HadContact tells the result then. May
  /// call `on_known` at once.
  void EnsureContact(const std::string& except, std::function<void()> on_known);
  /// What another instance is asked about an upstream.
  enum class Question { kConnection, kAnswer };
  /// Asks `forwarder` whether it reaches the upstream.
  void AskForwarder(const std::string& forwarder, const Upstream& upstream,
                    Question question,
                    std::function<void(ReachCheck)> on_answer);
  /// Tests whether the upstream answers this instance; otherwise as
  /// CheckDirect.
  void CheckAnswer(const std::string& upstream, bool must_be_new,
                   std::function<void(bool)> on_checked);
  /// When this instance last heard the upstream and its zone.
  SilenceWatch::Heard HeardOf(const Upstream& upstream) const;
  /// Whether what was sent to the upstream at `sent_at` is lost on a half-open
  /// path.
  bool IsHalfOpen(const Upstream& upstream, core::TimePoint sent_at) const;
  /// Finds out whether the upstream answers other instances and not this one.
  /// If so, calls go there through others from now on.
  void CheckHalfOpen(const std::string& upstream,
                     std::function<void(bool)> on_known);
  /// Asks other instances which of them gets an answer; `on_found` learns its
  /// id, or an empty one.
  void FindAnswering(const std::string& upstream,
                     const std::function<void(const std::string&)>& on_found);
  void MarkHalfOpen(const std::string& upstream,
                    const std::string& answered_to);
  /// Tells another instance whether the upstream answers this one.
  void AnswerWhetherHeard(const schema::ForwardRequest& request,
                          std::function<void(schema::ForwardEnd)> on_checked);
  /// Asks several other instances whether they reach an upstream that this one
  /// does not reach. If one does, calls go there through others from now on.
  /// `on_answer` is never called from within this call, and learns whether the
  /// upstream may be alive.
  void ProbeForwarders(const std::string& upstream,
                       std::function<void(bool)> on_answer);
  /// `reached_by` is the instance that reached the upstream; empty if none did.
  void OnProbed(const std::string& upstream, const std::string& reached_by,
                bool may_be_alive);
  /// Checks the upstreams for which `includes` is true, as one was found to be
  /// unreachable.
  void SurveyUpstreams(
      const char* reason,
      const std::function<bool(const schema::UpstreamEntry&)>& includes);
  /// Sends no calls to an upstream that a check did not reach until one does.
  void Suspend(const std::string& upstream, const char* reason);
  /// Checks whether upstreams that are reached through others can be reached
  /// directly again.
  void CheckForwardedPaths();
  /// Whether this instance cannot carry out exchanges with the upstream, and
  /// why.
  std::optional<schema::ForwardEnd> ForwardObstacle(
      const schema::ForwardRequest& request) const;
  /// What this instance says of an upstream that it does not reach.
  schema::ForwardEnd UnreachableEnd() const {
    return HadContact() ? schema::FORWARD_END_UNREACHABLE
                        : schema::FORWARD_END_PARTITIONED;
  }
  bool IsDraining(const schema::UpstreamEntry& entry) const;
  /// Takes the request limit of a record if it differs from that of the record
  /// before.
  void TakeRecordedLimit(const schema::UpstreamEntry& before,
                         const schema::UpstreamEntry& entry);
  /// Reports a request limit that differs from the record of the upstream.
  void ReportLimit(const Upstream& upstream, std::optional<double> limit);
  /// The upstream of the call says that it is draining.
  void MarkDraining(const RelayCall& call);
  /// Takes the limit that the upstream of the call names, or that it names
  /// none.
  void UpdateRequestLimit(const RelayCall& call, const ResponseInfo& response);
  /// Takes how long work takes at the upstream of the call, if it says so.
  void TakeSlowdown(const RelayCall& call, const ResponseInfo& response);
  /// Reports the speeds that the other instances do not know.
  void ReportSpeeds();
  /// Refuses a request since the buffers of the instance are full.
  void RefuseForBuffers(transport::HttpSession& session, const CallHead& head);
  /// Describes a call to the scheduler.
  scheduling::CallRequest RequestOf(const RelayCall& call) const;
  /// Passes the state of an upstream to the scheduler.
  void UpdateScheduler(const Upstream& upstream);
  void RemoveUpstream(const std::string& id);
  /// Asks other instances whether they reach the upstream, and starts the
  /// periodic checks of suspended upstreams. If the upstream is in another
  /// zone, also checks the other upstreams of that zone.
  void OnUnreachable(const std::string& upstream);
  void LogUnreachable(const std::string& upstream, const char* reason) const;
  /// Starts the periodic checks of upstreams that are suspended or forwarded.
  void StartChecks();
  /// Checks suspended upstreams and resumes those that are reachable again.
  void CheckSuspended();
  void SchedulePump();
  /// Dispatches the calls that the scheduler releases and refuses those that it
  /// rejects.
  void Pump();
  void LogEnd(const RelayCall& call) const;
  /// Identifies the caller by its key, which is then dropped. Answers the
  /// request and returns nothing if the route requires a key and this one is
  /// not known.
  std::optional<CallOrganisation> Authenticate(transport::HttpSession& session,
                                               const Route& route,
                                               CallHead* head);
  /// Says at which grain a request is refused because it crashes upstreams;
  /// empty if it is not.
  std::string RefusedGrain(
      const transport::RelayRequest& request,
      const std::vector<scheduling::PrefixSegment>& segments);
  int64_t NowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               parts_.clock.Now().time_since_epoch())
        .count();
  }
  /// Reports that a suspected request has succeeded.
  void ReportSuccess(const RelayCall& call);
  /// Number of calls of this instance that run at the upstream.
  size_t RunningCalls(const std::string& upstream) const;
  /// Returns this instance's share of the upstream's connection limit.
  size_t ConnectionLimit(const Upstream& upstream) const;
  /// Whether all connections of this instance's share are in use: its own ones
  /// and those that other instances opened for its calls.
  bool IsAtConnectionLimit(const Upstream& upstream) const;

  Parts parts_;
  std::shared_ptr<const RouteTable> table_;
  /// Tables of this version and lower ones are not taken any more.
  uint64_t table_version_ = 0;
  scheduling::SharedScheduler scheduler_;
  UpstreamLinkPool links_;
  std::map<std::string, Upstream> upstreams_;
  DrainMarks drain_marks_;
  RequestLimits request_limits_;
  scheduling::SpeedReports speed_reports_;
  OrganisationStats organisation_stats_;
  AdmissionLog admission_log_;
  std::map<scheduling::CallId, RelayCall*> scheduled_;
  std::set<RelayCall*> calls_;
  scheduling::CallId next_id_ = 1;
  InstanceCount instances_;
  ForwarderTable forwarders_;
  UpstreamPaths paths_;
  ForwardServer forward_server_;
  /// Exchanges that other instances carry out for this one, by upstream.
  LinkCounter forwarded_links_;
  /// Connections of this instance that carry exchanges of others, by upstream.
  LinkCounter served_links_;
  /// Who waits for the answers of other instances about an upstream.
  std::map<std::string, std::vector<std::function<void(bool)>>> probes_;
  core::TimePoint next_survey_;
  SilenceWatch silence_;
  /// Upstreams whose paths are checked for being half-open.
  std::set<std::string> half_open_checks_;
  core::TimePoint next_half_open_survey_;
  PoisonGuard poison_;
  std::optional<core::TimePoint> shutdown_deadline_;
  bool pump_scheduled_ = false;
  QTimer dispatch_timer_;
  QTimer check_timer_;
  QTimer speed_timer_;
};

}  // namespace hawthorn::relay

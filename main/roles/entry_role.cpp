#include "main/roles/entry_role.h"

#include <utility>

#include "logging/log.h"
#include "platform/configuration_codec.h"
#include "transport/http_status.h"

namespace hawthorn::main {

namespace {

namespace status = transport::status;

using logging::Log;
using logging::LogLevel;

/// Differs between two processes of this instance.
uint64_t IncarnationOf(const core::Clock& clock) {
  return static_cast<uint64_t>(clock.WallNow().time_since_epoch().count());
}

}  // namespace

EntryRole::EntryRole(platform::BootSettings settings, const core::Clock& clock,
                     core::Metrics& metrics, peer::PeerTransport& peers)
    : settings_(std::move(settings)),
      clock_(clock),
      metrics_(metrics),
      peers_(peers),
      client_(settings_.SeedPeers(), std::hash<std::string>{}(settings_.ip),
              clock, metrics, peers,
              [this](const schema::DeploymentUpdate& it) { OnUpdate(it); }),
      quota_(IncarnationOf(clock), clock, metrics, peers),
      turn_links_(peers),
      turns_({clock, metrics, turn_links_, settings_.zone,
              [this](turns::InstanceListCallback callback) {
                client_.ReadInstances(
                    [callback = std::move(callback)](const auto& read) {
                      callback(turns::RecordsOf(read));
                    });
              }}),
      relay_(
          {clock, codec_, client_, metrics, settings_.zone,
           std::hash<std::string>{}(settings_.ip),
           [this](const schema::ReportCrash& it) { client_.ReportCrash(it); },
           [this](uint64_t digest) { client_.ReportSuccess(digest); },
           [this](const std::string& upstream, uint64_t started_at_ms) {
             client_.ReportDraining(upstream, started_at_ms);
           },
           [this](const schema::UpstreamLimit& it) { client_.ReportLimit(it); },
           relay::RelayCall::kProgressTimeout, &peers,
           [this](const schema::UpstreamSpeeds& it) {
             client_.ReportSpeeds(it);
           },
           &quota_, &buffers_, &turns_}),
      callers_([this](transport::HttpSession& session,
                      transport::RelayRequest request) {
        if (!IsReady()) {
          // The caller reconnects, and the platform then picks an instance that
          // is ready.
          session.CloseAfterResponse();
        }
        relay_.OnRequest(session, std::move(request));
      }),
      readiness_([this](transport::HttpSession& session,
                        const transport::RelayRequest&) {
        session.Respond(IsReady() ? status::kOk : status::kServiceUnavailable,
                        {}, "");
      }) {
  QObject::connect(&drain_timer_, &QTimer::timeout, &drain_timer_,
                   [this] { ContinueDrain(); });
}

core::Status EntryRole::Start() {
  callers_.SetBudget(&buffers_);
  core::Status status = callers_.ListenAt(settings_.caller_address);
  if (!core::IsOk(status)) {
    return status;
  }
  peers_.SetHandler(
      [this](const schema::PeerMessage& message, const peer::Replier& replier) {
        if (message.has_forward()) {
          relay_.OnForwardRequest(message, replier);
          return;
        }
        replier.Fail({core::ErrorCode::kInvalidArgument,
                      "an entry instance does not handle this message",
                      core::Execution::kNotRun,
                      {}});
      });
  schema::Forwarder forwarder;
  forwarder.set_zone(settings_.zone);
  forwarder.set_peer_address(settings_.PeerAddress());
  client_.SetForwarder(std::move(forwarder));
  client_.SetVersionInForce(
      [this] { return relay_.table() ? relay_.table()->version() : 0; });
  client_.Start();
  return readiness_.ListenAt(settings_.readiness_address);
}

void EntryRole::AddSeeds(const std::vector<std::string>& seeds) {
  client_.AddSeeds(seeds);
}

bool EntryRole::IsReady() const {
  return !draining_ && relay_.table() != nullptr && table_complete_ &&
         client_.HadContactWithin(kReadyContactLimit);
}

void EntryRole::TakeConfiguration(
    const schema::PublishedConfiguration& committed) {
  const core::TimePoint started = clock_.Now();
  auto [table, findings] = platform::DecodeCommittedConfiguration(
      committed.content(), committed.version());
  const auto decode_time = core::MillisecondsBetween(started, clock_.Now());
  const std::string version = std::to_string(committed.version());
  Log(LogLevel::kInfo, "configuration decoded",
      {{"version", version},
       {"bytes", std::to_string(committed.content().size())},
       {"decode_ms", std::to_string(decode_time.count())}});
  if (table == nullptr) {
    Log(LogLevel::kError, "committed configuration is unreadable",
        {{"version", version}, {"findings", findings.Report()}});
    relay_.ClearTable(committed.version());
    return;
  }
  if (!findings.empty()) {
    metrics_.Count("configurations_in_part");
    Log(LogLevel::kError, "committed configuration is used in part",
        {{"version", version}, {"findings", findings.Report()}});
  }
  const relay::CallerLimits& limits = table->limits();
  callers_.SetLimits({{limits.max_head_bytes, limits.max_body_bytes},
                      limits.head_timeout,
                      limits.idle_timeout});
  quota_.SetLimits(table->version(), table->QuotaLimits());
  relay_.SetTable(std::move(table));
}

void EntryRole::OnUpdate(const schema::DeploymentUpdate& update) {
  if (update.has_configuration()) {
    TakeConfiguration(update.configuration());
  }
  quota_.SetLeader(update.leader());
  if (update.whole_table()) {
    std::set<std::string> known;
    for (const schema::UpstreamEntry& entry : update.upstreams()) {
      known.insert(entry.upstream());
    }
    relay_.RetainUpstreams(known);
    table_complete_ = true;
  }
  for (const schema::UpstreamEntry& entry : update.upstreams()) {
    relay_.SetUpstream(entry);
  }
  if (update.has_harmful()) {
    const schema::HarmfulRequests& it = update.harmful();
    relay_.SetPoisonRequests({it.digests().begin(), it.digests().end()},
                             {it.suspected().begin(), it.suspected().end()});
  }
  if (update.instances_size() > 0) {
    turns_.SetInstances({update.instances().begin(), update.instances().end()});
  }
  relay_.SetInstanceCount(update.watchers());
  if (update.has_speeds()) {
    relay_.OnSpeeds(update.speeds());
  }
  if (update.has_forwarders()) {
    relay_.SetForwarders({update.forwarders().forwarders().begin(),
                          update.forwarders().forwarders().end()});
  }
}

void EntryRole::UpdateGauges() {
  relay_.UpdateGauges();
  client_.UpdateGauges();
  quota_.UpdateGauges();
  turns_.UpdateGauges();
  metrics_.SetGauge("ready", IsReady() ? 1 : 0);
  metrics_.SetGauge("caller_connections",
                    static_cast<double>(callers_.session_count()));
}

void EntryRole::Drain(std::function<void()> on_done) {
  if (std::exchange(draining_, true)) {
    return;
  }
  on_done_ = std::move(on_done);
  drain_started_ = clock_.Now();
  relay_.SetShutdownDeadline(drain_started_ + DrainLimit());
  relay_.DrainForwarding();
  callers_.CloseAfterResponses();
  drain_timer_.start(kDrainPollInterval);
}

void EntryRole::ContinueDrain() {
  const auto elapsed = clock_.Now() - drain_started_;
  if (elapsed < kPlatformRemovalDelay) {
    return;
  }
  callers_.DrainConnections();
  const bool finished =
      callers_.session_count() == 0 && relay_.open_calls() == 0 &&
      relay_.open_forwarded() == 0 && client_.open_settlements() == 0 &&
      client_.open_reports() == 0;
  if (!finished && elapsed < DrainLimit()) {
    return;
  }
  // What connected since the last turn of the event loop is served too.
  callers_.StopListening();
  if (callers_.session_count() > 0 && elapsed < DrainLimit()) {
    return;
  }
  drain_timer_.stop();
  Log(LogLevel::kInfo, "drained",
      {{"open_calls", std::to_string(relay_.open_calls())}});
  on_done_();
}

}  // namespace hawthorn::main

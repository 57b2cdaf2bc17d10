#include "relay/relay.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"
#include "relay/request_digest.h"
#include "transport/http_status.h"

namespace hawthorn::relay {

namespace {

namespace status = transport::status;

/// Connections to one upstream that every instance may open, even if its share
/// of the limit is smaller.
constexpr size_t kMinConnections = 4;
/// Prompt parts in the first turn of a program: the shared prefix and the
/// turn's own part. Later turns have more.
constexpr size_t kFirstTurnParts = 2;

scheduling::SharedScheduler::Settings SettingsOf(const Relay::Parts& parts) {
  scheduling::SharedScheduler::Settings settings;
  settings.zone = core::ZoneId(parts.zone);
  settings.seed = parts.seed;
  return settings;
}

/// Converts a text to a suffix of a metric name. Drops what follows a colon, as
/// it varies from call to call.
std::string MetricSuffix(const std::string& text) {
  std::string word = text.substr(0, text.find(':'));
  std::replace_if(
      word.begin(), word.end(),
      [](unsigned char c) { return std::isalnum(c) == 0; }, '_');
  return word;
}

/// A call whose connection to an upstream broke.
struct BrokenCall {
  std::string request_id;
  std::string program;
  std::string host;
  std::string target;
  std::string target_name;
  std::string upstream;
  /// Start of the upstream, as it announced.
  uint64_t started_at_ms = 0;
  RequestDigests digests;
  core::TimePoint sent_at;
  core::TimePoint at;
  /// Calls of this instance at the upstream, this one included.
  size_t running_calls = 0;
};

void LogBroken(logging::LogLevel level, const char* message,
               const BrokenCall& it) {
  logging::Log(level, message,
               {{"request", it.request_id},
                {"program", it.program},
                {"host", it.host},
                {"target", it.target},
                {"upstream", it.upstream},
                {"started_at_ms", std::to_string(it.started_at_ms)},
                {"digest", std::to_string(it.digests.content)},
                {"running_calls", std::to_string(it.running_calls)}});
}

}  // namespace

Relay::Relay(Parts parts, QObject* parent)
    : QObject(parent),
      parts_(std::move(parts)),
      scheduler_(SettingsOf(parts_)),
      links_(parts_.clock, parts_.buffers, this),
      organisation_stats_(parts_.metrics),
      forwarders_(parts_.zone),
      forward_server_(*this) {
  dispatch_timer_.setSingleShot(true);
  connect(&check_timer_, &QTimer::timeout, this, &Relay::CheckSuspended);
  connect(&dispatch_timer_, &QTimer::timeout, this, &Relay::Pump);
  speed_timer_.setSingleShot(true);
  connect(&speed_timer_, &QTimer::timeout, this, &Relay::ReportSpeeds);
}

Relay::~Relay() = default;

void Relay::SetTable(std::shared_ptr<const RouteTable> table) {
  if (table->version() <= table_version_) {
    return;
  }
  table_ = std::move(table);
  table_version_ = table_->version();
  organisation_stats_.SetOrganisations(table_->organisations());
  for (const auto& [id, upstream] : upstreams_) {
    UpdateScheduler(upstream);
  }
  logging::Log(logging::LogLevel::kInfo, "configuration in force",
               {{"version", std::to_string(table_->version())},
                {"routes", std::to_string(table_->routes().size())}});
  SchedulePump();
}

void Relay::ClearTable(uint64_t unusable_version) {
  if (unusable_version > table_version_) {
    table_.reset();
    table_version_ = unusable_version - 1;
  }
}

void Relay::UpdateGauges() {
  admission_log_.Update(scheduler_.Admissions(parts_.clock.Now()),
                        &parts_.metrics);
  const auto set = [this](const char* name, auto value) {
    parts_.metrics.SetGauge(name, static_cast<double>(value));
  };
  set("open_calls", calls_.size());
  set("queued_calls", scheduler_.queued());
  set("queued_for_memory", scheduler_.lacking_memory());
  set("upstreams_known", upstreams_.size());
  set("upstreams_limited", request_limits_.size());
  set("upstreams_slow", scheduler_.SlowCount(parts_.clock.Now()));
  set("upstreams_unreachable", scheduler_.SuspendedCount());
  set("upstreams_forwarded", paths_.forwarded_count());
  set("forwarders_known", forwarders_.size());
  set("forwarded_exchanges_served", forward_server_.open_exchanges());
  if (parts_.buffers != nullptr) {
    set("buffered_bytes", parts_.buffers->used());
    set("buffered_bytes_peak", parts_.buffers->peak());
  }
  set("upstream_links_idle", links_.TotalIdle());
  set("upstream_links_in_use", links_.TotalInUse());
  set("upstream_links_opened", links_.opened());
  set("configuration_version", table_ ? table_->version() : 0);
}

void Relay::SetPoisonRequests(std::set<uint64_t> digests,
                              std::set<uint64_t> suspected) {
  if (!poison_.SetListed(std::move(digests), std::move(suspected))) {
    return;
  }
  logging::Log(logging::LogLevel::kInfo, "poison requests changed",
               {{"count", std::to_string(poison_.listed())},
                {"suspected", std::to_string(poison_.suspected())}});
}

scheduling::CallRequest Relay::RequestOf(const RelayCall& call) const {
  const CallHead& head = call.head();
  scheduling::CallRequest request;
  request.program = core::ProgramId(head.program);
  request.service_class = call.route().name;
  request.priority = call.route().priority;
  request.service = core::ServiceId(call.service());
  request.prompt_tokens = head.prompt_tokens;
  request.max_output_tokens = head.max_output_tokens;
  request.prefix = call.segments();
  const bool is_turn = !head.prompt_parts.empty();
  request.software_version = call.software_version();
  request.continues_stream = call.ContinuesStream();
  const bool begun = request.continues_stream ? true
                     : is_turn ? head.prompt_parts.size() > kFirstTurnParts
                               : !head.program.empty();
  request.attained_tokens =
      begun ? std::max<int64_t>(1, head.prompt_tokens) : 0;
  request.deadline = call.deadline();
  if (head.program_time_left) {
    request.program_deadline = call.started() + *head.program_time_left;
  }
  request.excluded = call.excluded();
  return request;
}

std::string Relay::ProposeVersion(const RelayCall& call) {
  scheduling::CallRequest request = RequestOf(call);
  request.software_version.reset();
  return scheduler_.ProposeVersion(request, parts_.clock.Now());
}

core::Status Relay::Enqueue(RelayCall& call) {
  // It may have crashed upstreams since it came.
  if (const std::string grain = RefusedGrain(call.request(), call.segments());
      !grain.empty()) {
    return core::Error{core::ErrorCode::kUnavailable,
                       kPoisonReason + (": by its " + grain),
                       core::Execution::kNotRun,
                       {}};
  }
  scheduling::CallRequest request = RequestOf(call);
  request.id = next_id_++;
  core::Status status = scheduler_.Enqueue(request, parts_.clock.Now());
  if (core::IsOk(status)) {
    call.set_schedule_id(request.id);
    scheduled_[request.id] = &call;
    SchedulePump();
  }
  return status;
}

void Relay::Dequeue(RelayCall& call) {
  scheduler_.Cancel(call.schedule_id());
  scheduled_.erase(call.schedule_id());
}

void Relay::FinishAttempt(RelayCall& call, scheduling::CallOutcome outcome) {
  const core::TimePoint now = parts_.clock.Now();
  scheduled_.erase(call.schedule_id());
  scheduling::CallResult result;
  result.call = call.schedule_id();
  result.outcome = outcome;
  result.prompt_tokens = call.head().prompt_tokens;
  result.output_tokens = call.generated_tokens();
  if (!call.segments().empty()) {
    result.produced = call.segments().back();
  }
  scheduler_.OnFinished(result, now);
  if (outcome == scheduling::CallOutcome::kUnreachable) {
    OnUnreachable(call.summary().last_upstream);
  }
  SchedulePump();
}

bool Relay::TakeRepeat(const RelayCall& call) {
  return scheduler_.TakeRepeat(call.schedule_id(), parts_.clock.Now());
}

void Relay::OnSent(const RelayCall& call) {
  if (request_limits_.Of(call.summary().last_upstream,
                         call.upstream_started_at_ms())) {
    parts_.metrics.Count("relay_sent_under_limit");
  }
}

size_t Relay::ConnectionLimit(const Upstream& upstream) const {
  const ServiceSettings* service =
      table_ ? table_->FindService(upstream.entry.service()) : nullptr;
  if (service == nullptr || service->max_connections == 0) {
    return SIZE_MAX;
  }
  return std::max(kMinConnections,
                  service->max_connections / instances_.value());
}

bool Relay::IsAtConnectionLimit(const Upstream& upstream) const {
  const std::string& id = upstream.entry.upstream();
  const size_t limit = ConnectionLimit(upstream);
  if (limit == SIZE_MAX) {
    return false;
  }
  return links_.OpenCount(id) + forwarded_links_.CountOf(id) >=
         limit + served_links_.CountOf(id);
}

std::variant<ExchangeLink*, LinkFailure> Relay::OpenLink(const RelayCall& call,
                                                         bool must_be_fresh) {
  const std::string& id = call.summary().last_upstream;
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end()) {
    return LinkFailure::kUnreachable;
  }
  const bool is_forwarded = paths_.Of(id) == UpstreamPath::kForwarded;
  const bool is_idle = !is_forwarded && links_.IdleCount(id) > 0;
  if (!is_idle && IsAtConnectionLimit(it->second)) {
    parts_.metrics.Count("relay_connection_limit");
    return LinkFailure::kConnectionLimit;
  }
  if (is_forwarded) {
    return OpenThroughForwarder(call, it->second, must_be_fresh);
  }
  return links_.Acquire(id, it->second.address, must_be_fresh,
                        call.head().request_id);
}

void Relay::CloseLink(const RelayCall& call, ExchangeLink* link,
                      const ResponseInfo& response) {
  if (link == nullptr) {
    return;
  }
  const std::string& upstream = call.summary().last_upstream;
  const std::string forwarder = link->forwarder();
  if (!forwarder.empty()) {
    forwarders_.OnEnded(forwarder);
    forwarded_links_.Remove(upstream);
    link->Abandon();
    link->deleteLater();
    return;
  }
  // A link without a forwarder is an own connection.
  ReturnLink({upstream, call.upstream_started_at_ms(), call.head().request_id},
             true, static_cast<UpstreamLink*>(link), response);
}

void Relay::ReturnLink(const ExchangeId& exchange, bool is_kept,
                       UpstreamLink* link, const ResponseInfo& response) {
  const std::string& upstream = exchange.upstream;
  const bool is_current =
      StartTimeOf(upstream) == exchange.started_at_ms &&
      !drain_marks_.Contains(upstream, exchange.started_at_ms);
  if (!transport::IsSuccess(response.status)) {
    link->RememberUnserved(exchange.request_id);
  }
  if (!is_kept || !link->reusable() || !is_current) {
    links_.Discard(upstream, link);
    return;
  }
  links_.Release(
      upstream, link,
      response.idle_timeout.value_or(UpstreamLinkPool::kDefaultIdleTimeout));
}

void Relay::StartChecks() {
  if (!check_timer_.isActive()) {
    check_timer_.start(kCheckInterval);
  }
}

void Relay::OnUnreachable(const std::string& upstream) {
  parts_.metrics.Count("relay_unreachable");
  LogUnreachable(upstream, "a call could not reach it");
  StartChecks();
  ProbeForwarders(upstream, nullptr);
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end() || it->second.entry.zone() == parts_.zone) {
    return;
  }
  // Its whole zone may be unreachable. Without these checks, one call would
  // fail for each upstream of the zone.
  SurveyUpstreams(
      "its zone was checked",
      [zone = it->second.entry.zone()](const schema::UpstreamEntry& other) {
        return other.zone() == zone;
      });
}

void Relay::LogUnreachable(const std::string& upstream,
                           const char* reason) const {
  logging::Log(logging::LogLevel::kWarn, "upstream unreachable",
               {{"upstream", upstream},
                {"reason", reason},
                {"unreachable", std::to_string(scheduler_.SuspendedCount())},
                {"known", std::to_string(upstreams_.size())}});
}

void Relay::CheckSuspended() {
  for (const core::UpstreamId& id : scheduler_.DueChecks(parts_.clock.Now())) {
    // Prevents a second check while this one runs.
    scheduler_.Suspend(id, parts_.clock.Now());
    CheckDirect(id.text(), [this, id](bool reachable) {
      if (!reachable) {
        ProbeForwarders(id.text(), nullptr);
        return;
      }
      paths_.Remove(id.text());
      logging::Log(logging::LogLevel::kInfo, "upstream reachable again",
                   {{"upstream", id.text()}});
      scheduler_.Resume(id);
      SchedulePump();
    });
  }
  CheckForwardedPaths();
  if (!scheduler_.HasSuspended() && paths_.forwarded_count() == 0) {
    check_timer_.stop();
  }
}

void Relay::OnConnectionBroken(const RelayCall& call,
                               const std::string& upstream) {
  if (!parts_.on_crash) {
    return;
  }
  BrokenCall broken;
  broken.request_id = call.head().request_id;
  broken.program = call.head().program;
  broken.host = call.request().host;
  broken.target = call.request().target;
  broken.upstream = upstream;
  broken.started_at_ms = call.upstream_started_at_ms();
  broken.digests = DigestsOf(call.request(), call.segments());
  broken.sent_at = call.sent_at();
  broken.at = parts_.clock.Now();
  broken.target_name = TargetNameOf(call.request());
  broken.running_calls = RunningCalls(upstream);
  CheckAlive(upstream, [this, broken = std::move(broken)](bool alive) {
    if (alive) {
      parts_.metrics.Count("relay_upstream_alive_after_reset");
      LogBroken(logging::LogLevel::kInfo, "upstream alive after a reset",
                broken);
      return;
    }
    parts_.metrics.Count("relay_crashes_seen");
    LogBroken(logging::LogLevel::kWarn, "upstream crashed during a call",
              broken);
    schema::ReportCrash report;
    report.set_fingerprint(broken.digests.content);
    report.set_target_digest(broken.digests.target);
    report.mutable_prefixes()->Add(broken.digests.prefixes.begin(),
                                   broken.digests.prefixes.end());
    report.set_target(broken.target_name);
    report.set_running_together(static_cast<uint32_t>(broken.running_calls));
    report.set_running_ms(
        core::MillisecondsBetween(broken.sent_at, broken.at).count());
    report.set_age_ms(
        core::MillisecondsBetween(broken.at, parts_.clock.Now()).count());
    report.set_upstream(broken.upstream);
    report.set_incarnation(broken.started_at_ms);
    poison_.OnCrash(report, NowMs());
    parts_.on_crash(report);
  });
}

size_t Relay::RunningCalls(const std::string& upstream) const {
  return static_cast<size_t>(std::count_if(
      calls_.begin(), calls_.end(),
      [&](const RelayCall* it) { return it->running_at() == upstream; }));
}

void Relay::OnWrongUpstream(const std::string& upstream) {
  parts_.metrics.Count("relay_wrong_upstream");
  RemoveUpstream(upstream);
}

void Relay::SchedulePump() {
  if (std::exchange(pump_scheduled_, true)) {
    return;
  }
  QMetaObject::invokeMethod(
      this, [this] { Pump(); }, Qt::QueuedConnection);
}

void Relay::Pump() {
  pump_scheduled_ = false;
  const core::TimePoint now = parts_.clock.Now();
  for (const scheduling::Dispatch& it : scheduler_.Next(now)) {
    const auto call = scheduled_.find(it.call);
    if (call != scheduled_.end()) {
      call->second->Dispatch(it.upstream.text());
    }
  }
  for (const scheduling::Refusal& it : scheduler_.TakeRefused(now)) {
    const auto call = scheduled_.find(it.call);
    if (call == scheduled_.end()) {
      continue;
    }
    RelayCall* refused = call->second;
    scheduled_.erase(call);
    refused->RefuseQueued(it.error);
  }
  const auto next = scheduler_.NextWakeUp(now);
  if (!next) {
    dispatch_timer_.stop();
    return;
  }
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - now);
  dispatch_timer_.start(std::max(wait, std::chrono::milliseconds(1)));
}

void Relay::OnDecision(const RelayCall& call, const char* decision,
                       const std::string& reason) {
  parts_.metrics.Count("relay_" + MetricSuffix(decision));
  logging::Log(logging::LogLevel::kWarn, decision,
               {{"request", call.head().request_id},
                {"program", call.head().program},
                {"reason", reason},
                {"upstream", call.summary().last_upstream},
                {"forwarder", call.summary().forwarder},
                {"attempts", std::to_string(call.summary().attempts)},
                {"events", std::to_string(call.summary().events)}});
}

void Relay::OnCallEnded(RelayCall& call) {
  scheduled_.erase(call.schedule_id());
  if (calls_.erase(&call) == 0) {
    return;
  }
  const CallSummary& summary = call.summary();
  parts_.metrics.Count("relay_calls_" + std::to_string(summary.status));
  if (!summary.reason.empty()) {
    parts_.metrics.Count("relay_ended_" + MetricSuffix(summary.reason));
  }
  parts_.metrics.Count("relay_attempts",
                       static_cast<uint64_t>(summary.attempts));
  core::LatencyKey key{core::OrganisationId(call.route().host),
                       call.route().name};
  parts_.metrics.Observe(key, summary.total);
  if (summary.attempts > 0) {
    key.measure = "queue";
    parts_.metrics.Observe(key, summary.queued);
  }
  if (summary.events > 0) {
    key.measure = "first_event";
    parts_.metrics.Observe(key, summary.time_to_first_event);
    key.measure = "longest_pause";
    parts_.metrics.Observe(key, summary.longest_pause);
  }
  organisation_stats_.OnEnded(call.organisation(), summary.status,
                              summary.total, parts_.clock.Now());
  LogEnd(call);
  ReportSuccess(call);
  call.deleteLater();
}

void Relay::ReportSuccess(const RelayCall& call) {
  const CallSummary& summary = call.summary();
  if (!poison_.has_suspects() || !summary.reason.empty() ||
      !transport::IsSuccess(summary.status)) {
    return;
  }
  for (const uint64_t it :
       poison_.OnSuccess(DigestsOf(call.request(), call.segments()))) {
    parts_.metrics.Count("relay_suspects_cleared");
    if (parts_.on_success) {
      parts_.on_success(it);
    }
  }
}

void Relay::LogEnd(const RelayCall& call) const {
  const CallSummary& it = call.summary();
  const bool failed = !it.reason.empty();
  // An organisation over its limit may be refused many times a second;
  // OrganisationStats reports that.
  const bool is_limited = it.status == status::kTooManyRequests && failed;
  logging::Log(
      is_limited ? logging::LogLevel::kDebug
      : failed   ? logging::LogLevel::kWarn
                 : logging::LogLevel::kInfo,
      "call ended",
      {{"request", call.head().request_id},
       {"program", call.head().program},
       {"organisation", call.organisation()},
       {"route", call.route().name},
       {"service", call.service()},
       {"digest", std::to_string(ContentDigestOf(call.request()))},
       {"status", std::to_string(it.status)},
       {"reason", it.reason},
       {"upstream", it.last_upstream},
       {"forwarder", it.forwarder},
       {"version", VersionOf(it.last_upstream)},
       {"resumed_request", call.head().resumed_request},
       {"attempts", std::to_string(it.attempts)},
       {"budget", std::to_string(call.head().token_budget.value_or(-1))},
       {"budget_remaining", std::to_string(it.budget_remaining)},
       {"most_tokens", std::to_string(call.head().max_output_tokens)},
       {"events", std::to_string(it.events)},
       {"queued_ms", std::to_string(it.queued.count())},
       {"first_event_ms", std::to_string(it.time_to_first_event.count())},
       {"longest_pause_ms", std::to_string(it.longest_pause.count())},
       {"total_ms", std::to_string(it.total.count())},
       {"configuration", std::to_string(table_version_)}});
}

}  // namespace hawthorn::relay

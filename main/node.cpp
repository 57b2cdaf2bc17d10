#include "main/node.h"

#include <QJsonArray>
#include <set>
#include <utility>

#include "main/http/json.h"

namespace hawthorn::main {

namespace {

constexpr std::chrono::milliseconds kSyncInterval{50};
constexpr std::chrono::milliseconds kDrainRetryAfter{1000};

template <typename... Visitors>
struct Overload : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overload(Visitors...) -> Overload<Visitors...>;

QString Text(const std::string& text) { return QString::fromStdString(text); }

scheduling::SchedulerSettings SchedulerSettingsOf(
    const schema::Settings& settings) {
  scheduling::SchedulerSettings result;
  result.zone = core::ZoneId(settings.zone());
  if (settings.limits().max_queued_calls() > 0) {
    result.max_queued_calls = settings.limits().max_queued_calls();
  }
  return result;
}

size_t ZoneCount(const schema::Settings& settings) {
  std::set<std::string> zones;
  for (const schema::PeerAddress& it : settings.instances()) {
    zones.insert(it.zone());
  }
  return zones.size();
}

const char* PhaseName(membership::Phase phase) {
  switch (phase) {
    case membership::Phase::kActive:
      return "active";
    case membership::Phase::kLeaving:
      return "leaving";
    case membership::Phase::kGone:
      return "gone";
  }
  return "gone";
}

}  // namespace

Node::Node(Parts parts, const schema::Settings& settings,
           const Secrets& secrets, std::string run)
    : parts_(parts),
      settings_(settings),
      run_(std::move(run)),
      catalog_(std::make_shared<Catalog>(0, schema::Configuration())),
      scheduler_(scheduling::MakeScheduler(SchedulerSettingsOf(settings))) {
  registry_ = std::make_unique<UpstreamRegistry>(parts.directory, *scheduler_);
  const auto catalog = [this] { return catalog_; };
  calls_ = std::make_unique<CallController>(
      CallController::Parts{parts.clock, parts.metrics, parts.groups,
                            *scheduler_, parts.http, parts.upstreams,
                            parts.timers, parts.random},
      run_, ZoneCount(settings), catalog,
      [this](const core::UpstreamId& id) { return registry_->Target(id); });
  callers_ = std::make_unique<CallerApi>(
      CallerApi::Parts{parts.clock, parts.groups, *calls_, parts.http},
      settings.zone(), catalog, parts.random);
  upstream_api_ = std::make_unique<UpstreamApi>(
      UpstreamApi::Parts{parts.clock, parts.directory, *scheduler_, parts.http},
      secrets.upstream_key,
      std::chrono::milliseconds(settings.upstream_lease_ms()), [this] {
        registry_->Sync(parts_.clock.Now());
        calls_->Pump();
      });
  operators_ = std::make_unique<OperatorApi>(parts.http, parts.metrics,
                                             secrets.operator_key,
                                             [this] { return health(); });
  RegisterNodeHandlers();
}

std::string Node::health() const {
  if (draining_) {
    return "draining";
  }
  return ready_ ? "ready" : "starting";
}

void Node::Handle(Event event) {
  std::visit(Overload{[](std::monostate) {},
                      [this](RequestArrived& it) { OnRequest(it.request); },
                      [this](ClientDisconnected& it) {
                        calls_->OnClientDisconnected(it.exchange);
                      },
                      [this](UpstreamChunk& it) {
                        calls_->OnUpstreamChunk(it.attempt, it.bytes);
                      },
                      [this](UpstreamEnded& it) {
                        calls_->OnUpstreamEnded(it.attempt, it.response);
                      },
                      [this](DrainRequested&) { draining_ = true; },
                      // Handled by Instance.
                      [](PeerArrived&) {}, [](PeerReplied&) {},
                      [](JournalWritten&) {}},
             event);
}

void Node::OnRequest(const transport::HttpRequest& request) {
  if (operators_->OnRequest(request) || upstream_api_->OnRequest(request)) {
    return;
  }
  if (draining_ || !ready_) {
    core::Error error = NotRun(core::ErrorCode::kUnavailable,
                               draining_ ? "the instance is shutting down"
                                         : "the instance is starting");
    error.retry_after = kDrainRetryAfter;
    parts_.http.Respond(request.id, StatusOf(error.code), ErrorHeaders(error),
                        ToJson(ErrorObject(error)) + "\n");
    return;
  }
  if (!callers_->OnRequest(request)) {
    const core::Error error =
        NotRun(core::ErrorCode::kNotFound, "no such route");
    parts_.http.Respond(request.id, StatusOf(error.code), ErrorHeaders(error),
                        ToJson(ErrorObject(error)) + "\n");
  }
}

void Node::Tick() {
  const core::TimePoint now = parts_.clock.Now();
  parts_.timers.RunDue(now);
  if (now >= next_sync_) {
    next_sync_ = now + kSyncInterval;
    parts_.directory.Expire(now);
    registry_->Sync(now);
    // A newly known upstream may run calls that are already queued.
    calls_->Pump();
    parts_.metrics.SetGauge("queued_calls",
                            static_cast<double>(scheduler_->queued()));
    parts_.metrics.SetGauge("open_calls",
                            static_cast<double>(calls_->open_calls()));
  }
  const auto wake_up = scheduler_->NextWakeUp(now);
  if (wake_up && *wake_up <= now) {
    calls_->Pump();
  }
}

void Node::SetInstanceCount(size_t instances) {
  scheduler_->SetInstanceCount(instances, parts_.clock.Now());
}

void Node::SetConfiguration(
    const schema::VersionedConfiguration& configuration) {
  if (configuration.revision() <= catalog_->revision()) {
    return;
  }
  catalog_ = std::make_shared<Catalog>(configuration.revision(),
                                       configuration.configuration());
  for (const schema::Service& service :
       configuration.configuration().services()) {
    const auto policy = scheduling::ParsePolicy(
        service.policy().empty() ? "fcfs" : service.policy());
    if (!core::IsOk(policy)) {
      parts_.metrics.Count("unknown_policies");
      continue;
    }
    scheduling::PolicySettings settings = core::Value(policy);
    if (service.latency_weight() > 0) {
      settings.latency_weight = service.latency_weight();
    }
    scheduler_->SetPolicy(core::ServiceId(service.id()), settings,
                          parts_.clock.Now());
  }
  parts_.metrics.SetGauge("configuration_revision",
                          static_cast<double>(configuration.revision()));
}

void Node::RegisterOperatorHandler(const std::string& name,
                                   OperatorApi::Handler handler) {
  operators_->Register(name, std::move(handler));
}

void Node::RegisterNodeHandlers() {
  const auto simple = [this](const std::string& name,
                             QJsonObject (Node::*make)() const) {
    operators_->Register(name, [this, make](const auto&, const auto& reply) {
      reply((this->*make)());
    });
  };
  simple("status", &Node::Status);
  simple("upstreams", &Node::Upstreams);
  simple("metrics", &Node::MetricsObject);
}

QJsonObject Node::Status() const {
  return {{"instance", Text(settings_.instance())},
          {"zone", Text(settings_.zone())},
          {"state", Text(health())},
          {"revision", static_cast<qint64>(catalog_->revision())},
          {"open_calls", static_cast<qint64>(calls_->open_calls())},
          {"running_calls", static_cast<qint64>(calls_->running_calls())},
          {"queued_calls", static_cast<qint64>(scheduler_->queued())},
          {"upstreams", static_cast<qint64>(parts_.directory.All().size())}};
}

QJsonObject Node::Upstreams() const {
  const core::TimePoint now = parts_.clock.Now();
  QJsonArray list;
  for (const membership::UpstreamRecord& it : parts_.directory.All()) {
    list.append(QJsonObject{
        {"upstream", Text(it.upstream.text())},
        {"service", Text(it.service.text())},
        {"zone", Text(it.zone.text())},
        {"address", Text(it.address)},
        {"phase", PhaseName(it.phase)},
        {"takes_work", parts_.directory.IsRoutable(it.upstream, now)},
        {"running", static_cast<qint64>(it.load.running)},
        {"waiting", static_cast<qint64>(it.load.waiting)},
        {"max_running", static_cast<qint64>(it.max_running)},
        {"cached_tokens", static_cast<qint64>(it.load.cached_tokens)}});
  }
  return {{"upstreams", list}};
}

QJsonObject Node::MetricsObject() const {
  QJsonArray list;
  for (const auto& [key, histogram] : parts_.metrics.Histograms()) {
    QJsonArray buckets;
    for (const uint64_t n : histogram.buckets()) {
      buckets.append(static_cast<qint64>(n));
    }
    list.append(QJsonObject{{"organisation", Text(key.organisation.text())},
                            {"class", Text(key.service_class)},
                            {"count", static_cast<qint64>(histogram.count())},
                            {"mean_ms", histogram.mean_ms()},
                            {"p50_ms", histogram.QuantileMs(0.5)},
                            {"p95_ms", histogram.QuantileMs(0.95)},
                            {"p99_ms", histogram.QuantileMs(0.99)},
                            {"max_ms", histogram.max_ms()},
                            {"buckets", buckets}});
  }
  QJsonArray bounds;
  for (const double it : core::Histogram::kBoundsMs) {
    bounds.append(it);
  }
  return {{"bounds_ms", bounds}, {"histograms", list}};
}

}  // namespace hawthorn::main

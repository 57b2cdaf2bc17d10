#include "configuration_history.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <array>

#include "faulty_upstream.h"
#include "traffic.h"

namespace hawthorn::soak {

namespace {

constexpr std::array<const char*, 3> kServices{"llm", "app", "more"};
constexpr int64_t kTimeoutStepMs = 700;

QJsonObject RouteOf(const std::string& name, const char* kind,
                    const RouteRule& rule, int upstreams, double priority) {
  QJsonObject route{{"name", QString::fromStdString(name)},
                    {"host", kHost},
                    {"path_prefix", QString::fromStdString("/" + name + "/")},
                    {"kind", kind},
                    {"timeout_ms", static_cast<double>(rule.timeout_ms)},
                    {"slo_ms", 250},
                    {"priority", priority},
                    {"max_attempts", upstreams},
                    {"retain", false},
                    {"retention_s", 60.0},
                    {"sticky", true},
                    {"resumable", true},
                    {"gap_aim_ms", 150}};
  if (rule.services.size() == 1) {
    route["service"] = QString::fromStdString(*rule.services.begin());
    return route;
  }
  QJsonArray backends;
  for (const std::string& it : rule.services) {
    backends.append(QJsonObject{{"service", QString::fromStdString(it)},
                                {"weight", backends.isEmpty() ? 70 : 30}});
  }
  route["backends"] = backends;
  return route;
}

QJsonObject ServiceOf(const char* name) {
  QJsonObject service{{"name", name},
                      {"health_path", "/health"},
                      {"max_conns", 400},
                      {"protocol", "h1"},
                      {"tls", false}};
  if (std::string(name) == "llm") {
    service["engine"] =
        QJsonObject{{"capacity", 8},
                    {"kv_capacity", 100000},
                    {"tokens_per_event", static_cast<double>(kTokensPerEvent)}};
  }
  return service;
}

RouteRule RuleOf(const char* service) { return {{service}, kDeadlineMs}; }

}  // namespace

std::string ChangedRoute(uint64_t number) {
  return "p" + std::to_string(number % kChangedRoutes);
}

std::string TextOf(const QJsonObject& content) {
  return QJsonDocument(content).toJson(QJsonDocument::Compact).toStdString();
}

bool SentConfiguration::Allows(const std::string& route,
                               const RouteEffect& effect) const {
  const auto it = routes.find(route);
  if (it == routes.end()) {
    return effect.service.empty();
  }
  return it->second.services.contains(effect.service) &&
         effect.time_left_ms <= it->second.timeout_ms;
}

void ConfigurationHistory::ChangeRoutes() {
  const auto any_service = [this] {
    return std::string(kServices[random_() % kServices.size()]);
  };
  const auto any_timeout = [this] {
    return kTimeoutStepMs * static_cast<int64_t>(1 + random_() % 4);
  };
  for (uint64_t changes = 1 + random_() % 3; changes > 0; --changes) {
    const std::string name = ChangedRoute(random_());
    const uint64_t kind = random_() % 8;
    if (kind < 3 && routes_.contains(name)) {
      routes_.erase(name);
    } else if (kind == 3) {
      routes_[name] = {{"llm", "app"}, any_timeout()};
    } else if (kind == 4 && routes_.contains(name)) {
      routes_[name].timeout_ms = any_timeout();
    } else {
      routes_[name] = {{any_service()}, any_timeout()};
    }
  }
}

QJsonObject ConfigurationHistory::ContentOf(
    uint64_t version, const std::map<std::string, RouteRule>& routes) {
  QJsonArray list{RouteOf("turn", "stream", RuleOf("llm"), 1, 0),
                  RouteOf("once", "non_idempotent", RuleOf("app"), 1, 0),
                  RouteOf("read", "idempotent", RuleOf("app"), 2, 0)};
  QJsonArray services{ServiceOf("llm"), ServiceOf("app")};
  bool more = false;
  for (const auto& [name, rule] : routes) {
    list.append(RouteOf(name, "idempotent", rule, 2, 0));
    more = more || rule.services.contains("more");
  }
  if (more) {
    services.append(ServiceOf("more"));
  }
  return {{"version", static_cast<double>(version)},
          {"routes", list},
          {"services", services},
          {"limits", QJsonObject{{"max_header_bytes", 16384},
                                 {"max_body_bytes", 4194304},
                                 {"header_timeout_ms", 3000},
                                 {"idle_timeout_ms", 15000}}}};
}

SentConfiguration& ConfigurationHistory::MakeChange() {
  const uint64_t version = next_version_;
  // Versions rise in uneven steps.
  next_version_ += 1 + random_() % 3;
  if (!sent_.empty()) {
    ChangeRoutes();
  }
  SentConfiguration& it = sent_[version];
  it.version = version;
  it.routes = routes_;
  it.content = ContentOf(version, routes_);
  it.sent_at = findings_.Now();
  return it;
}

std::string ConfigurationHistory::MakeInvalid() {
  // The version would be in force. Valid changes take it later.
  const uint64_t version = next_version_ + random_() % 2;
  std::map<std::string, RouteRule> routes = routes_;
  routes[kInvalidRoute] = RuleOf("app");
  QJsonObject content = ContentOf(version, routes);
  QJsonArray list = content["routes"].toArray();
  const auto n =
      static_cast<qsizetype>(random_() % static_cast<uint64_t>(list.size()));
  QJsonObject route = list[n].toObject();
  switch (random_() % 5) {
    case 0: {
      const std::string text = TextOf(content);
      return text.substr(0, text.size() - 1 - random_() % (text.size() / 2));
    }
    case 1:
      route.remove("backends");
      route["service"] = "nowhere";
      break;
    case 2:
      route["name"] = "twice";
      list.append(route);
      break;
    case 3:
      route.remove("service");
      route["backends"] =
          QJsonArray{QJsonObject{{"service", "app"}, {"weight", 0}},
                     QJsonObject{{"service", "llm"}, {"weight", 0}}};
      break;
    default:
      route["timeout_ms"] = 0;
  }
  list[n] = route;
  content["routes"] = list;
  return TextOf(content);
}

std::string ConfigurationHistory::MakeOther(uint64_t version) {
  std::map<std::string, RouteRule> routes = sent_[version].routes;
  routes[kOtherRoute] = RuleOf("app");
  return TextOf(ContentOf(version, routes));
}

uint64_t ConfigurationHistory::HighestAcknowledged(int64_t before,
                                                   int64_t after) const {
  uint64_t highest = 0;
  for (const auto& [version, it] : sent_) {
    if (it.acknowledged_at &&
        *it.acknowledged_at<before&& * it.acknowledged_at> after) {
      highest = version;
    }
  }
  return highest;
}

std::optional<uint64_t> ConfigurationHistory::LowestAllowing(
    uint64_t floor, const std::string& route, const RouteEffect& effect) const {
  for (auto it = sent_.lower_bound(floor); it != sent_.end(); ++it) {
    if (it->second.Allows(route, effect)) {
      return it->first;
    }
  }
  return std::nullopt;
}

}  // namespace hawthorn::soak

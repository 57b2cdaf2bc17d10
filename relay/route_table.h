#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Routes and services of one version of the configuration.
namespace hawthorn::relay {

/// What may be repeated.
enum class CallKind {
  kIdempotent,
  kNonIdempotent,
  /// A series of events; idempotent only if it may be resumed.
  kStream,
};

struct WeightedService {
  std::string service;
  uint32_t weight = 1;

  auto operator<=>(const WeightedService&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  CallKind kind = CallKind::kNonIdempotent;
  /// Longest time that a call may wait for its answer.
  std::chrono::milliseconds timeout{0};
  /// Time to the answer, or to the first event, that users expect.
  std::chrono::milliseconds latency_objective{0};
  /// 0 is the most urgent.
  uint32_t priority = 0;
  std::vector<WeightedService> services;
  /// Upstreams that may run one attempt of a caller.
  uint32_t max_upstreams = 1;
  bool resumable = false;

  /// Whether a call may run more than once.
  bool IsRetryable() const {
    return kind == CallKind::kIdempotent ||
           (kind == CallKind::kStream && resumable);
  }
  bool operator==(const Route&) const = default;
};

/// Engine behind a service.
struct EngineSettings {
  uint32_t max_running = 0;
  int64_t cache_tokens = 0;
  /// Tokens in each event of a stream.
  int64_t tokens_per_event = 1;

  auto operator<=>(const EngineSettings&) const = default;
};

struct ServiceSettings {
  std::string name;
  /// Connections that one upstream accepts from all instances together.
  uint32_t max_connections = 0;
  std::optional<EngineSettings> engine;

  auto operator<=>(const ServiceSettings&) const = default;
};

/// What callers may send.
struct CallerLimits {
  size_t max_head_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{4} * 1024 * 1024;
  std::chrono::milliseconds head_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};

  auto operator<=>(const CallerLimits&) const = default;
};

/// Immutable table of one version.
class RouteTable {
 public:
  class Builder;

  uint64_t version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const std::map<std::string, ServiceSettings>& services() const {
    return services_;
  }
  const std::vector<Route>& routes() const { return routes_; }
  const ServiceSettings* FindService(const std::string& name) const;
  /// Route of `host` with the longest prefix of the path; null if none.
  const Route* Find(std::string_view host, std::string_view target) const;
  /// Service that a call with this key goes to, by the route's weights.
  static const std::string& PickService(const Route& route,
                                        std::string_view key);

  bool operator==(const RouteTable&) const = default;

 private:
  uint64_t version_ = 0;
  CallerLimits limits_;
  std::vector<Route> routes_;
  std::map<std::string, ServiceSettings> services_;
};

/// Collects the parts of a table.
class RouteTable::Builder {
 public:
  Builder& SetVersion(uint64_t version);
  Builder& SetLimits(const CallerLimits& limits);
  Builder& AddRoute(Route route);
  Builder& AddService(ServiceSettings service);
  std::shared_ptr<const RouteTable> Build();

 private:
  RouteTable table_;
};

}  // namespace hawthorn::relay

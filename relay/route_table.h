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

#include "relay/organisation.h"

// Routes and services of one configuration version.
namespace hawthorn::relay {

/// Whether and how a call may be retried.
enum class CallKind {
  kIdempotent,
  kNonIdempotent,
  /// Response is a stream of events; may be retried only if resumable.
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
  /// Maximum time that a call may take.
  std::chrono::milliseconds timeout{0};
  /// Target for the time to the response, or to the first event of a stream.
  std::chrono::milliseconds latency_objective{0};
  /// 0 is the highest priority.
  uint32_t priority = 0;
  /// Empty if this build cannot use the route; its calls are refused.
  std::vector<WeightedService> services;
  /// Maximum number of upstreams that may run one request of a caller.
  uint32_t max_upstreams = 1;
  /// Whether a stream can be resumed after a given event.
  bool resumable = false;
  /// Whether callers need no key.
  bool is_public = false;
  /// Whether a turn carries only its new input, and what came before it is kept
  /// for it.
  bool retains_turns = false;
  /// How long a turn is kept with all turns before it.
  std::chrono::milliseconds retention{0};

  /// Whether a call may be run more than once.
  bool IsRetryable() const {
    return kind == CallKind::kIdempotent ||
           (kind == CallKind::kStream && resumable);
  }
  bool operator==(const Route&) const = default;
};

/// Settings of the model engine behind a service.
struct EngineSettings {
  uint32_t max_running = 0;
  int64_t cache_tokens = 0;
  /// Tokens in each event of a stream.
  int64_t tokens_per_event = 1;

  auto operator<=>(const EngineSettings&) const = default;
};

struct ServiceSettings {
  std::string name;
  /// Connections that one upstream accepts from all instances together; 0 is
  /// no limit.
  uint32_t max_connections = 0;
  std::optional<EngineSettings> engine;

  auto operator<=>(const ServiceSettings&) const = default;
};

/// Limits of requests and connections from callers.
struct CallerLimits {
  size_t max_head_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{4} * 1024 * 1024;
  std::chrono::milliseconds head_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};

  auto operator<=>(const CallerLimits&) const = default;
};

/// Immutable routing table of one configuration version.
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
  /// Whether callers belong to organisations, so that routes that are not
  /// public require a key.
  bool has_organisations() const { return organisations_.has_value(); }
  /// Returns the organisation whose key this is, or null.
  const Organisation* FindOrganisation(std::string_view key) const {
    return organisations_ ? organisations_->Find(key) : nullptr;
  }
  /// Returns the organisations; null if the configuration has none.
  const OrganisationTable* organisations() const {
    return organisations_ ? &*organisations_ : nullptr;
  }
  /// Request limits of the organisations that have one.
  scheduling::QuotaLimits QuotaLimits() const {
    return organisations_ ? organisations_->Limits()
                          : scheduling::QuotaLimits();
  }
  /// Returns the route of `host` with the longest matching path prefix, or
  /// null.
  const Route* Find(std::string_view host, std::string_view target) const;
  /// Selects the service of a call by the route's weights. Calls with the same
  /// key get the same service.
  static const std::string& PickService(const Route& route,
                                        std::string_view key);

  bool operator==(const RouteTable&) const = default;

 private:
  uint64_t version_ = 0;
  CallerLimits limits_;
  std::vector<Route> routes_;
  std::map<std::string, ServiceSettings> services_;
  std::optional<OrganisationTable> organisations_;
};

/// Builds a RouteTable.
class RouteTable::Builder {
 public:
  Builder& SetVersion(uint64_t version);
  Builder& SetLimits(const CallerLimits& limits);
  Builder& AddRoute(Route route);
  Builder& AddService(ServiceSettings service);
  Builder& SetOrganisations(OrganisationTable organisations);
  std::shared_ptr<const RouteTable> Build();

 private:
  RouteTable table_;
};

}  // namespace hawthorn::relay

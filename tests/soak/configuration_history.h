#pragma once

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "findings.h"

namespace hawthorn::soak {

/// What a configuration says of a route: its services, and its timeout.
struct RouteRule {
  std::set<std::string> services;
  int64_t timeout_ms = 0;
};

/// A configuration as it was sent.
struct SentConfiguration {
  uint64_t version = 0;
  QJsonObject content;
  std::map<std::string, RouteRule> routes;
  /// Times of the first send and of the first acknowledgement.
  int64_t sent_at = 0;
  std::optional<int64_t> acknowledged_at;

  bool Allows(const std::string& route, const RouteEffect& effect) const;
};

/// Routes that changes concern, beside those of the callers.
inline constexpr int kChangedRoutes = 6;
std::string ChangedRoute(uint64_t number);
/// Routes that only invalid configurations, other content under a version that
/// is held, or no configuration at all contains.
inline constexpr const char* kInvalidRoute = "invalid";
inline constexpr const char* kOtherRoute = "other";
inline constexpr const char* kUnknownRoute = "unknown";

/// Makes configurations of every kind, and remembers the valid ones.
class ConfigurationHistory {
 public:
  ConfigurationHistory(Findings& findings, uint64_t seed)
      : findings_(findings), random_(seed) {}

  /// A valid change under a higher version than all before. It is remembered.
  SentConfiguration& MakeChange();
  /// A configuration that must be refused, as text.
  std::string MakeInvalid();
  /// Other content under `version`, as text.
  std::string MakeOther(uint64_t version);

  std::map<uint64_t, SentConfiguration>& sent() { return sent_; }
  const std::map<uint64_t, SentConfiguration>& sent() const { return sent_; }
  /// Highest version acknowledged after `after` and before `before`; 0 if
  /// none was.
  uint64_t HighestAcknowledged(int64_t before, int64_t after = -1) const;
  /// Lowest version from `floor` on that was sent and allows what was seen.
  std::optional<uint64_t> LowestAllowing(uint64_t floor,
                                         const std::string& route,
                                         const RouteEffect& effect) const;

 private:
  void ChangeRoutes();
  QJsonObject ContentOf(uint64_t version,
                        const std::map<std::string, RouteRule>& routes);

  Findings& findings_;
  std::mt19937_64 random_;
  uint64_t next_version_ = 1;
  std::map<std::string, RouteRule> routes_;
  std::map<uint64_t, SentConfiguration> sent_;
};

std::string TextOf(const QJsonObject& content);

}  // namespace hawthorn::soak

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"

namespace hawthorn::relay {

/// An instance that carries out exchanges for others.
struct ForwarderInfo {
  std::string instance;
  std::string zone;

  auto operator<=>(const ForwarderInfo&) const = default;
};

/// The instances that this one may ask to carry out exchanges, and which of
/// them is the best choice. Deterministic; `now` must never decrease.
class ForwarderTable {
 public:
  /// Time for which an instance that failed is not asked again if others are
  /// left.
  static constexpr std::chrono::milliseconds kFailureTime{1000};
  /// Time for which an instance counts as proven after a success.
  static constexpr std::chrono::milliseconds kProvenTime{2000};
  /// Time for which an instance is kept that the group no longer lists: a new
  /// leader hears of the instances one after the other.
  static constexpr std::chrono::milliseconds kRetention{10000};
  /// Cost of an instance that was not proven, and of one in another zone, in
  /// open exchanges.
  static constexpr int64_t kUnprovenCost = 4;
  static constexpr int64_t kOtherZoneCost = 1;

  explicit ForwarderTable(std::string zone) : zone_(std::move(zone)) {}

  /// Replaces the list. Returns the instances that are dropped.
  std::vector<std::string> Set(const std::vector<ForwarderInfo>& listed,
                               core::TimePoint now);
  /// Instance to carry out the next exchange. Instances in `excluded` and those
  /// that failed recently are passed over; nullopt if none is left.
  std::optional<std::string> Choose(const std::set<std::string>& excluded,
                                    core::TimePoint now) const;
  /// Up to `count` different instances to ask whether they reach an upstream:
  /// first the proven ones, then those that were asked least recently,
  /// alternating between the own zone and others.
  std::vector<std::string> ChooseProbes(size_t count, core::TimePoint now);

  void OnStarted(const std::string& instance);
  void OnEnded(const std::string& instance);
  /// The instance reached an upstream.
  void OnSuccess(const std::string& instance, core::TimePoint now);
  /// The instance did not respond, refused or cannot reach upstreams itself.
  void OnFailure(const std::string& instance, core::TimePoint now);

  size_t size() const { return forwarders_.size(); }
  bool empty() const { return forwarders_.empty(); }

 private:
  struct Forwarder {
    std::string zone;
    /// Absent while the group lists the instance.
    std::optional<core::TimePoint> unlisted_since;
    std::optional<core::TimePoint> failed_at;
    std::optional<core::TimePoint> succeeded_at;
    int64_t open = 0;
    uint64_t last_probe = 0;
  };

  static bool IsProven(const Forwarder& it, core::TimePoint now);
  static bool HasFailed(const Forwarder& it, core::TimePoint now);

  std::string zone_;
  std::map<std::string, Forwarder> forwarders_;
  uint64_t probes_ = 0;
};

}  // namespace hawthorn::relay

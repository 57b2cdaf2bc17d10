#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/id.h"

namespace hawthorn::scheduling {

/// Parameters of the placement.
struct PlacementSettings {
  /// Maximum number of loads that the weight store serves at the same time.
  size_t concurrent_loads = 1;
  /// Number of replicas, usually a fraction, by which a model must fall short
  /// of or exceed its demand before a replica moves.
  double hysteresis = 0.5;
  /// Time for which the shortage must last before a replica moves.
  std::chrono::seconds dwell{30};
  /// Minimum time for which a model stays where it was loaded.
  std::chrono::seconds min_residence{120};

  bool operator==(const PlacementSettings&) const = default;
};

/// Order to load a model or adapter, if necessary in place of another one.
struct LoadOrder {
  core::UpstreamId upstream;
  std::string model;
  /// Model to unload for it; empty if the upstream has a free slot.
  std::string replaces;

  bool operator==(const LoadOrder&) const = default;
};

/// Decides which upstreams of one service load which models. Replicas are
/// proportional to demand, with hysteresis, and concurrent loads are limited to
/// what the weight store can serve. Each upstream has at most one order at a
/// time. Deterministic; no I/O.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(const PlacementSettings& settings)
      : settings_(settings) {}

  /// Adds an upstream or updates its list of loaded models. `slots` is the
  /// number of models that fit.
  void SetUpstream(const core::UpstreamId& upstream,
                   const std::vector<std::string>& models, size_t slots,
                   core::TimePoint now);
  void RemoveUpstream(const core::UpstreamId& upstream);
  /// Records demand for a model, in tokens.
  void OnDemand(const std::string& model, double tokens, core::TimePoint now);
  /// Orders to send now. Each counts as in progress until OnOrderEnded.
  std::vector<LoadOrder> Plan(core::TimePoint now);
  /// Ends the order of an upstream; `loaded` is true if the model was loaded.
  void OnOrderEnded(const core::UpstreamId& upstream, bool loaded,
                    core::TimePoint now);

  /// Number of loads in progress.
  size_t loading() const;

 private:
  struct Upstream {
    /// Loaded models, each with the time since which it has been loaded.
    std::map<std::string, core::TimePoint> models;
    size_t slots = 1;
    std::optional<LoadOrder> order;
  };
  struct Demand {
    double tokens = 0;
    core::TimePoint updated;
    /// Time since which the model has had too few replicas.
    std::optional<core::TimePoint> shortage_since;
  };

  std::map<std::string, double> WantedReplicas(core::TimePoint now) const;
  std::map<std::string, double> Replicas() const;
  std::optional<LoadOrder> FindRoom(
      const std::string& model, const std::map<std::string, double>& wanted,
      const std::map<std::string, double>& replicas, core::TimePoint now) const;

  PlacementSettings settings_;
  std::map<core::UpstreamId, Upstream> upstreams_;
  std::map<std::string, Demand> demands_;
};

}  // namespace hawthorn::scheduling

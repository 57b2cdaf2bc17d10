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

/// Bounds of the placement.
struct PlacementSettings {
  /// Loads that the weight store serves at once.
  size_t concurrent_loads = 1;
  /// Part of an upstream's worth of demand by which a model must lack or
  /// exceed its replicas before one moves.
  double hysteresis = 0.5;
  /// Time for which the lack must last.
  std::chrono::seconds dwell{30};
  /// Least time that a model stays where it was loaded.
  std::chrono::seconds residence{120};

  bool operator==(const PlacementSettings&) const = default;
};

/// Order to load a model or adapter in place of another one.
struct LoadOrder {
  core::UpstreamId upstream;
  std::string model;
  /// Model that makes room; empty if there is room.
  std::string replaces;

  bool operator==(const LoadOrder&) const = default;
};

/// Decides which upstreams of one service hold which models: replicas in
/// proportion to demand, with hysteresis and within the rate of the weight
/// store. Each upstream has one order at a time. Deterministic; no I/O.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(const PlacementSettings& settings)
      : settings_(settings) {}

  /// Adds an upstream, or takes a new list of what it holds. `slots` is the
  /// number of models that fit.
  void SetUpstream(const core::UpstreamId& upstream,
                   const std::vector<std::string>& models, size_t slots,
                   core::TimePoint now);
  void RemoveUpstream(const core::UpstreamId& upstream);
  /// Counts work for a model, in tokens.
  void OnDemand(const std::string& model, double tokens, core::TimePoint now);
  /// Orders to give now. Each counts as under way until OnOrderEnded.
  std::vector<LoadOrder> Plan(core::TimePoint now);
  /// Ends the order of an upstream; `loaded` tells whether it was carried out.
  void OnOrderEnded(const core::UpstreamId& upstream, bool loaded,
                    core::TimePoint now);

  /// Loads under way.
  size_t loading() const;

 private:
  struct Upstream {
    /// Model and the time from which it is there.
    std::map<std::string, core::TimePoint> models;
    size_t slots = 1;
    std::optional<LoadOrder> order;
  };
  struct Demand {
    double tokens = 0;
    core::TimePoint updated;
    /// Time from which replicas have been lacking.
    std::optional<core::TimePoint> lacks_since;
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

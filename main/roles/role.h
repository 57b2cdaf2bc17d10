#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/error.h"

namespace hawthorn::main {

/// Function of a process on its machine: entry or control.
class Role {
 public:
  virtual ~Role() = default;

  /// Starts serving. An error ends the process.
  virtual core::Status Start() = 0;
  /// Adds the peer addresses of reloaded settings.
  virtual void AddSeeds(const std::vector<std::string>& seeds) = 0;
  /// Sets the gauges of the metrics to their current values.
  virtual void UpdateGauges() = 0;
  /// Shuts down gracefully: every request that was read gets a response.
  /// `on_done` is called once, asynchronously.
  virtual void Drain(std::function<void()> on_done) = 0;
};

}  // namespace hawthorn::main

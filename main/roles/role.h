#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/error.h"

namespace hawthorn::main {

/// What a process does on its machine.
class Role {
 public:
  virtual ~Role() = default;

  /// Starts to serve. An error ends the process.
  virtual core::Status Start() = 0;
  /// Takes peer addresses that the settings name now.
  virtual void AddSeeds(const std::vector<std::string>& seeds) = 0;
  /// Sets the gauges of the metrics to what holds now.
  virtual void UpdateGauges() = 0;
  /// Ends in order: nothing that was read stays unanswered. `on_done` is
  /// called once, never inside this call.
  virtual void Drain(std::function<void()> on_done) = 0;
};

}  // namespace hawthorn::main

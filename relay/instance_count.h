#pragma once

#include <chrono>
#include <cstddef>

#include "core/clock.h"

namespace hawthorn::relay {

/// Number of instances that share the limits of the upstreams. It rises at once
/// and falls only after it has been lower for a while: a leader that was just
/// elected, or an instance that restarts, has not heard of all others yet.
class InstanceCount {
 public:
  /// Time for which the number must be lower until it falls.
  static constexpr std::chrono::seconds kHold{10};

  /// Takes a reported number; 0 means that it is unknown. Returns whether the
  /// value changed.
  bool Update(size_t instances, core::TimePoint now);
  size_t value() const { return value_; }

 private:
  size_t value_ = 1;
  /// Highest number since it became lower than value_; 0 if it is not lower.
  size_t lower_ = 0;
  core::TimePoint lower_since_;
};

}  // namespace hawthorn::relay

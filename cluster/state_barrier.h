#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <optional>

#include "core/clock.h"
#include "core/error.h"

namespace hawthorn::cluster {

/// Lets reads of the local state wait until it includes everything that the
/// group had committed when they began.
class StateBarrier {
 public:
  using Callback = std::function<void(const core::Status&)>;

  /// Time after which a wait fails. Below one second, after which callers try
  /// another instance.
  static constexpr std::chrono::milliseconds kTimeout{700};

  /// Adds a wait that began at `now`.
  void Add(core::TimePoint now, Callback callback);
  /// Ends the waits that began by `current_as_of`, the time up to which the
  /// state is known to be complete, and those that exceed kTimeout.
  void Update(std::optional<core::TimePoint> current_as_of,
              core::TimePoint now);

 private:
  struct Wait {
    core::TimePoint started_at;
    Callback callback;
  };

  std::list<Wait> waits_;
};

}  // namespace hawthorn::cluster

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/clock.h"

namespace hawthorn::main {

/// Delayed actions of the decision thread. Not thread-safe.
class Timers {
 public:
  using Action = std::function<void()>;

  /// Schedules `action` to run at `when` or shortly after.
  void At(core::TimePoint when, Action action) {
    actions_.emplace(when, std::move(action));
  }

  /// Runs every action that is due.
  void RunDue(core::TimePoint now) {
    while (!actions_.empty() && actions_.begin()->first <= now) {
      const Action action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
  }

  /// Time of the next action, if any.
  std::optional<core::TimePoint> Next() const {
    if (actions_.empty()) {
      return std::nullopt;
    }
    return actions_.begin()->first;
  }

 private:
  std::multimap<core::TimePoint, Action> actions_;
};

}  // namespace hawthorn::main

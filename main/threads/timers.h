#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/clock.h"

namespace hawthorn::main {

/// Actions that the thread of decisions runs later. Not thread-safe.
class Timers {
 public:
  using Action = std::function<void()>;

  /// Runs `action` at `when` or soon after.
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

  /// Time of the next action, if there is one.
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

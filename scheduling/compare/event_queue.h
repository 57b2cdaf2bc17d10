#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace hawthorn::scheduling::compare {

/// Queue of actions ordered by time; actions with the same time keep the order
/// in which they were added.
class EventQueue {
 public:
  using Action = std::function<void()>;

  void At(core::TimePoint time, Action action) {
    events_.push({time, next_++, std::move(action)});
  }

  bool empty() const { return events_.empty(); }
  core::TimePoint next_time() const { return events_.top().time; }

  /// Removes the next action and returns it with its time.
  std::pair<core::TimePoint, Action> Pop() {
    Event event = events_.top();
    events_.pop();
    return {event.time, std::move(event.action)};
  }

 private:
  struct Event {
    core::TimePoint time;
    uint64_t order;
    Action action;
    bool operator<(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };

  std::priority_queue<Event> events_;
  uint64_t next_ = 0;
};

}  // namespace hawthorn::scheduling::compare

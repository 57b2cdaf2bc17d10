#include "cluster/state_barrier.h"

#include <iterator>
#include <utility>

#include "cluster/errors.h"

namespace hawthorn::cluster {

void StateBarrier::Add(core::TimePoint now, Callback callback) {
  waits_.push_back({now, std::move(callback)});
}

void StateBarrier::Update(std::optional<core::TimePoint> current_as_of,
                          core::TimePoint now) {
  // A callback may add waits.
  std::list<Wait> ended;
  for (auto it = waits_.begin(); it != waits_.end();) {
    const auto next = std::next(it);
    const bool is_current = current_as_of && it->started_at <= *current_as_of;
    if (is_current || now - it->started_at >= kTimeout) {
      ended.splice(ended.end(), waits_, it);
    }
    it = next;
  }
  for (const Wait& it : ended) {
    if (current_as_of && it.started_at <= *current_as_of) {
      it.callback(std::monostate{});
    } else {
      it.callback(Unavailable("the local state may be behind"));
    }
  }
}

}  // namespace hawthorn::cluster

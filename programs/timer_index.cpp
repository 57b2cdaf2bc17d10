#include "programs/timer_index.h"

namespace hawthorn::programs {

void TimerIndex::Set(uint64_t key, int64_t due_ms) {
  const auto it = due_.find(key);
  if (it != due_.end()) {
    if (it->second == due_ms) {
      return;
    }
    order_.erase({it->second, key});
    due_.erase(it);
  }
  if (due_ms == kNever) {
    return;
  }
  due_.emplace(key, due_ms);
  order_.emplace(due_ms, key);
}

std::optional<uint64_t> TimerIndex::PopDue(int64_t now_ms) {
  if (order_.empty() || order_.begin()->first > now_ms) {
    return std::nullopt;
  }
  const uint64_t key = order_.begin()->second;
  order_.erase(order_.begin());
  due_.erase(key);
  return key;
}

}  // namespace hawthorn::programs

#include "turns/repair_queue.h"

namespace hawthorn::turns {

void RepairQueue::Add(const TurnKey& key, core::TimePoint due) {
  const auto [it, added] = numbers_.emplace(key, next_);
  if (added) {
    waiting_.emplace(next_++, Entry{key, due});
  }
}

void RepairQueue::Remove(const TurnKey& key) {
  const auto it = numbers_.find(key);
  if (it != numbers_.end()) {
    waiting_.erase(it->second);
    numbers_.erase(it);
  }
}

std::vector<TurnKey> RepairQueue::Next(core::TimePoint now, size_t max) {
  std::vector<TurnKey> keys;
  auto it = waiting_.upper_bound(cursor_);
  for (size_t seen = 0; seen < waiting_.size() && keys.size() < max; ++seen) {
    if (it == waiting_.end()) {
      it = waiting_.begin();
    }
    cursor_ = it->first;
    if (it->second.due <= now) {
      keys.push_back(it->second.key);
    }
    ++it;
  }
  return keys;
}

}  // namespace hawthorn::turns

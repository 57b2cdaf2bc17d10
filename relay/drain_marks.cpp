#include "relay/drain_marks.h"

namespace hawthorn::relay {

bool DrainMarks::Add(const std::string& upstream, uint64_t started_at_ms) {
  const auto [it, added] = marks_.try_emplace(upstream, started_at_ms);
  if (!added) {
    if (it->second >= started_at_ms) {
      return false;
    }
    it->second = started_at_ms;
    return true;
  }
  order_.push_back(upstream);
  if (order_.size() > kMaxMarks) {
    marks_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

bool DrainMarks::Contains(const std::string& upstream,
                          uint64_t started_at_ms) const {
  const auto it = marks_.find(upstream);
  return it != marks_.end() && it->second == started_at_ms;
}

}  // namespace hawthorn::relay

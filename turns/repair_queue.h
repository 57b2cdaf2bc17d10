#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "turns/turn_key.h"

namespace hawthorn::turns {

/// Turns whose copies are to be checked, in the order in which they were added.
class RepairQueue {
 public:
  /// Adds a turn unless it waits already.
  void Add(const TurnKey& key, core::TimePoint due);
  void Remove(const TurnKey& key);
  /// The next turns that are due. Starts after the last one returned and goes
  /// round, so that turns that cannot be placed do not hold up the others.
  std::vector<TurnKey> Next(core::TimePoint now, size_t max);

  /// Number for the turns added from now on.
  uint64_t mark() const { return next_; }
  /// Whether no turn waits that was added before `mark`.
  bool IsDoneBefore(uint64_t mark) const {
    return waiting_.empty() || waiting_.begin()->first >= mark;
  }
  size_t size() const { return waiting_.size(); }

 private:
  struct Entry {
    TurnKey key;
    core::TimePoint due;
  };

  uint64_t next_ = 1;
  uint64_t cursor_ = 0;
  std::map<uint64_t, Entry> waiting_;
  std::unordered_map<TurnKey, uint64_t, TurnKeyHash> numbers_;
};

}  // namespace hawthorn::turns

#pragma once

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <limits>
#include <optional>

namespace hawthorn::programs {

/// Deadlines by key, one for each, in milliseconds of wall time. Due deadlines
/// are found without a scan of the others.
class TimerIndex {
 public:
  /// Stands for no deadline.
  static constexpr int64_t kNever = std::numeric_limits<int64_t>::max();

  /// Sets the deadline of `key`; kNever removes it.
  void Set(uint64_t key, int64_t due_ms);

  /// Removes and returns a key whose deadline is at or before `now_ms`, the
  /// earliest first.
  std::optional<uint64_t> PopDue(int64_t now_ms);

  /// Earliest deadline; std::nullopt if there is none.
  std::optional<int64_t> Earliest() const {
    if (order_.empty()) {
      return std::nullopt;
    }
    return order_.begin()->first;
  }

  size_t size() const { return due_.size(); }

 private:
  absl::btree_set<std::pair<int64_t, uint64_t>> order_;
  absl::flat_hash_map<uint64_t, int64_t> due_;
};

}  // namespace hawthorn::programs

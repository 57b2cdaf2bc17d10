#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace hawthorn::relay {

/// Incarnations of upstreams that said in a response that they are draining.
/// Kept apart from the table of upstreams, since a record of the table can be
/// older than the response, and be removed and added again.
class DrainMarks {
 public:
  /// Maximum number of upstreams; beyond it, the oldest mark is dropped. More
  /// than leave a deployment in the time that one of them takes to exit.
  static constexpr size_t kMaxMarks = 4096;

  /// Marks an incarnation, named by its start time. Returns false if it or a
  /// later one of the upstream is marked already.
  bool Add(const std::string& upstream, uint64_t started_at_ms);
  bool Contains(const std::string& upstream, uint64_t started_at_ms) const;
  size_t size() const { return marks_.size(); }

 private:
  std::map<std::string, uint64_t> marks_;
  /// Upstreams in the order of their first mark.
  std::deque<std::string> order_;
};

}  // namespace hawthorn::relay

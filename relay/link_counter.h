#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace hawthorn::relay {

/// Number of links to each upstream.
class LinkCounter {
 public:
  void Add(const std::string& upstream) { ++counts_[upstream]; }
  /// Does nothing if no link is counted.
  void Remove(const std::string& upstream) {
    const auto it = counts_.find(upstream);
    if (it != counts_.end() && --it->second == 0) {
      counts_.erase(it);
    }
  }
  size_t CountOf(const std::string& upstream) const {
    const auto it = counts_.find(upstream);
    return it == counts_.end() ? 0 : it->second;
  }

 private:
  std::map<std::string, size_t> counts_;
};

}  // namespace hawthorn::relay

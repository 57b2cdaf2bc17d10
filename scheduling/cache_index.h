#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduling/upstream.h"

namespace hawthorn::scheduling {

/// What the engines of a pool hold, as far as this instance knows: from their
/// numbered cache events, from listings, and from calls that ended there.
class CacheIndex {
 public:
  /// Prefixes remembered for one engine; the oldest are forgotten first.
  static constexpr size_t kMaxPrefixes = 8192;

  /// Takes an event of `upstream`; reports a gap in the numbers.
  CacheSync Apply(size_t upstream, const CacheEvent& event);
  /// Replaces all that is known of `upstream`.
  void Replace(size_t upstream, const CacheListing& listing);
  /// Notes that `upstream` holds `prefix`.
  void Insert(size_t upstream, const PrefixSegment& prefix);
  void Erase(size_t upstream, uint64_t hash);
  void Remove(size_t upstream);

  /// Upstreams that hold the prefix `hash`.
  const std::vector<size_t>& Holders(uint64_t hash) const;
  /// Tokens of the longest of `prefix` that `upstream` holds.
  int64_t CachedTokens(size_t upstream,
                       const std::vector<PrefixSegment>& prefix) const;

 private:
  struct Entry {
    int64_t tokens = 0;
    std::list<uint64_t>::iterator order;
  };
  struct Engine {
    std::unordered_map<uint64_t, Entry> prefixes;
    /// Oldest first.
    std::list<uint64_t> order;
    uint64_t sequence = 0;
    bool needs_listing = false;
  };

  std::unordered_map<size_t, Engine> engines_;
  std::unordered_map<uint64_t, std::vector<size_t>> holders_;
};

}  // namespace hawthorn::scheduling

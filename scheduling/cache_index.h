#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduling/upstream.h"

namespace hawthorn::scheduling {

/// Index of the prefixes that the engines of a pool have cached, as far as this
/// instance knows. It is built from the engines' numbered cache events, from
/// full listings, and from calls that ended there.
class CacheIndex {
 public:
  /// Maximum number of prefixes kept for one engine; the least recently used
  /// are removed first.
  static constexpr size_t kMaxPrefixes = 8192;

  /// Applies an event of `upstream`; reports a gap in the sequence numbers.
  CacheSync Apply(size_t upstream, const CacheEvent& event);
  /// Replaces all prefixes known for `upstream` by those of the listing.
  void Replace(size_t upstream, const CacheListing& listing);
  /// Records that `upstream` has cached `prefix`.
  void Insert(size_t upstream, const PrefixSegment& prefix);
  void Erase(size_t upstream, uint64_t hash);
  void Remove(size_t upstream);

  /// Upstreams that have cached the prefix `hash`.
  const std::vector<size_t>& Holders(uint64_t hash) const;
  /// Length in tokens of the longest prefix in `prefix` that `upstream` has
  /// cached; 0 if there is none.
  int64_t CachedTokens(size_t upstream,
                       const std::vector<PrefixSegment>& prefix) const;

 private:
  struct Entry {
    int64_t tokens = 0;
    std::list<uint64_t>::iterator order;
  };
  struct Engine {
    std::unordered_map<uint64_t, Entry> prefixes;
    /// Least recently used first.
    std::list<uint64_t> order;
    uint64_t sequence = 0;
    bool needs_listing = false;
  };

  std::unordered_map<size_t, Engine> engines_;
  std::unordered_map<uint64_t, std::vector<size_t>> holders_;
};

}  // namespace hawthorn::scheduling

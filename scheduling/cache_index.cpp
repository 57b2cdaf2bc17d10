#include "scheduling/cache_index.h"

#include <algorithm>

namespace hawthorn::scheduling {

CacheSync CacheIndex::Apply(size_t upstream, const CacheEvent& event) {
  Engine& engine = engines_[upstream];
  if (event.sequence <= engine.sequence) {
    return CacheSync::kIgnored;
  }
  if (event.sequence != engine.sequence + 1 || engine.needs_listing) {
    engine.needs_listing = true;
    return CacheSync::kNeedsListing;
  }
  engine.sequence = event.sequence;
  if (event.stored) {
    Insert(upstream, event.prefix);
  } else {
    Erase(upstream, event.prefix.hash);
  }
  return CacheSync::kApplied;
}

void CacheIndex::Replace(size_t upstream, const CacheListing& listing) {
  Remove(upstream);
  Engine& engine = engines_[upstream];
  engine.sequence = listing.sequence;
  for (const PrefixSegment& prefix : listing.prefixes) {
    Insert(upstream, prefix);
  }
}

void CacheIndex::Insert(size_t upstream, const PrefixSegment& prefix) {
  Engine& engine = engines_[upstream];
  const auto [it, added] = engine.prefixes.try_emplace(prefix.hash);
  if (!added) {
    engine.order.splice(engine.order.end(), engine.order, it->second.order);
    return;
  }
  engine.order.push_back(prefix.hash);
  it->second = {prefix.tokens, std::prev(engine.order.end())};
  holders_[prefix.hash].push_back(upstream);
  if (engine.prefixes.size() > kMaxPrefixes) {
    Erase(upstream, engine.order.front());
  }
}

void CacheIndex::Erase(size_t upstream, uint64_t hash) {
  const auto engine = engines_.find(upstream);
  if (engine == engines_.end()) {
    return;
  }
  const auto it = engine->second.prefixes.find(hash);
  if (it == engine->second.prefixes.end()) {
    return;
  }
  engine->second.order.erase(it->second.order);
  engine->second.prefixes.erase(it);
  const auto holders = holders_.find(hash);
  std::erase(holders->second, upstream);
  if (holders->second.empty()) {
    holders_.erase(holders);
  }
}

void CacheIndex::Remove(size_t upstream) {
  const auto it = engines_.find(upstream);
  if (it == engines_.end()) {
    return;
  }
  const std::list<uint64_t> hashes = it->second.order;
  for (const uint64_t hash : hashes) {
    Erase(upstream, hash);
  }
  engines_.erase(upstream);
}

const std::vector<size_t>& CacheIndex::Holders(uint64_t hash) const {
  static const std::vector<size_t> kNone;
  const auto it = holders_.find(hash);
  return it == holders_.end() ? kNone : it->second;
}

int64_t CacheIndex::CachedTokens(
    size_t upstream, const std::vector<PrefixSegment>& prefix) const {
  const auto engine = engines_.find(upstream);
  if (engine == engines_.end()) {
    return 0;
  }
  for (auto it = prefix.rbegin(); it != prefix.rend(); ++it) {
    if (engine->second.prefixes.contains(it->hash)) {
      return it->tokens;
    }
  }
  return 0;
}

}  // namespace hawthorn::scheduling

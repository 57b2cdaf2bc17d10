#include "turns/turn_index.h"

#include <algorithm>
#include <utility>

namespace hawthorn::turns {

namespace {

/// A segment is sparse if its live bytes times this are less than its size.
constexpr uint64_t kSparseDivisor = 4;

}  // namespace

void TurnIndex::Count(const RecordLocation& location) {
  SegmentUse& use = segments_[location.segment];
  use.live += location.size;
  use.total =
      std::max(use.total, uint64_t{location.offset} + uint64_t{location.size});
  live_bytes_ += location.size;
}

void TurnIndex::Uncount(const RecordLocation& location) {
  const auto it = segments_.find(location.segment);
  if (it != segments_.end()) {
    it->second.live -= std::min<uint64_t>(it->second.live, location.size);
  }
  live_bytes_ -= std::min<uint64_t>(live_bytes_, location.size);
}

TurnIndex::Added TurnIndex::Add(TurnMeta meta) {
  const auto known = turns_.find(meta.key);
  if (known != turns_.end()) {
    // The copy on the disk that is not used counts as dead space.
    SegmentUse& use = segments_[meta.location.segment];
    use.total = std::max(use.total, uint64_t{meta.location.offset} +
                                        uint64_t{meta.location.size});
    if (known->second.content_hash != meta.content_hash) {
      return Added::kConflict;
    }
    Touch(meta.key, meta.expires);
    return Added::kSame;
  }
  const auto awaited = awaited_.find(meta.key);
  if (awaited != awaited_.end()) {
    meta.expires = std::max(meta.expires, awaited->second);
    awaited_.erase(awaited);
  }
  const TurnKey key = meta.key;
  const core::TimePoint expires = meta.expires;
  Count(meta.location);
  // Touch stops at a turn that is kept long enough, so this one starts earlier.
  meta.expires = core::TimePoint::min();
  turns_.emplace(key, std::move(meta));
  Touch(key, expires);
  return Added::kNew;
}

const TurnMeta* TurnIndex::Find(const TurnKey& key) const {
  const auto it = turns_.find(key);
  return it == turns_.end() ? nullptr : &it->second;
}

void TurnIndex::Touch(const TurnKey& key, core::TimePoint expires) {
  TurnKey current = key;
  for (size_t i = 0; i < kMaxChain; ++i) {
    const auto it = turns_.find(current);
    if (it == turns_.end()) {
      core::TimePoint& awaited = awaited_[current];
      awaited = std::max(awaited, expires);
      return;
    }
    if (it->second.expires >= expires) {
      return;
    }
    it->second.expires = expires;
    if (!it->second.has_previous) {
      return;
    }
    current = it->second.previous;
  }
}

std::vector<const TurnMeta*> TurnIndex::Chain(const TurnKey& key) const {
  std::vector<const TurnMeta*> chain;
  const TurnMeta* it = Find(key);
  while (it != nullptr && chain.size() < kMaxChain) {
    chain.push_back(it);
    it = it->has_previous ? Find(it->previous) : nullptr;
  }
  return chain;
}

std::optional<TurnKey> TurnIndex::FirstMissing(const TurnKey& key) const {
  const std::vector<const TurnMeta*> chain = Chain(key);
  if (chain.empty()) {
    return key;
  }
  const TurnMeta& oldest = *chain.back();
  return oldest.has_previous && chain.size() < kMaxChain
             ? std::optional(oldest.previous)
             : std::nullopt;
}

void TurnIndex::Move(const TurnKey& key, const RecordLocation& from,
                     const RecordLocation& to) {
  const auto it = turns_.find(key);
  if (it == turns_.end() || it->second.location != from) {
    return;
  }
  Uncount(from);
  it->second.location = to;
  Count(to);
}

std::vector<TurnKey> TurnIndex::Expire(core::TimePoint now) {
  std::vector<TurnKey> expired;
  for (auto it = turns_.begin(); it != turns_.end();) {
    if (it->second.expires > now) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    Uncount(it->second.location);
    it = turns_.erase(it);
  }
  std::erase_if(awaited_, [now](const auto& it) { return it.second <= now; });
  return expired;
}

std::vector<TurnKey> TurnIndex::KeysByChain() const {
  std::vector<std::pair<uint64_t, TurnKey>> sorted;
  sorted.reserve(turns_.size());
  for (const auto& [key, meta] : turns_) {
    sorted.emplace_back(meta.place.hash, key);
  }
  std::sort(sorted.begin(), sorted.end());
  std::vector<TurnKey> keys;
  keys.reserve(sorted.size());
  for (const auto& [hash, key] : sorted) {
    keys.push_back(key);
  }
  return keys;
}

std::vector<uint32_t> TurnIndex::TakeEmptySegments(uint32_t active) {
  std::vector<uint32_t> empty;
  for (auto it = segments_.begin();
       it != segments_.end() && it->first < active;) {
    if (it->second.live > 0) {
      ++it;
      continue;
    }
    empty.push_back(it->first);
    it = segments_.erase(it);
  }
  return empty;
}

std::optional<uint32_t> TurnIndex::SparseSegment(uint32_t active) const {
  for (const auto& [segment, use] : segments_) {
    if (segment < active && use.live > 0 &&
        use.live * kSparseDivisor < use.total) {
      return segment;
    }
  }
  return std::nullopt;
}

std::vector<TurnMeta> TurnIndex::TurnsIn(uint32_t segment) const {
  std::vector<TurnMeta> found;
  for (const auto& [key, meta] : turns_) {
    if (meta.location.segment == segment) {
      found.push_back(meta);
    }
  }
  return found;
}

}  // namespace hawthorn::turns

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "turns/placement.h"
#include "turns/turn_key.h"

namespace hawthorn::turns {

/// Where a record is on the disk, with its header.
struct RecordLocation {
  uint32_t segment = 0;
  uint32_t offset = 0;
  uint32_t size = 0;

  auto operator<=>(const RecordLocation&) const = default;
};

/// What the index knows of a turn.
struct TurnMeta {
  TurnKey key;
  TurnKey previous;
  bool has_previous = false;
  uint64_t content_hash = 0;
  ChainPlace place;
  std::chrono::milliseconds retention{0};
  RecordLocation location;
  /// Never before the expiry of a turn that continues this one.
  core::TimePoint expires;
};

/// The turns on the disk of one instance, without their texts. Keeps every turn
/// as long as any known turn that continues it.
class TurnIndex {
 public:
  /// Longest chain that is followed, against records that form a ring.
  static constexpr size_t kMaxChain = 4096;

  enum class Added {
    kNew,
    /// The same turn was there already.
    kSame,
    /// Another turn with the same id was there already; it is kept.
    kConflict,
  };

  /// Adds a turn; one that is there already expires no earlier than the new
  /// one.
  Added Add(TurnMeta meta);
  const TurnMeta* Find(const TurnKey& key) const;
  /// Keeps a turn and all turns before it until `expires` at least.
  void Touch(const TurnKey& key, core::TimePoint expires);
  /// The turn and those before it up to the first that is missing, the newest
  /// first.
  std::vector<const TurnMeta*> Chain(const TurnKey& key) const;
  /// The first turn that is missing in the chain that ends with `key`.
  std::optional<TurnKey> FirstMissing(const TurnKey& key) const;
  /// Records that a record was moved.
  void Move(const TurnKey& key, const RecordLocation& from,
            const RecordLocation& to);
  /// Removes what has expired and returns its keys.
  std::vector<TurnKey> Expire(core::TimePoint now);
  /// All keys, those of one chain next to each other.
  std::vector<TurnKey> KeysByChain() const;

  size_t size() const { return turns_.size(); }
  uint64_t live_bytes() const { return live_bytes_; }
  /// Segments before `active` without a live record. They are forgotten.
  std::vector<uint32_t> TakeEmptySegments(uint32_t active);
  /// A segment before `active` whose live records are fewer than a quarter of
  /// its bytes.
  std::optional<uint32_t> SparseSegment(uint32_t active) const;
  std::vector<TurnMeta> TurnsIn(uint32_t segment) const;

 private:
  struct SegmentUse {
    uint64_t live = 0;
    uint64_t total = 0;
  };

  void Count(const RecordLocation& location);
  void Uncount(const RecordLocation& location);

  std::unordered_map<TurnKey, TurnMeta, TurnKeyHash> turns_;
  /// Latest expiry of the turns that continue one that is not here.
  std::unordered_map<TurnKey, core::TimePoint, TurnKeyHash> awaited_;
  std::map<uint32_t, SegmentUse> segments_;
  uint64_t live_bytes_ = 0;
};

}  // namespace hawthorn::turns

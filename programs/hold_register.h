#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "ledger.pb.h"

namespace hawthorn::programs {

/// Sum over holds.
struct HoldTotals {
  size_t holds = 0;
  int64_t tokens = 0;

  auto operator<=>(const HoldTotals&) const = default;
};

/// Engine memory that is held for programs. A hold that nobody needs any more
/// stays listed until the engine confirmed its release, its listing lacks it or
/// the upstream is gone.
class HoldRegister {
 public:
  /// Records or renews a hold. Verdicts: accepted; conflict if the hold belongs
  /// to another program; invalid.
  schema::LedgerReply Acquire(const schema::AcquireHold& acquire);

  /// Records a hold that nobody needs, for an owner that is gone.
  void AddUnowned(const schema::AcquireHold& acquire);

  /// Drops a hold that the engine released. Recorded if there was none.
  schema::LedgerReply Release(const schema::ReleaseHold& release);

  /// Marks all holds of a program for release.
  void ReleaseAllOf(const std::string& organisation,
                    const std::string& program);

  /// Marks the holds whose lease ends at or before `now_ms` for release.
  void Expire(int64_t now_ms);

  /// Applies the next event of an engine; a gap asks for its listing.
  schema::LedgerReply Apply(const schema::CacheEvent& event);

  /// Aligns the holds of an upstream with its own listing.
  schema::LedgerReply Apply(const schema::ReconcileHolds& listing);

  /// Drops all holds of an upstream.
  void Apply(const schema::UpstreamLost& lost);

  /// Holds that their engines are to release.
  std::vector<schema::Hold> ToRelease() const;

  /// Holds of a program that are not to be released.
  std::vector<schema::Hold> HoldsOf(const std::string& organisation,
                                    const std::string& program) const;

  /// Upstreams whose listing is needed because events are missing.
  std::vector<std::string> UpstreamsWithGap() const;

  HoldTotals held() const { return held_; }
  HoldTotals to_release() const { return to_release_; }

  void WriteTo(schema::LedgerSnapshot* snapshot) const;
  void ReadFrom(const schema::LedgerSnapshot& snapshot);

 private:
  using Key = std::pair<std::string, std::string>;

  struct Upstream {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    bool gap = false;
  };

  void Insert(const schema::Hold& hold);
  void Erase(const Key& key);
  void MarkForRelease(const Key& key);
  std::vector<Key> KeysOf(const std::string& upstream) const;

  absl::btree_map<Key, schema::Hold> holds_;
  absl::btree_map<Key, absl::btree_set<Key>> by_owner_;
  absl::btree_set<std::pair<int64_t, Key>> by_lease_;
  absl::btree_set<Key> marked_;
  absl::btree_map<std::string, Upstream> upstreams_;
  HoldTotals held_;
  HoldTotals to_release_;
};

}  // namespace hawthorn::programs

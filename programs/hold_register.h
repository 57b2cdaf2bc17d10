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

/// Number of holds and the sum of their tokens.
struct HoldTotals {
  size_t holds = 0;
  int64_t tokens = 0;

  auto operator<=>(const HoldTotals&) const = default;
};

/// Cached prefixes that engines hold for programs. A hold that is no longer
/// needed stays in the register until the engine confirms its release, the
/// engine's listing lacks it, or the upstream is lost.
class HoldRegister {
 public:
  /// Records or renews a hold. Verdicts: accepted; conflict if the hold belongs
  /// to another program; expired if it is marked for release.
  schema::LedgerReply Acquire(const schema::AcquireHold& acquire);

  /// Records a hold whose program has ended or does not exist, marked for
  /// release.
  void AddUnowned(const schema::AcquireHold& acquire);

  /// Removes a hold that the engine released. Verdict: recorded if there is no
  /// such hold.
  schema::LedgerReply Release(const schema::ReleaseHold& release);

  /// Marks all holds of a program for release.
  void ReleaseAllOf(const std::string& organisation,
                    const std::string& program);

  /// Marks the holds whose lease ends at or before `now_ms` for release.
  void Expire(int64_t now_ms);

  /// Applies an engine's next event. If events are missing, the reply asks for
  /// the engine's listing of holds.
  schema::LedgerReply Apply(const schema::CacheEvent& event);

  /// Reconciles the holds of an upstream with the engine's listing.
  schema::LedgerReply Apply(const schema::ReconcileHolds& listing);

  /// Removes all holds of an upstream.
  void Apply(const schema::UpstreamLost& lost);

  /// Holds that are marked for release by their engines.
  std::vector<schema::Hold> ToRelease() const;

  /// Holds of a program that are not marked for release.
  std::vector<schema::Hold> HoldsOf(const std::string& organisation,
                                    const std::string& program) const;

  /// Upstreams with missing events, whose listing is needed.
  std::vector<std::string> UpstreamsWithGap() const;

  HoldTotals held() const { return held_; }
  HoldTotals to_release() const { return to_release_; }

  void WriteTo(schema::LedgerSnapshot* snapshot) const;
  void ReadFrom(const schema::LedgerSnapshot& snapshot);

 private:
  /// Upstream and hold, or organisation and program.
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
  absl::btree_set<Key> marked_for_release_;
  absl::btree_map<std::string, Upstream> upstreams_;
  HoldTotals held_;
  HoldTotals to_release_;
};

}  // namespace hawthorn::programs

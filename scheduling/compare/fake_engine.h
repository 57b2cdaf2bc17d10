#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "scheduling/call.h"
#include "scheduling/upstream.h"

namespace hawthorn::scheduling::compare {

/// Speed and memory of one engine.
struct EngineSettings {
  uint32_t max_running = 16;
  /// Size of the KV memory in tokens, for running requests and cached prefixes.
  int64_t cache_tokens = 120000;
  std::chrono::nanoseconds step_base = std::chrono::milliseconds(18);
  std::chrono::nanoseconds step_per_sequence = std::chrono::microseconds(700);
  std::chrono::nanoseconds prefill_per_token = std::chrono::microseconds(120);
  /// Maximum number of prompt tokens that one step prefills.
  int64_t chunk_tokens = 1024;
  /// Time to import one token of an exported prefix.
  std::chrono::nanoseconds import_per_token = std::chrono::microseconds(20);

  bool operator==(const EngineSettings&) const = default;
};

/// A request to an engine.
struct EngineRequest {
  CallId call = 0;
  std::vector<PrefixSegment> prefix;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  /// Prefix to cache when the call ends; hash 0 for none.
  PrefixSegment produced;
};

/// A request that has ended.
struct EngineDone {
  CallId call = 0;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  int64_t output_tokens = 0;
  std::optional<PrefixSegment> produced;
};

/// Wasted cache; see docs/measurements/scheduling.md.
struct CacheWaste {
  /// Sum over removed prefixes of their tokens times the seconds from their
  /// last use to their removal.
  double idle_token_seconds = 0;
  /// Tokens that were prefilled although an engine had cached them before.
  int64_t prefilled_again = 0;

  bool operator==(const CacheWaste&) const = default;
};

/// Simulates a model engine with continuous batching, chunked prefill and a
/// prefix cache of limited size with least recently used eviction. It admits
/// requests in the order of arrival, without priorities. The caller drives it
/// step by step: BeginStep returns the end of the step, and the caller calls
/// EndStep at that time.
class FakeEngine {
 public:
  explicit FakeEngine(const EngineSettings& settings) : settings_(settings) {}

  void Submit(const EngineRequest& request, core::TimePoint now);
  /// Begins a step if there is work and no step is in progress. Returns its
  /// end.
  std::optional<core::TimePoint> BeginStep(core::TimePoint now);
  /// Ends the current step and returns the requests that ended with it.
  std::vector<EngineDone> EndStep(core::TimePoint now);
  /// Discards all requests and the cache, as a crash does. Returns the
  /// discarded requests.
  std::vector<CallId> Crash(core::TimePoint now);
  /// Multiplies the length of each step.
  void SetSlowdown(double factor) { slowdown_ = factor; }

  void Pin(uint64_t hash, core::TimePoint until);
  /// Moves a prefix out of the cache. Importing it later is cheaper than
  /// prefilling it.
  void Export(const PrefixSegment& prefix, core::TimePoint now);
  void Drop(uint64_t hash, core::TimePoint now);

  /// Cache events since the last call.
  std::vector<CacheEvent> TakeEvents();
  CacheListing Listing() const;
  uint32_t running() const { return static_cast<uint32_t>(running_.size()); }
  uint32_t waiting() const { return static_cast<uint32_t>(waiting_.size()); }
  int64_t cached_tokens() const { return cached_tokens_; }
  /// Waste so far. Prefixes that are still cached count as if removed at `now`.
  CacheWaste Waste(core::TimePoint now) const;
  const EngineSettings& settings() const { return settings_; }

 private:
  struct Entry {
    PrefixSegment prefix;
    /// Tokens of memory that this entry takes in addition to the shared prefix.
    int64_t tokens = 0;
    core::TimePoint last_use;
    core::TimePoint pinned_until;
    uint32_t users = 0;
    std::list<uint64_t>::iterator order;
  };
  struct Sequence {
    EngineRequest request;
    int64_t cached_tokens = 0;
    int64_t prefill_left = 0;
    int64_t output_left = 0;
    int64_t memory = 0;
    std::vector<uint64_t> locked;
    std::chrono::nanoseconds import_left{0};
  };

  void Admit(core::TimePoint now);
  bool TryAdmit(const EngineRequest& request, core::TimePoint now);
  bool MakeRoom(int64_t tokens, core::TimePoint now);
  void Remove(uint64_t hash, core::TimePoint now);
  void Store(const PrefixSegment& prefix, int64_t tokens, core::TimePoint now);
  void Touch(Entry& entry, core::TimePoint now);
  void StoreShared(const Sequence& sequence, core::TimePoint now);
  void Finish(Sequence& sequence, core::TimePoint now,
              std::vector<EngineDone>& done);
  void Emit(bool stored, const PrefixSegment& prefix);

  EngineSettings settings_;
  std::deque<EngineRequest> waiting_;
  std::vector<Sequence> running_;
  std::unordered_map<uint64_t, Entry> cache_;
  /// Least recently used first.
  std::list<uint64_t> order_;
  std::set<uint64_t> exported_;
  int64_t cached_tokens_ = 0;
  int64_t running_tokens_ = 0;
  bool stepping_ = false;
  double slowdown_ = 1;
  CacheWaste waste_;
  std::vector<CacheEvent> events_;
  uint64_t sequence_ = 0;
};

}  // namespace hawthorn::scheduling::compare

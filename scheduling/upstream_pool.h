#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/id.h"
#include "scheduling/cache_index.h"
#include "scheduling/outlier_detector.h"
#include "scheduling/policy.h"
#include "scheduling/reliability_router.h"
#include "scheduling/upstream.h"
#include "scheduling/window_controller.h"

namespace hawthorn::scheduling {

/// Upstream chosen for a call.
struct Placement {
  size_t slot = 0;
  bool crosses_zone = false;
  int64_t cached_tokens = 0;

  bool operator==(const Placement&) const = default;
};

/// The upstreams of one service with their windows, health and caches. Those
/// with room are indexed by load, so that the cost of a choice is logarithmic
/// in their number.
class UpstreamPool {
 public:
  /// Time in which a new or readmitted upstream reaches its full window.
  static constexpr std::chrono::seconds kSlowStart{10};
  /// Minimum fraction of the window during slow start.
  static constexpr double kSlowStartFloor = 0.2;
  /// Load above which an upstream of another zone gets no spilled calls, as a
  /// fraction of its window. Spilled calls are those that cross zones.
  static constexpr double kSpillLoad = 0.8;

  explicit UpstreamPool(core::ZoneId zone);

  void Set(const UpstreamState& state, core::TimePoint now);
  void Remove(const core::UpstreamId& upstream, core::TimePoint now);
  void OnReport(const core::UpstreamId& upstream, const LoadReport& report,
                core::TimePoint now);
  CacheSync OnCacheEvent(const core::UpstreamId& upstream,
                         const CacheEvent& event);
  void OnCacheListing(const core::UpstreamId& upstream,
                      const CacheListing& listing);
  void SetInstanceCount(size_t instances, core::TimePoint now);
  void SetHealthControl(HealthControl control, core::TimePoint now);

  /// Advances timers to `now`: slow starts, ejections and reliability control.
  void Advance(core::TimePoint now);
  std::optional<core::TimePoint> NextEvent() const;

  bool Has(const core::UpstreamId& upstream) const;
  bool HasRoom() const { return !local_.empty() || !remote_.empty(); }
  /// Upstreams that are not leaving.
  size_t usable() const { return usable_; }
  /// Calls that this instance may run at the same time in its zone.
  uint64_t capacity() const { return capacity_; }
  uint64_t ejections() const { return ejections_; }

  /// Best upstream with room that may run `call`; nullopt if there is none.
  std::optional<Placement> Choose(const CallRequest& call,
                                  const PlacementRules& rules) const;
  /// Least loaded upstream that has cached the longest known prefix.
  std::optional<size_t> Home(const std::vector<PrefixSegment>& prefix) const;
  /// Whether the upstream has room and may run `call`.
  bool Admits(size_t slot, const CallRequest& call) const;
  int64_t CachedTokens(size_t slot,
                       const std::vector<PrefixSegment>& prefix) const;
  /// Reserves the least loaded upstream for `call`; it gets no other calls.
  std::optional<size_t> Reserve(const CallRequest& call, core::TimePoint now);
  bool IsIdle(size_t slot) const;
  bool IsUsable(size_t slot, uint64_t incarnation) const;
  void Unreserve(size_t slot, uint64_t incarnation, core::TimePoint now);

  void Start(size_t slot, core::TimePoint now);
  /// Ends a call; `incarnation` is that of its start.
  void End(size_t slot, uint64_t incarnation, const CallResult& result,
           core::TimePoint now);

  const core::UpstreamId& Name(size_t slot) const;
  uint64_t Incarnation(size_t slot) const;
  int64_t CacheTokens(size_t slot) const;
  bool CrossesZone(size_t slot) const;
  CacheIndex& cache() { return cache_; }

 private:
  struct Slot {
    explicit Slot(uint32_t max_running) : window(max_running) {}

    UpstreamState state;
    WindowController window;
    uint64_t incarnation = 0;
    bool used = true;
    bool reserved = false;
    /// Time at which the slow start began; nullopt once it has ended.
    std::optional<core::TimePoint> ramp_from;
    uint32_t limit = 0;
    double load = 0;
    bool indexed = false;
  };
  using LoadIndex = std::set<std::pair<double, size_t>>;

  size_t Allocate(const UpstreamState& state);
  void Refresh(size_t id, core::TimePoint now);
  void Unindex(size_t id);
  uint32_t LimitOf(size_t id, core::TimePoint now) const;
  void BeginSlowStart(size_t id, core::TimePoint now);
  void Readmit(const std::vector<size_t>& slots, core::TimePoint now);
  bool Allows(const Slot& slot, const CallRequest& call) const;
  std::optional<size_t> LeastLoaded(const LoadIndex& index,
                                    const CallRequest& call,
                                    double load_bound) const;
  std::optional<Placement> ChooseCached(const CallRequest& call, double bound,
                                        size_t fallback) const;
  void RefreshAll(core::TimePoint now);

  core::ZoneId zone_;
  std::vector<Slot> slots_;
  std::vector<size_t> unused_;
  std::unordered_map<core::UpstreamId, size_t> by_name_;
  LoadIndex local_;
  LoadIndex remote_;
  std::set<std::pair<core::TimePoint, size_t>> ramps_;
  OutlierDetector outliers_;
  ReliabilityRouter router_;
  HealthControl health_ = HealthControl::kOutlierDetection;
  CacheIndex cache_;
  size_t instances_ = 1;
  size_t usable_ = 0;
  uint64_t capacity_ = 0;
  uint64_t ejections_ = 0;
  uint64_t next_incarnation_ = 1;
};

}  // namespace hawthorn::scheduling

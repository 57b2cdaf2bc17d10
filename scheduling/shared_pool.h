#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/id.h"
#include "scheduling/cache_index.h"
#include "scheduling/call.h"
#include "scheduling/decaying_mean.h"
#include "scheduling/load_estimate.h"
#include "scheduling/upstream.h"

namespace hawthorn::scheduling {

/// How an upstream is chosen among those with room.
enum class SharedPlacement {
  kCost,         ///< Least cost: load, uncached prompt, zone and failures.
  kLeastLoaded,  ///< Least load, regardless of its cache.
  kRandom,       ///< Random choice; the baseline.
};

/// Upstreams of one service that many instances share without a coordinator.
/// Dividing each upstream's slots between the instances would leave upstreams
/// idle while calls wait. Instead, every instance uses the whole upstream and
/// accounts for the estimated load of the other instances.
class SharedPool {
 public:
  /// Time to prefill one prompt token that is not cached. Engines prefill 120
  /// to 220 tokens per ms.
  static constexpr double kMsPerPromptToken = 0.006;
  /// Time by which one more running call delays the others: each step of the
  /// engine takes longer, and its prompt is prefilled between their steps.
  static constexpr double kMsPerRunningCall = 2.0;
  /// Cost of using another availability zone: its round trip and the price of
  /// the traffic.
  static constexpr double kCrossZoneMs = 4.0;
  /// Time that a program loses by a failed call.
  static constexpr double kFailureMs = 600.0;
  /// Calls that an upstream may get beyond its slots, as a fraction of its
  /// slots. Reports lag, and an empty slot costs more than a short wait.
  static constexpr double kOverfill = 0.25;
  /// Time after which an unreachable upstream is checked again; it doubles with
  /// each failed check.
  static constexpr std::chrono::milliseconds kFirstSuspension{250};
  static constexpr std::chrono::milliseconds kLongestSuspension{2000};
  /// Half-life of the estimate of the other instances' load on the pool. It is
  /// as long as a call, so that the estimate follows a burst.
  static constexpr std::chrono::milliseconds kOthersHalfLife{250};
  /// Slots of an upstream that does not announce how many calls it runs.
  static constexpr uint32_t kDefaultSlots = 8;

  SharedPool(core::ZoneId zone, uint64_t seed)
      : zone_(std::move(zone)), random_(seed) {}

  void Set(const UpstreamState& state);
  void Remove(const core::UpstreamId& upstream);
  void OnReport(const core::UpstreamId& upstream, const LoadReport& report);
  void SetPlacement(SharedPlacement placement) { placement_ = placement; }

  /// Upstream for `call`, or nullopt if all are full.
  std::optional<core::UpstreamId> Choose(const CallRequest& call,
                                         core::TimePoint now);
  void Start(const core::UpstreamId& upstream, core::TimePoint now);
  void End(const core::UpstreamId& upstream, const CallResult& result,
           std::chrono::duration<double> ran, core::TimePoint now);

  /// Total slots of the upstreams that take calls.
  double Slots() const;
  /// Estimated calls of all instances on the upstreams that take calls.
  double Load(core::TimePoint now) const;
  /// Smoothed run time of a call at an upstream, in seconds.
  double mean_run_seconds() const { return mean_run_seconds_; }
  bool empty() const { return upstreams_.empty(); }
  /// Sends no calls to an unreachable upstream until Resume.
  void Suspend(const core::UpstreamId& upstream, core::TimePoint now);
  /// Ends the suspension of an upstream after a successful check.
  void Resume(const core::UpstreamId& upstream);
  /// Suspended upstreams that are due for a check.
  std::vector<core::UpstreamId> DueChecks(core::TimePoint now) const;
  bool HasSuspended() const;

 private:
  struct Upstream {
    UpstreamState state;
    size_t cache_slot = 0;
    LoadEstimate load;
    /// Exponentially smoothed share of calls that failed.
    double failures = 0;
    /// When a suspended upstream is due for a check.
    std::optional<core::TimePoint> check_at;
    std::chrono::milliseconds suspension{0};

    double MaxRunning() const {
      return state.max_running == 0 ? kDefaultSlots : state.max_running;
    }
    bool TakesCalls() const { return !state.leaving && !check_at; }
  };

  /// Cost of prefilling `tokens` at an upstream that runs `total` calls: the
  /// delay of this call and of the others.
  static double PrefillCost(int64_t tokens, double total);
  /// Cost of running `call` at an upstream with `total` calls of all
  /// instances.
  double CostOf(const Upstream& upstream, const CallRequest& call,
                double total) const;
  uint64_t NextRandom();

  core::ZoneId zone_;
  std::map<core::UpstreamId, Upstream> upstreams_;
  CacheIndex cache_;
  size_t next_cache_slot_ = 0;
  SharedPlacement placement_ = SharedPlacement::kCost;
  uint64_t random_;
  double mean_run_seconds_ = 0.1;
  /// Load of the other instances on the upstreams, as a fraction of the slots.
  /// It is kept for the whole pool, because one of many instances receives too
  /// few reports from most upstreams to estimate each separately.
  DecayingMean others_per_slot_{kOthersHalfLife};
};

}  // namespace hawthorn::scheduling

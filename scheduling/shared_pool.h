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
  kCost,         ///< Least expected time: load, missing cache, zone, failures.
  kLeastLoaded,  ///< Least load, whatever it holds.
  kRandom,       ///< Any one; the baseline.
};

/// Upstreams of one service that many instances share without a coordinator.
/// Windows of each instance's own would leave upstreams idle while calls wait,
/// so every instance sees the whole upstream and corrects for the others.
class SharedPool {
 public:
  /// Time of one prompt token that is not cached. Engines read 120 to 220
  /// tokens in a ms.
  static constexpr double kMsPerPromptToken = 0.006;
  /// Time by which one more running call delays the others: their steps grow
  /// and its prompt is read between them.
  static constexpr double kMsPerRunningCall = 2.0;
  /// Round trip to another availability zone and the price of its bytes.
  static constexpr double kCrossZoneMs = 4.0;
  /// Time that a failed call costs its program.
  static constexpr double kFailureMs = 600.0;
  /// Calls above the slots that an upstream may get, as a part of its slots:
  /// reports lag, and an empty slot costs more than a short wait.
  static constexpr double kOverfill = 0.25;
  /// Time after which an upstream that could not be reached is checked again;
  /// doubles with each check that fails.
  static constexpr std::chrono::milliseconds kFirstSuspension{250};
  static constexpr std::chrono::milliseconds kLongestSuspension{2000};
  /// Half-life of what is known of the other instances' load on the pool. As
  /// long as a call, so that it follows a burst.
  static constexpr std::chrono::milliseconds kOthersHalfLife{250};
  /// Running calls of an upstream that does not say how many it takes.
  static constexpr uint32_t kDefaultSlots = 8;

  SharedPool(core::ZoneId zone, uint64_t seed)
      : zone_(std::move(zone)), random_(seed) {}

  void Set(const UpstreamState& state);
  void Remove(const core::UpstreamId& upstream);
  void OnReport(const core::UpstreamId& upstream, const LoadReport& report);
  void SetPlacement(SharedPlacement placement) { placement_ = placement; }

  /// Upstream for `call`, or nothing while all are full.
  std::optional<core::UpstreamId> Choose(const CallRequest& call,
                                         core::TimePoint now);
  void Start(const core::UpstreamId& upstream, core::TimePoint now);
  void End(const core::UpstreamId& upstream, const CallResult& result,
           std::chrono::duration<double> ran, core::TimePoint now);

  /// Slots of all upstreams that take calls.
  double Slots() const;
  /// Calls on all upstreams that take calls.
  double Load(core::TimePoint now) const;
  /// Mean time of a call at an upstream, in seconds.
  double mean_run_seconds() const { return mean_run_seconds_; }
  bool empty() const { return upstreams_.empty(); }
  /// Keeps calls away from an upstream that cannot be reached, until Resume.
  void Suspend(const core::UpstreamId& upstream, core::TimePoint now);
  /// A check reached the upstream.
  void Resume(const core::UpstreamId& upstream);
  /// Suspended upstreams that are due for a check.
  std::vector<core::UpstreamId> DueChecks(core::TimePoint now) const;
  bool HasSuspended() const;

 private:
  struct Upstream {
    UpstreamState state;
    size_t cache_slot = 0;
    LoadEstimate load;
    /// Moving share of calls that failed.
    double failures = 0;
    /// When a suspended upstream is due for a check.
    std::optional<core::TimePoint> check_at;
    std::chrono::milliseconds suspension{0};

    double MaxRunning() const {
      return state.max_running == 0 ? kDefaultSlots : state.max_running;
    }
    bool TakesCalls() const { return !state.leaving && !check_at; }
  };

  /// Cost of `call` at an upstream that has `total` calls of all instances.
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
  /// Load that other instances put on upstreams, as a part of their slots. One
  /// of many instances hears of most upstreams too rarely to know each by
  /// itself.
  DecayingMean others_per_slot_{kOthersHalfLife};
};

}  // namespace hawthorn::scheduling

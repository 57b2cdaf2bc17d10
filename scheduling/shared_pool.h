#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/id.h"
#include "scheduling/cache_index.h"
#include "scheduling/call.h"
#include "scheduling/decaying_mean.h"
#include "scheduling/load_estimate.h"
#include "scheduling/rate_share.h"
#include "scheduling/token_load.h"
#include "scheduling/upstream.h"
#include "scheduling/upstream_speed.h"

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
  /// Least requests per second of all instances together to an upstream that
  /// limits them to fewer: without any, nobody learns that the limit has ended.
  static constexpr double kLeastLimit = 0.25;
  /// Below this rate of one instance, chance decides how many instances have a
  /// slot in the same seconds.
  static constexpr double kSparseShare = 0.25;
  /// Part of a sparse share that is used, so that the sum over all instances
  /// stays within the limit.
  static constexpr double kSparseReserve = 0.75;
  /// Number of instances from which all calls of a program, its first one
  /// included, prefer the same upstream. With fewer, an instance sees enough of
  /// a program's calls to know where its prompt is cached; with more, the next
  /// call mostly arrives at an instance that has not seen the program.
  static constexpr size_t kManyInstances = 16;
  /// Slowdown from which an upstream counts as slow in metrics.
  static constexpr double kSlow = 1.25;
  /// Time for which memory is kept for a large call that waits; it is renewed
  /// while the call waits.
  static constexpr std::chrono::milliseconds kMemoryHold{100};
  /// Longest time for which it is kept for one call; after that, it is not kept
  /// for that call for as long again. The calls of other instances may leave no
  /// room for it whatever this one does.
  static constexpr std::chrono::milliseconds kLongestMemoryHold{1000};
  /// Slots of an upstream that does not announce how many calls it runs.
  static constexpr uint32_t kDefaultSlots = 8;

  SharedPool(core::ZoneId zone, uint64_t seed)
      : zone_(std::move(zone)), random_(seed) {}

  void Set(const UpstreamState& state, core::TimePoint now);
  /// Sets the number of instances that share the request limits.
  void SetInstanceCount(size_t instances, core::TimePoint now);
  void Remove(const core::UpstreamId& upstream);
  void OnReport(const core::UpstreamId& upstream, const LoadReport& report);
  /// Takes how long work took at the upstream at `taken_at`, as a multiple of
  /// the usual time. It neither counts as a failure nor suspends the upstream.
  void OnSlowdown(const core::UpstreamId& upstream, double slowdown,
                  core::TimePoint taken_at);
  /// Upstreams that now take at least kSlow times as long as usual.
  size_t SlowCount(core::TimePoint now) const;
  void SetPlacement(SharedPlacement placement) { placement_ = placement; }

  /// Upstream for `call`, or nullopt if all are full or have got as many
  /// requests as their limits allow.
  std::optional<core::UpstreamId> Choose(const CallRequest& call,
                                         core::TimePoint now);
  /// Software version that a new stream is best bound to: that of the upstream
  /// that `call` would be sent to now, or of most upstreams if all are full.
  std::string ProposeVersion(const CallRequest& call, core::TimePoint now);
  /// Whether `call` should wait for an upstream of its version. A new stream
  /// should not while upstreams of another version take calls.
  bool HasVersionFor(const CallRequest& call) const;
  /// Versions of the upstreams that are not shutting down.
  std::set<std::string> Versions() const;
  /// Prompt tokens of `call` that the upstream is not known to have cached; 0
  /// at a plain service.
  int64_t TokensToRead(const core::UpstreamId& upstream,
                       const CallRequest& call) const;
  /// Whether an upstream that may serve `call` can hold it in its memory when
  /// it holds nothing else; true if there is no such upstream.
  bool CanHold(const CallRequest& call) const;
  /// Whether the last Choose found upstreams with room for one more call, but
  /// none with enough memory for this one.
  bool lacked_memory() const { return lacked_memory_; }
  /// Keeps other calls from the upstream that has the most memory left and can
  /// hold `call`, for kMemoryHold. Without that, small calls would take what
  /// becomes free before it is enough for a large one.
  void HoldMemory(const CallRequest& call, core::TimePoint now);
  /// Counts a call that is sent to the upstream now.
  void Start(const core::UpstreamId& upstream, const CallRequest& call,
             core::TimePoint now);
  /// Whether the request limit of the upstream allows this instance to send a
  /// running call once more now; counts it if so.
  bool TakeRepeat(const core::UpstreamId& upstream, core::TimePoint now);
  void End(const core::UpstreamId& upstream, const CallResult& result,
           std::chrono::duration<double> ran, core::TimePoint now);

  /// What the upstreams that take calls can run. An upstream whose request
  /// limit keeps it from filling its slots counts by its limit alone.
  struct Capacity {
    /// Calls that the upstreams that are not limited run at the same time.
    double running_limit = 0;
    /// Estimated calls of all instances on these.
    double load = 0;
    /// Calls per second of this instance that these can run if all instances
    /// use them alike.
    double running_per_second = 0;
    /// Requests per second that this instance may send to the limited ones.
    double limited_per_second = 0;
    /// Time until this instance may send the next of these.
    std::chrono::duration<double> limited_wait{0};

    /// Whether request limits keep waiting calls from being sent: the other
    /// upstreams, if any, are full.
    bool IsRateBound() const {
      return limited_per_second > 0 && load >= running_limit;
    }
    /// Calls per second of this instance that can be sent while rate-bound.
    double PerSecond() const { return running_per_second + limited_per_second; }
  };
  Capacity CapacityAt(core::TimePoint now) const;
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
  size_t SuspendedCount() const;
  bool IsSuspended(const core::UpstreamId& upstream) const;
  /// Whether upstreams would take calls but all of them are unreachable.
  bool IsUnreachable() const;

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
    /// This instance's share of the request limit.
    std::optional<RateShare> share;
    UpstreamSpeed speed;
    TokenLoad tokens;

    double MaxRunning() const {
      return state.max_running == 0 ? kDefaultSlots : state.max_running;
    }
    bool TakesCalls() const { return !state.leaving && !check_at; }
    /// Calls that it may get, running and waiting. Those beyond its slots wait
    /// as long as before.
    double Room(core::TimePoint now) const {
      return MaxRunning() * (1 + kOverfill / speed.SlowdownAt(now));
    }
  };

  /// Cost of prefilling `tokens` at an upstream that runs `total` calls: the
  /// delay of this call and of the others.
  static double PrefillCost(int64_t tokens, double total);
  /// Cost of running `call` at an upstream with `total` calls of all
  /// instances, whose work takes `slowdown` times as long as usual.
  double CostOf(const Upstream& upstream, const CallRequest& call, double total,
                double slowdown) const;
  /// An upstream whose cost is hardly above `best_cost`, at random: many
  /// instances have the same news of slow upstreams, and must not all choose
  /// the same one of the others.
  const Upstream* PickNear(
      const std::vector<std::pair<double, const Upstream*>>& costs,
      double best_cost);
  /// Whether `call` fits into the memory of the upstream beside all that is
  /// known or estimated to be there.
  bool FitsMemory(const Upstream& upstream, const CallRequest& call,
                  double expected_others, core::TimePoint now) const;
  /// Requests per second of this instance under `limit`.
  double ShareOf(double limit) const;
  void UpdateShare(Upstream* upstream, core::TimePoint now);
  uint64_t NextRandom();

  core::ZoneId zone_;
  std::map<core::UpstreamId, Upstream> upstreams_;
  CacheIndex cache_;
  size_t next_cache_slot_ = 0;
  SharedPlacement placement_ = SharedPlacement::kCost;
  uint64_t random_;
  size_t instances_ = 1;
  double mean_run_seconds_ = 0.1;
  MeanCallTokens mean_tokens_;
  bool lacked_memory_ = false;
  /// Upstream whose memory is kept for a waiting call, since when and until
  /// when.
  struct MemoryHold {
    core::UpstreamId upstream;
    CallId call = 0;
    core::TimePoint since;
    core::TimePoint until;
  };
  std::optional<MemoryHold> memory_hold_;
  /// Load of the other instances on the upstreams, as a fraction of the slots.
  /// It is kept for the whole pool, because one of many instances receives too
  /// few reports from most upstreams to estimate each separately.
  DecayingMean others_per_slot_{kOthersHalfLife};
};

}  // namespace hawthorn::scheduling

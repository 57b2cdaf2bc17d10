#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "core/id.h"
#include "scheduling/call.h"
#include "scheduling/shared_pool.h"

namespace hawthorn::scheduling {

/// Order of calls that wait.
struct SharedOrder {
  /// Calls of programs that have begun go first: what was spent on them is
  /// lost if they fail.
  bool begun_first = true;
  /// Then the more urgent kinds.
  bool by_priority = true;

  bool operator==(const SharedOrder&) const = default;
};

/// Scheduler of one of many instances that share all upstreams. Deterministic;
/// not thread-safe; `now` must never go back.
class SharedScheduler {
 public:
  struct Settings {
    core::ZoneId zone;
    uint64_t seed = 1;
    SharedPlacement placement = SharedPlacement::kCost;
    SharedOrder order;
    /// Calls that may wait for one service.
    size_t max_queued = 2000;
    /// Expected wait beyond which the first call of a program is refused. A
    /// program that comes back in time can still meet its objective.
    std::chrono::milliseconds max_first_wait{400};
  };

  /// Waits between two looks at a full pool, whose other users are not seen.
  static constexpr std::chrono::milliseconds kRecheck{15};

  explicit SharedScheduler(Settings settings);

  /// Queues a call. kOverloaded with a time to come back if it is the first of
  /// its program and the wait would be long; kUnavailable without upstreams.
  core::Status Enqueue(const CallRequest& call, core::TimePoint now);
  /// Takes a queued call out; false if it is not queued.
  bool Cancel(CallId call);
  void SetUpstream(const UpstreamState& state);
  void RemoveUpstream(const core::UpstreamId& upstream);
  void OnReport(const core::UpstreamId& upstream, const LoadReport& report);
  /// Keeps calls away from an upstream until Resume; see SharedPool.
  void Suspend(const core::UpstreamId& upstream, core::TimePoint now);
  void Resume(const core::UpstreamId& upstream);
  std::vector<core::UpstreamId> DueChecks(core::TimePoint now) const;
  bool HasSuspended() const;
  void OnFinished(const CallResult& result, core::TimePoint now);
  /// Calls to send now; each counts as running until OnFinished.
  std::vector<Dispatch> Next(core::TimePoint now);
  /// Queued calls that can no longer end in time; they did not run.
  std::vector<Refusal> TakeRefused(core::TimePoint now);
  std::optional<core::TimePoint> NextWakeUp(core::TimePoint now) const;
  size_t queued() const { return queued_; }

 private:
  /// Rank and number of arrival.
  using QueueKey = std::pair<int64_t, uint64_t>;
  struct Queued {
    CallRequest call;
    core::TimePoint since;
  };
  struct Service {
    explicit Service(SharedPool pool) : pool(std::move(pool)) {}
    SharedPool pool;
    std::map<QueueKey, Queued> queue;
  };
  struct Running {
    core::ServiceId service;
    core::UpstreamId upstream;
    core::TimePoint since;
  };

  Service& ServiceOf(const core::ServiceId& service);
  std::chrono::milliseconds ExpectedWait(const Service& service,
                                         core::TimePoint now) const;
  int64_t RankOf(const CallRequest& call) const;

  Settings settings_;
  std::map<core::ServiceId, Service> services_;
  std::unordered_map<core::UpstreamId, core::ServiceId> service_of_;
  std::unordered_map<CallId, std::pair<core::ServiceId, QueueKey>> queued_keys_;
  std::unordered_map<CallId, Running> running_;
  uint64_t arrivals_ = 0;
  size_t queued_ = 0;
};

}  // namespace hawthorn::scheduling

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "scheduling/call_queue.h"
#include "scheduling/scheduler.h"
#include "scheduling/upstream_pool.h"

namespace hawthorn::scheduling {

/// Admission control, queue and upstream pool of one service.
class ServiceScheduler {
 public:
  /// A call that runs on an upstream.
  struct Running {
    core::ProgramId program;
    core::UpstreamId upstream;
    size_t slot = 0;
    uint64_t incarnation = 0;
    core::TimePoint started;
    bool isolated = false;
  };

  explicit ServiceScheduler(const SchedulerSettings& settings);

  /// Refuses or queues a call; see Scheduler::Enqueue.
  core::Status Enqueue(const CallRequest& call, core::TimePoint now,
                       SchedulerCounters& counters);
  bool Cancel(CallId call) { return queue_.Erase(call); }
  void Next(core::TimePoint now, std::vector<Dispatch>& out,
            SchedulerCounters& counters);
  void TakeRefused(core::TimePoint now, std::vector<Refusal>& out,
                   SchedulerCounters& counters);
  /// Ends a running call and returns its record; nullopt if it is unknown.
  std::optional<Running> Finish(const CallResult& result, core::TimePoint now);
  void SetPolicy(const PolicySettings& settings, core::TimePoint now);
  std::optional<core::TimePoint> NextWakeUp() const;

  UpstreamPool& pool() { return pool_; }
  const UpstreamPool& pool() const { return pool_; }
  const CallQueue& queue() const { return queue_; }

 private:
  struct Choice {
    CallId call = 0;
    Placement placement;
  };

  /// Upstream that is drained for an isolated call or runs it.
  struct Isolation {
    size_t slot = 0;
    uint64_t incarnation = 0;
    bool busy = false;
  };

  std::optional<Choice> Choose(core::TimePoint now);
  void StartRunning(const Choice& choice, core::TimePoint now);
  void EndIsolation(core::TimePoint now);
  std::optional<Placement> PlaceIsolated(const CallRequest& call,
                                         core::TimePoint now);
  std::chrono::duration<double> ExpectedWait(bool interactive) const;

  SchedulerSettings settings_;
  CallQueue queue_;
  UpstreamPool pool_;
  std::unordered_map<CallId, Running> running_;
  std::optional<Isolation> isolation_;
  /// Exponentially smoothed run time of a call, in seconds.
  double mean_run_seconds_ = 0;
};

}  // namespace hawthorn::scheduling

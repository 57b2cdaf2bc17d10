#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "core/id.h"
#include "scheduling/call.h"
#include "scheduling/policy_settings.h"
#include "scheduling/upstream.h"

// Scheduler of one instance: decides which call runs next and on which
// upstream.
namespace hawthorn::scheduling {

/// Settings that do not change during the lifetime of a scheduler.
struct SchedulerSettings {
  /// Availability zone of this instance.
  core::ZoneId zone;
  /// Maximum number of queued calls of all services.
  size_t max_queued_calls = 20000;
  /// Maximum number of queued calls of one organisation at one service.
  size_t max_queued_per_organisation = 10000;
  /// Expected wait beyond which calls of new programs are refused.
  std::chrono::milliseconds max_expected_wait{1000};
  /// Seed of the jitter in retry delays.
  uint64_t seed = 1;

  bool operator==(const SchedulerSettings&) const = default;
};

/// Number of events and decisions since the scheduler was created.
struct SchedulerCounters {
  uint64_t enqueued = 0;
  uint64_t dispatched = 0;
  uint64_t spilled = 0;
  uint64_t refused_backlog = 0;
  uint64_t refused_deadline = 0;
  uint64_t cancelled = 0;
  uint64_t ejections = 0;
  uint64_t cache_gaps = 0;
  uint64_t retries_refused = 0;
  uint64_t holds = 0;

  bool operator==(const SchedulerCounters&) const = default;
};

/// Schedules the calls that arrive at one instance. Deterministic: it reads no
/// clock and does no I/O. `now` must never decrease. Not thread-safe.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /// Queues a call. Errors: kOverloaded with a retry_after when the backlog is
  /// full or the expected wait too long, kDeadlineExceeded when the deadline
  /// has passed or cannot be met, kInvalidArgument for an id that is in use. A
  /// refused call did not run.
  virtual core::Status Enqueue(const CallRequest& call,
                               core::TimePoint now) = 0;

  /// Removes a queued call. Returns false if it is not queued. To cancel a
  /// running call, end the attempt and report kCancelled to OnFinished.
  virtual bool Cancel(CallId call, core::TimePoint now) = 0;

  /// Adds an upstream or changes its state.
  virtual void SetUpstream(const UpstreamState& state, core::TimePoint now) = 0;

  /// Removes an upstream. Calls that run there must still be reported to
  /// OnFinished.
  virtual void RemoveUpstream(const core::UpstreamId& upstream,
                              core::TimePoint now) = 0;

  /// Applies a load report unless it is older than the last one.
  virtual void OnReport(const core::UpstreamId& upstream,
                        const LoadReport& report, core::TimePoint now) = 0;

  /// Applies a cache event; see CacheIndex::Apply.
  virtual CacheSync OnCacheEvent(const core::UpstreamId& upstream,
                                 const CacheEvent& event,
                                 core::TimePoint now) = 0;

  /// Replaces the known content of an engine's cache.
  virtual void OnCacheListing(const core::UpstreamId& upstream,
                              const CacheListing& listing,
                              core::TimePoint now) = 0;

  /// Reports the end of a dispatched call; unknown calls are ignored.
  virtual void OnFinished(const CallResult& result, core::TimePoint now) = 0;

  /// Calls to send now, in order. Each counts as running until OnFinished.
  virtual std::vector<Dispatch> Next(core::TimePoint now) = 0;

  /// Removes and returns the queued calls whose deadline has passed; they did
  /// not run.
  virtual std::vector<Refusal> TakeRefused(core::TimePoint now) = 0;

  /// Changes the policy of a service; queued calls stay queued. Error
  /// kInvalidArgument for weights out of range.
  virtual core::Status SetPolicy(const core::ServiceId& service,
                                 const PolicySettings& settings,
                                 core::TimePoint now) = 0;

  /// Time at which Next and TakeRefused should be called even if no event
  /// arrives; nullopt if only an event can change the decisions.
  virtual std::optional<core::TimePoint> NextWakeUp(
      core::TimePoint now) const = 0;

  /// Decides what to do with a program's cached prefix during a tool pause that
  /// is expected to last `expected`.
  virtual PauseDecision OnPause(const core::ProgramId& program,
                                std::chrono::milliseconds expected,
                                core::TimePoint now) = 0;

  /// Removes a program. Returns the prefixes that its engines should drop.
  virtual std::vector<CachedPrefix> OnProgramEnded(
      const core::ProgramId& program, core::TimePoint now) = 0;

  /// Delay before the next attempt of a failed call. Error kOverloaded when
  /// the organisation's retry budget at this service or the call's attempts are
  /// exhausted.
  virtual core::Result<std::chrono::milliseconds> RetryDelay(
      const RetryRequest& request, core::TimePoint now) = 0;

  /// Sets how many instances of the zone share its upstreams; at least 1.
  virtual void SetInstanceCount(size_t instances, core::TimePoint now) = 0;

  /// Number of queued calls of all services.
  virtual size_t queued() const = 0;

  virtual const SchedulerCounters& counters() const = 0;
};

/// Creates a ZoneScheduler.
std::unique_ptr<Scheduler> MakeScheduler(const SchedulerSettings& settings);

}  // namespace hawthorn::scheduling

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "scheduling/pause_planner.h"
#include "scheduling/program_cache.h"
#include "scheduling/retry_budget.h"
#include "scheduling/scheduler.h"
#include "scheduling/service_scheduler.h"

namespace hawthorn::scheduling {

/// Scheduler of one instance: a ServiceScheduler for each service, and the
/// state that spans services: the backlog limit, retry budgets and programs'
/// caches.
class ZoneScheduler final : public Scheduler {
 public:
  explicit ZoneScheduler(const SchedulerSettings& settings);

  core::Status Enqueue(const CallRequest& call, core::TimePoint now) override;
  bool Cancel(CallId call, core::TimePoint now) override;
  void SetUpstream(const UpstreamState& state, core::TimePoint now) override;
  void RemoveUpstream(const core::UpstreamId& upstream,
                      core::TimePoint now) override;
  void OnReport(const core::UpstreamId& upstream, const LoadReport& report,
                core::TimePoint now) override;
  CacheSync OnCacheEvent(const core::UpstreamId& upstream,
                         const CacheEvent& event, core::TimePoint now) override;
  void OnCacheListing(const core::UpstreamId& upstream,
                      const CacheListing& listing,
                      core::TimePoint now) override;
  void OnFinished(const CallResult& result, core::TimePoint now) override;
  std::vector<Dispatch> Next(core::TimePoint now) override;
  std::vector<Refusal> TakeRefused(core::TimePoint now) override;
  core::Status SetPolicy(const core::ServiceId& service,
                         const PolicySettings& settings,
                         core::TimePoint now) override;
  std::optional<core::TimePoint> NextWakeUp(core::TimePoint now) const override;
  PauseDecision OnPause(const core::ProgramId& program,
                        std::chrono::milliseconds expected,
                        core::TimePoint now) override;
  std::vector<CachedPrefix> OnProgramEnded(const core::ProgramId& program,
                                           core::TimePoint now) override;
  core::Result<std::chrono::milliseconds> RetryDelay(
      const RetryRequest& request, core::TimePoint now) override;
  void SetInstanceCount(size_t instances, core::TimePoint now) override;
  size_t queued() const override;
  const SchedulerCounters& counters() const override { return counters_; }

 private:
  struct Service {
    PolicySettings policy;
    std::unique_ptr<ServiceScheduler> scheduler;
  };

  Service& ServiceOf(const core::ServiceId& service, core::TimePoint now);
  /// Service of an upstream; null if it is unknown.
  Service* ServiceOfUpstream(const core::UpstreamId& upstream);

  SchedulerSettings settings_;
  std::map<core::ServiceId, Service> services_;
  std::unordered_map<core::UpstreamId, core::ServiceId> service_of_;
  /// Service of each queued or running call.
  std::unordered_map<CallId, Service*> calls_;
  std::unordered_map<core::UpstreamId, int64_t> cache_tokens_;
  ProgramCache programs_;
  RetryBudget retries_;
  SchedulerCounters counters_;
  size_t queued_ = 0;
  size_t instances_ = 1;
};

}  // namespace hawthorn::scheduling

#include "scheduling/zone_scheduler.h"

#include <algorithm>
#include <utility>

namespace hawthorn::scheduling {
namespace {

constexpr std::chrono::milliseconds kBacklogRetryAfter{1000};

core::Error MakeError(core::ErrorCode code, const char* message) {
  core::Error error;
  error.code = code;
  error.message = message;
  error.execution = core::Execution::kNotRun;
  return error;
}

}  // namespace

std::unique_ptr<Scheduler> MakeScheduler(const SchedulerSettings& settings) {
  return std::make_unique<ZoneScheduler>(settings);
}

ZoneScheduler::ZoneScheduler(const SchedulerSettings& settings)
    : settings_(settings), retries_(settings.seed) {}

ZoneScheduler::Service& ZoneScheduler::ServiceOf(const core::ServiceId& service,
                                                 core::TimePoint now) {
  Service& entry = services_[service];
  if (!entry.scheduler) {
    entry.scheduler = std::make_unique<ServiceScheduler>(settings_);
    entry.scheduler->pool().SetInstanceCount(instances_, now);
  }
  return entry;
}

ZoneScheduler::Service* ZoneScheduler::ServiceOfUpstream(
    const core::UpstreamId& upstream) {
  const auto it = service_of_.find(upstream);
  return it == service_of_.end() ? nullptr : &services_[it->second];
}

core::Status ZoneScheduler::Enqueue(const CallRequest& call,
                                    core::TimePoint now) {
  if (calls_.contains(call.id)) {
    return MakeError(core::ErrorCode::kInvalidArgument,
                     "the call id is in use");
  }
  if (call.deadline && *call.deadline <= now) {
    ++counters_.refused_deadline;
    return MakeError(core::ErrorCode::kDeadlineExceeded,
                     "the deadline has passed");
  }
  if (queued_ >= settings_.max_queued_calls) {
    ++counters_.refused_backlog;
    core::Error error =
        MakeError(core::ErrorCode::kOverloaded, "the backlog is full");
    error.retry_after = kBacklogRetryAfter;
    return error;
  }
  Service& service = ServiceOf(call.service, now);
  core::Status status = service.scheduler->Enqueue(call, now, counters_);
  if (!core::IsOk(status)) {
    return status;
  }
  calls_[call.id] = &service;
  ++queued_;
  if (call.excluded.empty()) {
    retries_.OnCall(call.organisation, call.service);
  }
  return status;
}

bool ZoneScheduler::Cancel(CallId call, core::TimePoint /*now*/) {
  const auto it = calls_.find(call);
  if (it == calls_.end() || !it->second->scheduler->Cancel(call)) {
    return false;
  }
  calls_.erase(it);
  --queued_;
  ++counters_.cancelled;
  return true;
}

void ZoneScheduler::SetUpstream(const UpstreamState& state,
                                core::TimePoint now) {
  const auto it = service_of_.find(state.id);
  if (it != service_of_.end() && it->second != state.service) {
    RemoveUpstream(state.id, now);
  }
  service_of_[state.id] = state.service;
  cache_tokens_[state.id] = state.cache_tokens;
  ServiceOf(state.service, now).scheduler->pool().Set(state, now);
}

void ZoneScheduler::RemoveUpstream(const core::UpstreamId& upstream,
                                   core::TimePoint now) {
  Service* service = ServiceOfUpstream(upstream);
  if (service == nullptr) {
    return;
  }
  service->scheduler->pool().Remove(upstream, now);
  service_of_.erase(upstream);
  cache_tokens_.erase(upstream);
  programs_.RemoveUpstream(upstream);
}

void ZoneScheduler::OnReport(const core::UpstreamId& upstream,
                             const LoadReport& report, core::TimePoint now) {
  Service* service = ServiceOfUpstream(upstream);
  if (service != nullptr) {
    service->scheduler->pool().OnReport(upstream, report, now);
  }
}

CacheSync ZoneScheduler::OnCacheEvent(const core::UpstreamId& upstream,
                                      const CacheEvent& event,
                                      core::TimePoint /*now*/) {
  Service* service = ServiceOfUpstream(upstream);
  if (service == nullptr) {
    return CacheSync::kIgnored;
  }
  const CacheSync sync =
      service->scheduler->pool().OnCacheEvent(upstream, event);
  counters_.cache_gaps += sync == CacheSync::kNeedsListing ? 1 : 0;
  return sync;
}

void ZoneScheduler::OnCacheListing(const core::UpstreamId& upstream,
                                   const CacheListing& listing,
                                   core::TimePoint /*now*/) {
  Service* service = ServiceOfUpstream(upstream);
  if (service != nullptr) {
    service->scheduler->pool().OnCacheListing(upstream, listing);
  }
}

void ZoneScheduler::OnFinished(const CallResult& result, core::TimePoint now) {
  const auto it = calls_.find(result.call);
  if (it == calls_.end()) {
    return;
  }
  ServiceScheduler& scheduler = *it->second->scheduler;
  const uint64_t ejections = scheduler.pool().ejections();
  const auto running = scheduler.Finish(result, now);
  if (!running) {
    return;
  }
  calls_.erase(it);
  counters_.ejections += scheduler.pool().ejections() - ejections;
  const core::UpstreamId upstream = running->upstream;
  const bool produced = result.outcome == CallOutcome::kSucceeded &&
                        result.produced && cache_tokens_[upstream] > 0;
  if (produced) {
    const int64_t written =
        result.prompt_tokens - result.cached_tokens + result.output_tokens;
    programs_.OnProduced(running->program, upstream, *result.produced, written,
                         now);
  }
}

std::vector<Dispatch> ZoneScheduler::Next(core::TimePoint now) {
  std::vector<Dispatch> dispatches;
  for (auto& [id, service] : services_) {
    service.scheduler->Next(now, dispatches, counters_);
  }
  queued_ -= dispatches.size();
  return dispatches;
}

std::vector<Refusal> ZoneScheduler::TakeRefused(core::TimePoint now) {
  std::vector<Refusal> refusals;
  for (auto& [id, service] : services_) {
    service.scheduler->TakeRefused(now, refusals, counters_);
  }
  for (const Refusal& refusal : refusals) {
    calls_.erase(refusal.call);
  }
  queued_ -= refusals.size();
  return refusals;
}

core::Status ZoneScheduler::SetPolicy(const core::ServiceId& service,
                                      const PolicySettings& settings,
                                      core::TimePoint now) {
  if (!(settings.latency_weight >= 0 && settings.latency_weight <= 1)) {
    return MakeError(core::ErrorCode::kInvalidArgument,
                     "the latency weight must be from 0 to 1");
  }
  Service& entry = ServiceOf(service, now);
  entry.policy = settings;
  entry.scheduler->SetPolicy(settings, now);
  return std::monostate{};
}

std::optional<core::TimePoint> ZoneScheduler::NextWakeUp(
    core::TimePoint now) const {
  std::optional<core::TimePoint> next;
  for (const auto& [id, service] : services_) {
    const auto it = service.scheduler->NextWakeUp();
    if (it && (!next || *it < *next)) {
      next = it;
    }
  }
  if (next && *next < now) {
    return now;
  }
  return next;
}

PauseDecision ZoneScheduler::OnPause(const core::ProgramId& program,
                                     std::chrono::milliseconds expected,
                                     core::TimePoint now) {
  const std::optional<CachedPrefix> latest = programs_.Latest(program);
  if (!latest) {
    return {};
  }
  PauseDecision decision;
  decision.upstream = latest->upstream;
  decision.prefix = latest->prefix;
  const Service* service = ServiceOfUpstream(latest->upstream);
  if (service == nullptr ||
      !service->scheduler->queue().placement().manages_cache) {
    return decision;
  }
  PauseInput input;
  input.tokens = latest->prefix.tokens;
  input.expected = expected;
  input.cache_tokens = cache_tokens_[latest->upstream];
  input.churn_tokens_per_second =
      programs_.ChurnTokensPerSecond(latest->upstream);
  input.held_tokens = programs_.HeldTokens(latest->upstream, now);
  input.latency_weight = service->policy.latency_weight;
  decision.action = PausePlanner::Decide(input);
  if (decision.action == PauseAction::kDrop) {
    return decision;
  }
  decision.lease = PausePlanner::Lease(expected);
  ++counters_.holds;
  if (decision.action == PauseAction::kKeep) {
    programs_.Hold(program, now + decision.lease);
  }
  return decision;
}

std::vector<CachedPrefix> ZoneScheduler::OnProgramEnded(
    const core::ProgramId& program, core::TimePoint /*now*/) {
  std::vector<CachedPrefix> drops;
  for (CachedPrefix& copy : programs_.Forget(program)) {
    const Service* service = ServiceOfUpstream(copy.upstream);
    if (service != nullptr &&
        service->scheduler->queue().placement().manages_cache) {
      drops.push_back(std::move(copy));
    }
  }
  return drops;
}

core::Result<std::chrono::milliseconds> ZoneScheduler::RetryDelay(
    const RetryRequest& request, core::TimePoint /*now*/) {
  auto delay = retries_.Take(request);
  counters_.retries_refused += core::IsOk(delay) ? 0 : 1;
  return delay;
}

void ZoneScheduler::SetInstanceCount(size_t instances, core::TimePoint now) {
  instances_ = std::max<size_t>(1, instances);
  for (auto& [id, service] : services_) {
    service.scheduler->pool().SetInstanceCount(instances_, now);
  }
}

size_t ZoneScheduler::queued() const { return queued_; }

}  // namespace hawthorn::scheduling

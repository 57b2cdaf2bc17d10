#include "scheduling/shared_scheduler.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hawthorn::scheduling {

namespace {

/// Added to the rank of a program's first call, so that the calls of started
/// programs go before it.
constexpr int64_t kFirstCallRank = 1000;
constexpr std::chrono::milliseconds kLeastRetryAfter{100};
constexpr std::chrono::milliseconds kNoUpstreamRetryAfter{300};

/// Subtracted from the rank of a call that continues a stream: only upstreams
/// of its version can serve it, and its caller already has a part of the
/// stream.
constexpr int64_t kContinuedRank = 1000;

core::Error MakeRefusal(core::ErrorCode code, const char* message,
                        std::chrono::milliseconds retry_after) {
  return core::Error{code, message, core::Execution::kNotRun,
                     std::max(retry_after, kLeastRetryAfter)};
}

/// Refusal of a call whose software version no upstream has. A retry cannot
/// help, so it is told no time.
core::Error NoVersion() {
  return core::Error{core::ErrorCode::kNotFound,
                     "no upstream has the software version of the stream",
                     core::Execution::kNotRun, std::nullopt};
}

/// Refusal of a call that no upstream has the memory for. A retry cannot help.
core::Error TooLarge() {
  return core::Error{core::ErrorCode::kInvalidArgument,
                     "the prompt and the maximum output exceed the memory of "
                     "every upstream",
                     core::Execution::kNotRun, std::nullopt};
}

}  // namespace

SharedScheduler::SharedScheduler(Settings settings)
    : settings_(std::move(settings)) {}

SharedScheduler::Service& SharedScheduler::ServiceOf(
    const core::ServiceId& service) {
  auto it = services_.find(service);
  if (it == services_.end()) {
    SharedPool pool(settings_.zone, settings_.seed);
    pool.SetPlacement(settings_.placement);
    pool.SetInstanceCount(instances_, core::TimePoint());
    it = services_.emplace(service, Service(std::move(pool))).first;
  }
  return it->second;
}

int64_t SharedScheduler::RankOf(const CallRequest& call) const {
  int64_t rank = settings_.order.by_priority ? call.priority : 0;
  if (call.continues_stream) {
    return rank - kContinuedRank;
  }
  if (settings_.order.started_first && call.attained_tokens == 0) {
    rank += kFirstCallRank;
  }
  return rank;
}

std::chrono::milliseconds SharedScheduler::ExpectedWait(
    const Service& service, const SharedPool::Capacity& capacity,
    size_t ahead) const {
  using Seconds = std::chrono::duration<double>;
  Seconds wait(0);
  if (capacity.IsRateBound()) {
    wait = Seconds(static_cast<double>(ahead) / capacity.PerSecond());
    if (capacity.running_limit == 0) {
      wait += capacity.limited_wait;
    }
  } else if (capacity.running_limit > 0) {
    const double waiting =
        std::max(0.0, capacity.load - capacity.running_limit) +
        static_cast<double>(ahead);
    wait = Seconds(waiting / capacity.running_limit *
                   service.pool.mean_run_seconds());
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

bool SharedScheduler::IsTooLate(const Service& service, const CallRequest& call,
                                std::chrono::milliseconds queued,
                                std::chrono::milliseconds wait,
                                core::TimePoint now) const {
  if (call.attained_tokens == 0 &&
      queued + wait > settings_.max_first_limited_wait) {
    return true;
  }
  const std::chrono::duration<double> run(service.pool.mean_run_seconds());
  return call.deadline && now + wait + run >= *call.deadline;
}

core::Error SharedScheduler::LimitRefusal(Service* service,
                                          const CallRequest& call,
                                          const SharedPool::Capacity& capacity,
                                          core::TimePoint now) const {
  const core::TimePoint at =
      std::max(service->promised_until,
               now + ExpectedWait(*service, capacity, service->queue.size()));
  // A caller that gives up before does not use its turn.
  if (!call.deadline || at < *call.deadline) {
    service->promised_until =
        at + std::chrono::duration_cast<core::TimePoint::duration>(
                 std::chrono::duration<double>(1 / capacity.PerSecond()));
  }
  return MakeRefusal(core::ErrorCode::kLimitExceeded,
                     "the upstreams of the service limit their requests",
                     core::MillisecondsBetween(now, at));
}

core::Status SharedScheduler::Enqueue(const CallRequest& call,
                                      core::TimePoint now) {
  Service& service = ServiceOf(call.service);
  if (service.pool.empty()) {
    return MakeRefusal(core::ErrorCode::kUnavailable,
                       "no upstream of the service is known",
                       kNoUpstreamRetryAfter);
  }
  if (!service.pool.HasVersionFor(call)) {
    return NoVersion();
  }
  if (!service.pool.CanHold(call)) {
    return TooLarge();
  }
  const SharedPool::Capacity capacity = service.pool.CapacityAt(now);
  const auto wait = ExpectedWait(service, capacity, service.queue.size());
  if (service.queue.size() >= settings_.max_queued) {
    return MakeRefusal(core::ErrorCode::kOverloaded, "the queue is full", wait);
  }
  if (capacity.IsRateBound()) {
    const auto ahead = std::distance(
        service.queue.begin(),
        service.queue.lower_bound(QueueKey(RankOf(call), arrivals_)));
    const auto limited_wait =
        ExpectedWait(service, capacity, static_cast<size_t>(ahead));
    if (IsTooLate(service, call, std::chrono::milliseconds(0), limited_wait,
                  now)) {
      return LimitRefusal(&service, call, capacity, now);
    }
  } else if (call.attained_tokens == 0 && wait > settings_.max_first_wait) {
    return MakeRefusal(core::ErrorCode::kOverloaded,
                       "the service is overloaded and takes no new program",
                       wait - settings_.max_first_wait);
  } else if (call.deadline && now + wait >= *call.deadline) {
    return MakeRefusal(core::ErrorCode::kDeadlineExceeded,
                       "the expected wait exceeds the deadline", wait);
  }
  if (settings_.admission && capacity.running_limit > 0) {
    ObserveLoad(&service, capacity);
    const auto retry_after = call.attained_tokens == 0
                                 ? service.admission.Refuse(call, now)
                                 : std::nullopt;
    if (retry_after) {
      return MakeRefusal(core::ErrorCode::kOverloaded,
                         "the service is overloaded and admits fewer programs",
                         *retry_after);
    }
  }
  const QueueKey key(RankOf(call), arrivals_++);
  queued_keys_[call.id] = {call.service, key};
  service.queue.emplace(key, Queued{call, now});
  ++queued_;
  return std::monostate{};
}

void SharedScheduler::ObserveLoad(Service* service,
                                  const SharedPool::Capacity& capacity) const {
  // The queues of the other instances are not known; they count as equally
  // long.
  const auto queued = static_cast<double>(service->queue.size() * instances_);
  service->admission.Observe({capacity.running_limit, capacity.load, queued});
}

std::vector<SharedScheduler::Admission> SharedScheduler::Admissions(
    core::TimePoint now) const {
  std::vector<Admission> all;
  for (const auto& [id, service] : services_) {
    const AdmissionController& it = service.admission;
    all.push_back(
        {id, it.IsRefusing(now), it.usable(), it.StretchAt(now), it.refused()});
  }
  return all;
}

std::string SharedScheduler::ProposeVersion(const CallRequest& call,
                                            core::TimePoint now) {
  return ServiceOf(call.service).pool.ProposeVersion(call, now);
}

std::set<std::string> SharedScheduler::Versions(
    const core::ServiceId& service) {
  return ServiceOf(service).pool.Versions();
}

bool SharedScheduler::Cancel(CallId call) {
  const auto it = queued_keys_.find(call);
  if (it == queued_keys_.end()) {
    return false;
  }
  ServiceOf(it->second.first).queue.erase(it->second.second);
  queued_keys_.erase(it);
  --queued_;
  return true;
}

void SharedScheduler::SetInstanceCount(size_t instances, core::TimePoint now) {
  instances_ = instances;
  for (auto& [id, service] : services_) {
    service.pool.SetInstanceCount(instances, now);
  }
}

bool SharedScheduler::TakeRepeat(CallId call, core::TimePoint now) {
  const auto it = running_.find(call);
  return it == running_.end() || ServiceOf(it->second.service)
                                     .pool.TakeRepeat(it->second.upstream, now);
}

void SharedScheduler::SetUpstream(const UpstreamState& state,
                                  core::TimePoint now) {
  const auto it = service_of_.find(state.id);
  if (it != service_of_.end() && it->second != state.service) {
    RemoveUpstream(state.id);
  }
  service_of_[state.id] = state.service;
  ServiceOf(state.service).pool.Set(state, now);
}

void SharedScheduler::RemoveUpstream(const core::UpstreamId& upstream) {
  const auto it = service_of_.find(upstream);
  if (it == service_of_.end()) {
    return;
  }
  ServiceOf(it->second).pool.Remove(upstream);
  service_of_.erase(it);
}

void SharedScheduler::OnReport(const core::UpstreamId& upstream,
                               const LoadReport& report) {
  const auto it = service_of_.find(upstream);
  if (it != service_of_.end()) {
    ServiceOf(it->second).pool.OnReport(upstream, report);
  }
}

void SharedScheduler::OnSlowdown(const core::UpstreamId& upstream,
                                 double slowdown, core::TimePoint taken_at) {
  const auto it = service_of_.find(upstream);
  if (it != service_of_.end()) {
    ServiceOf(it->second).pool.OnSlowdown(upstream, slowdown, taken_at);
  }
}

size_t SharedScheduler::SlowCount(core::TimePoint now) const {
  size_t count = 0;
  for (const auto& [id, service] : services_) {
    count += service.pool.SlowCount(now);
  }
  return count;
}

void SharedScheduler::Suspend(const core::UpstreamId& upstream,
                              core::TimePoint now) {
  const auto it = service_of_.find(upstream);
  if (it != service_of_.end()) {
    ServiceOf(it->second).pool.Suspend(upstream, now);
  }
}

void SharedScheduler::Resume(const core::UpstreamId& upstream) {
  const auto it = service_of_.find(upstream);
  if (it != service_of_.end()) {
    ServiceOf(it->second).pool.Resume(upstream);
  }
}

std::vector<core::UpstreamId> SharedScheduler::DueChecks(
    core::TimePoint now) const {
  std::vector<core::UpstreamId> due;
  for (const auto& [id, service] : services_) {
    const auto of_service = service.pool.DueChecks(now);
    due.insert(due.end(), of_service.begin(), of_service.end());
  }
  return due;
}

bool SharedScheduler::HasSuspended() const { return SuspendedCount() > 0; }

bool SharedScheduler::IsSuspended(const core::UpstreamId& upstream) const {
  const auto it = service_of_.find(upstream);
  return it != service_of_.end() &&
         services_.at(it->second).pool.IsSuspended(upstream);
}

size_t SharedScheduler::SuspendedCount() const {
  size_t count = 0;
  for (const auto& [id, service] : services_) {
    count += service.pool.SuspendedCount();
  }
  return count;
}

void SharedScheduler::OnFinished(const CallResult& result,
                                 core::TimePoint now) {
  const auto it = running_.find(result.call);
  if (it == running_.end()) {
    return;
  }
  const Running running = std::move(it->second);
  running_.erase(it);
  Service& service = ServiceOf(running.service);
  const std::chrono::duration<double> ran = now - running.since;
  service.pool.End(running.upstream, result, ran, now);
  if (result.outcome == CallOutcome::kSucceeded) {
    ObserveLoad(&service, service.pool.CapacityAt(now));
    service.admission.OnTurn({running.queued, ran, running.tokens_to_read,
                              result.output_tokens, running.begun},
                             now);
  }
}

std::vector<Dispatch> SharedScheduler::Next(core::TimePoint now) {
  std::vector<Dispatch> dispatches;
  lacking_memory_ = 0;
  for (auto& [id, service] : services_) {
    size_t passed_over = 0;
    // Versions whose upstreams are all full. Calls that continue streams come
    // first; they also wait for suspended upstreams, which others do not.
    std::set<std::string> full;
    bool continued = true;
    for (auto it = service.queue.begin(); it != service.queue.end();) {
      const CallRequest& call = it->second.call;
      if (call.deadline && now >= *call.deadline) {
        // The process may have been suspended while the call waited.
        it = Refuse(&service.queue, it, NoRoom(service, now));
        continue;
      }
      if (std::exchange(continued, call.continues_stream) &&
          !call.continues_stream) {
        full.clear();
      }
      if (call.software_version && full.contains(*call.software_version)) {
        ++it;
        continue;
      }
      if (!service.pool.HasVersionFor(call)) {
        it = Refuse(&service.queue, it, NoVersion());
        continue;
      }
      if (!service.pool.CanHold(call)) {
        it = Refuse(&service.queue, it, TooLarge());
        continue;
      }
      const auto upstream = service.pool.Choose(call, now);
      if (!upstream && service.pool.lacked_memory()) {
        // Smaller calls may fit meanwhile.
        service.pool.HoldMemory(call, now);
        ++lacking_memory_;
        if (++passed_over >= kMaxPassedOver) {
          break;
        }
        ++it;
        continue;
      }
      if (!upstream) {
        if (!call.software_version) {
          break;
        }
        full.insert(*call.software_version);
        if (full.size() >= service.pool.Versions().size()) {
          break;
        }
        ++it;
        continue;
      }
      service.pool.Start(*upstream, call, now);
      running_[call.id] = {id,
                           *upstream,
                           now,
                           now - it->second.since,
                           service.pool.TokensToRead(*upstream, call),
                           call.attained_tokens > 0};
      dispatches.push_back({call.id, *upstream, false, 0});
      queued_keys_.erase(call.id);
      it = service.queue.erase(it);
      --queued_;
    }
  }
  return dispatches;
}

SharedScheduler::Queue::iterator SharedScheduler::Refuse(Queue* queue,
                                                         Queue::iterator it,
                                                         core::Error error) {
  const CallId call = it->second.call.id;
  refused_.push_back({call, std::move(error)});
  queued_keys_.erase(call);
  --queued_;
  return queue->erase(it);
}

core::Error SharedScheduler::NoRoom(const Service& service,
                                    core::TimePoint now) const {
  const bool is_unreachable = service.pool.IsUnreachable();
  return MakeRefusal(is_unreachable ? core::ErrorCode::kUnavailable
                                    : core::ErrorCode::kOverloaded,
                     is_unreachable ? "no upstream of the service is reachable"
                                    : "no upstream had room in time",
                     ExpectedWait(service, service.pool.CapacityAt(now),
                                  service.queue.size()));
}

void SharedScheduler::RefuseBeyondLimits(Service* service,
                                         core::TimePoint now) {
  const SharedPool::Capacity capacity = service->pool.CapacityAt(now);
  if (!capacity.IsRateBound()) {
    return;
  }
  size_t ahead = 0;
  for (auto it = service->queue.begin(); it != service->queue.end();) {
    const auto queued = core::MillisecondsBetween(it->second.since, now);
    const auto wait = ExpectedWait(*service, capacity, ahead);
    if (IsTooLate(*service, it->second.call, queued, wait - kLimitWaitMargin,
                  now)) {
      it = Refuse(&service->queue, it,
                  LimitRefusal(service, it->second.call, capacity, now));
      continue;
    }
    ++ahead;
    ++it;
  }
}

std::vector<Refusal> SharedScheduler::TakeRefused(core::TimePoint now) {
  for (auto& [id, service] : services_) {
    if (service.queue.empty()) {
      continue;
    }
    RefuseBeyondLimits(&service, now);
    for (auto it = service.queue.begin(); it != service.queue.end();) {
      const CallRequest& call = it->second.call;
      const bool first = call.attained_tokens == 0;
      const bool late =
          first && now - it->second.since > settings_.max_first_wait;
      if (!late && (!call.deadline || now < *call.deadline)) {
        ++it;
        continue;
      }
      it = Refuse(&service.queue, it, NoRoom(service, now));
    }
  }
  return std::exchange(refused_, {});
}

std::optional<core::TimePoint> SharedScheduler::NextWakeUp(
    core::TimePoint now) const {
  if (queued_ == 0) {
    return std::nullopt;
  }
  return now + kRecheckInterval;
}

}  // namespace hawthorn::scheduling

#include "scheduling/service_scheduler.h"

#include <algorithm>
#include <utility>

namespace hawthorn::scheduling {
namespace {

/// Maximum number of calls at the head of the queue that are skipped because no
/// upstream with room may run them.
constexpr size_t kMaxSkipped = 64;
constexpr double kRunSmoothing = 0.05;
constexpr std::chrono::milliseconds kMinRetryAfter{200};

core::Error MakeRefusal(core::ErrorCode code, const char* message,
                        std::chrono::duration<double> retry_after) {
  core::Error error;
  error.code = code;
  error.message = message;
  error.execution = core::Execution::kNotRun;
  error.retry_after = std::max(
      kMinRetryAfter,
      std::chrono::duration_cast<std::chrono::milliseconds>(retry_after));
  return error;
}

}  // namespace

ServiceScheduler::ServiceScheduler(const SchedulerSettings& settings)
    : settings_(settings),
      queue_(MakePolicy(PolicySettings())),
      pool_(settings.zone) {}

std::chrono::duration<double> ServiceScheduler::ExpectedWait(
    bool interactive) const {
  const bool head_start = interactive && queue_.placement().manages_cache;
  const size_t ahead = head_start ? queue_.interactive() : queue_.size();
  const double capacity =
      static_cast<double>(std::max<uint64_t>(1, pool_.capacity()));
  return std::chrono::duration<double>(static_cast<double>(ahead) *
                                       mean_run_seconds_ / capacity);
}

core::Status ServiceScheduler::Enqueue(const CallRequest& call,
                                       core::TimePoint now,
                                       SchedulerCounters& counters) {
  if (running_.contains(call.id)) {
    core::Error error;
    error.code = core::ErrorCode::kInvalidArgument;
    error.message = "the call id is in use";
    return error;
  }
  const auto wait = ExpectedWait(call.interactive);
  if (queue_.CountOf(call.organisation) >=
      settings_.max_queued_per_organisation) {
    ++counters.refused_backlog;
    return MakeRefusal(core::ErrorCode::kOverloaded,
                       "the organisation's backlog at this service is full",
                       wait);
  }
  if (call.attained_tokens == 0 && wait > settings_.max_expected_wait) {
    ++counters.refused_backlog;
    return MakeRefusal(core::ErrorCode::kOverloaded,
                       "the service is overloaded and takes no new program",
                       wait - settings_.max_expected_wait);
  }
  if (call.deadline && now + wait >= *call.deadline) {
    ++counters.refused_deadline;
    return MakeRefusal(core::ErrorCode::kDeadlineExceeded,
                       "the expected wait exceeds the deadline",
                       now + wait - *call.deadline);
  }
  queue_.Push(call, pool_.Home(call.prefix), now);
  ++counters.enqueued;
  return std::monostate{};
}

void ServiceScheduler::Next(core::TimePoint now, std::vector<Dispatch>& out,
                            SchedulerCounters& counters) {
  pool_.Advance(now);
  if (isolation_ && !isolation_->busy && queue_.isolated() == 0) {
    EndIsolation(now);
  }
  while (!queue_.empty() && (pool_.HasRoom() || isolation_)) {
    const std::optional<Choice> choice = Choose(now);
    if (!choice) {
      return;
    }
    const Placement& placement = choice->placement;
    StartRunning(*choice, now);
    pool_.Start(placement.slot, now);
    ++counters.dispatched;
    counters.spilled += placement.crosses_zone ? 1 : 0;
    out.push_back({choice->call, pool_.Name(placement.slot),
                   placement.crosses_zone, placement.cached_tokens});
  }
}

void ServiceScheduler::StartRunning(const Choice& choice, core::TimePoint now) {
  const QueuedCall* call = queue_.Find(choice.call);
  Running& running = running_[choice.call];
  running.slot = choice.placement.slot;
  running.incarnation = pool_.Incarnation(choice.placement.slot);
  running.started = now;
  running.upstream = pool_.Name(choice.placement.slot);
  running.program = call->request.program;
  running.isolated = call->request.isolate;
  if (running.isolated) {
    isolation_->busy = true;
  }
  queue_.TakeForDispatch(choice.call);
}

std::optional<ServiceScheduler::Choice> ServiceScheduler::Choose(
    core::TimePoint now) {
  const PlacementRules rules = queue_.placement();
  std::optional<Choice> first;
  double first_rank = 0;
  size_t skipped = 0;
  queue_.ForEach([&](QueuedCall& call) {
    const auto placement = call.request.isolate
                               ? PlaceIsolated(call.request, now)
                               : pool_.Choose(call.request, rules);
    if (!placement) {
      return ++skipped < kMaxSkipped;
    }
    first = Choice{call.request.id, *placement};
    first_rank = call.rank;
    return false;
  });
  if (!first || !rules.affinity || queue_.Find(first->call)->request.isolate) {
    return first;
  }
  // The first call yields the upstream to a call that has more of its prompt
  // cached there.
  const size_t slot = first->placement.slot;
  const QueuedCall* local = queue_.FirstAtHome(slot);
  const bool is_better =
      local != nullptr && local->rank <= first_rank + rules.home_rank_slack &&
      !local->request.isolate && pool_.Admits(slot, local->request);
  if (!is_better) {
    return first;
  }
  const int64_t cached = pool_.CachedTokens(slot, local->request.prefix);
  if (cached <= first->placement.cached_tokens) {
    return first;
  }
  return Choice{local->request.id,
                {slot, first->placement.crosses_zone, cached}};
}

std::optional<Placement> ServiceScheduler::PlaceIsolated(
    const CallRequest& call, core::TimePoint now) {
  if (isolation_ && isolation_->busy) {
    return std::nullopt;
  }
  if (isolation_ &&
      !pool_.IsUsable(isolation_->slot, isolation_->incarnation)) {
    EndIsolation(now);
  }
  if (!isolation_) {
    const std::optional<size_t> slot = pool_.Reserve(call, now);
    if (!slot) {
      return std::nullopt;
    }
    isolation_ = Isolation{*slot, pool_.Incarnation(*slot), false};
  }
  if (!pool_.IsIdle(isolation_->slot)) {
    return std::nullopt;
  }
  return Placement{isolation_->slot, pool_.CrossesZone(isolation_->slot), 0};
}

void ServiceScheduler::EndIsolation(core::TimePoint now) {
  if (isolation_) {
    pool_.Unreserve(isolation_->slot, isolation_->incarnation, now);
  }
  isolation_.reset();
}

void ServiceScheduler::TakeRefused(core::TimePoint now,
                                   std::vector<Refusal>& out,
                                   SchedulerCounters& counters) {
  for (const CallId call : queue_.Expired(now)) {
    queue_.Erase(call);
    ++counters.refused_deadline;
    out.push_back({call, MakeRefusal(core::ErrorCode::kDeadlineExceeded,
                                     "the deadline passed in the queue",
                                     ExpectedWait(false))});
  }
}

std::optional<ServiceScheduler::Running> ServiceScheduler::Finish(
    const CallResult& result, core::TimePoint now) {
  const auto it = running_.find(result.call);
  if (it == running_.end()) {
    return std::nullopt;
  }
  Running running = std::move(it->second);
  running_.erase(it);
  pool_.End(running.slot, running.incarnation, result, now);
  if (running.isolated) {
    EndIsolation(now);
  }
  if (result.outcome == CallOutcome::kSucceeded) {
    const double seconds =
        std::chrono::duration<double>(now - running.started).count();
    mean_run_seconds_ += (mean_run_seconds_ == 0 ? 1 : kRunSmoothing) *
                         (seconds - mean_run_seconds_);
  }
  return running;
}

void ServiceScheduler::SetPolicy(const PolicySettings& settings,
                                 core::TimePoint now) {
  queue_.SetPolicy(MakePolicy(settings));
  pool_.SetHealthControl(settings.health, now);
}

std::optional<core::TimePoint> ServiceScheduler::NextWakeUp() const {
  if (queue_.empty()) {
    return std::nullopt;
  }
  std::optional<core::TimePoint> next = pool_.NextEvent();
  const std::optional<core::TimePoint> deadline = queue_.NextDeadline();
  if (deadline && (!next || *deadline < *next)) {
    next = deadline;
  }
  return next;
}

}  // namespace hawthorn::scheduling

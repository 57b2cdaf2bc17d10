#include "scheduling/compare/simulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "scheduling/compare/idle_latency.h"

namespace hawthorn::scheduling::compare {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportPeriod{1000};
constexpr milliseconds kReportLag{400};
constexpr milliseconds kEventPeriod{250};
constexpr milliseconds kListingLag{500};
constexpr milliseconds kUnreachableDelay{20};
constexpr milliseconds kCallTimeout{120000};
constexpr uint32_t kMaxRefusals = 6;
/// Runs last at most this multiple of their duration, so that programs that
/// started within the duration can end.
constexpr int kDrainFactor = 4;
constexpr size_t kHistoryPoints = 4;
constexpr double kSlowdown = 4;
constexpr double kLostEventShare = 0.1;
/// Interval at which the failure probability of kSlowFailure rises, and the
/// increment.
constexpr milliseconds kFailureRisePeriod{10000};
constexpr double kFailureRise = 0.1;

uint64_t HistoryHash(size_t program, size_t step) {
  return (uint64_t{1} << 40) + (static_cast<uint64_t>(program) << 12) + step;
}

}  // namespace

Simulation::Simulation(const Traffic& traffic, const RunOptions& options)
    : traffic_(traffic),
      options_(options),
      programs_(traffic.programs.size()),
      random_(options.seed),
      start_(std::chrono::seconds(1000)),
      now_(start_),
      wake_up_(core::TimePoint::max()) {
  SchedulerSettings settings;
  settings.zone = core::ZoneId("a");
  settings.seed = options.seed;
  scheduler_ = MakeScheduler(settings);
  AddUpstreams();
}

void Simulation::AddUpstreams() {
  for (const ProfileService& service : options_.profile.services) {
    const core::ServiceId id(service.id);
    scheduler_->SetPolicy(id, options_.policy, now_);
    for (size_t n = 0; n < service.upstreams; ++n) {
      UpstreamState state;
      state.id = core::UpstreamId(absl::StrCat(service.id, "-", n));
      state.service = id;
      state.zone = core::ZoneId("a");
      state.max_running = service.engine.max_running;
      state.cache_tokens = service.engine.cache_tokens;
      upstream_index_[state.id] = upstreams_.size();
      upstreams_.emplace_back(state.id, id, service.engine);
      scheduler_->SetUpstream(state, now_);
    }
  }
}

RunResult Simulation::Run() {
  ScheduleStarts();
  ScheduleReports();
  if (options_.fault != Fault::kNone) {
    events_.At(start_ + options_.duration / 3, [this] { BeginFault(); });
  }
  const bool drains = options_.closed_loop == 0;
  const auto length = options_.duration * (drains ? kDrainFactor : 1);
  const core::TimePoint end = start_ + length;
  while (!events_.empty() && events_.next_time() <= end &&
         (open_programs_ > 0 || now_ < start_ + options_.duration)) {
    auto [time, action] = events_.Pop();
    now_ = time;
    action();
    RunScheduler();
  }
  return Collect();
}

void Simulation::ScheduleStarts() {
  if (options_.closed_loop > 0) {
    for (size_t n = 0; n < options_.closed_loop; ++n) {
      StartNextClosedLoopProgram();
    }
    return;
  }
  for (size_t n = 0; n < traffic_.programs.size(); ++n) {
    if (!traffic_.programs[n].is_child) {
      events_.At(start_ + traffic_.programs[n].start,
                 [this, n] { StartProgram(n); });
    }
  }
}

void Simulation::StartNextClosedLoopProgram() {
  while (next_program_ < traffic_.programs.size() &&
         traffic_.programs[next_program_].is_child) {
    ++next_program_;
  }
  if (next_program_ < traffic_.programs.size()) {
    StartProgram(next_program_++);
  }
}

void Simulation::ScheduleReports() {
  for (size_t n = 0; n < upstreams_.size(); ++n) {
    events_.At(start_ + kReportPeriod, [this, n] { ReportLoad(n); });
    events_.At(start_ + kEventPeriod, [this, n] { DeliverCacheEvents(n); });
  }
}

const TrafficStep& Simulation::StepOf(size_t index) const {
  return traffic_.programs[index].steps[programs_[index].step];
}

void Simulation::StartProgram(size_t index) {
  programs_[index].started = now_;
  ++open_programs_;
  EnqueueCall(index);
}

CallRequest Simulation::MakeRequest(size_t index, CallId id) const {
  const TrafficProgram& program = traffic_.programs[index];
  const Program& state = programs_[index];
  const TrafficStep& step = StepOf(index);
  CallRequest call;
  call.id = id;
  call.program = core::ProgramId(program.id);
  call.organisation = core::OrganisationId(program.organisation);
  call.organisation_weight = program.organisation_weight;
  call.service_class = program.service_class;
  call.class_weight = program.class_weight;
  call.interactive = program.interactive;
  call.service = core::ServiceId(step.service);
  call.max_output_tokens = 2 * step.output_tokens;
  call.attained_tokens =
      state.has_parent ? programs_[state.parent].attained : state.attained;
  call.deadline = now_ + kCallTimeout;
  call.excluded = state.excluded;
  if (step.new_prompt_tokens > 0) {
    call.prompt_tokens =
        program.shared.tokens + state.history_tokens + step.new_prompt_tokens;
    if (program.shared.tokens > 0) {
      call.prefix.push_back(program.shared);
    }
    call.prefix.insert(call.prefix.end(), state.history.begin(),
                       state.history.end());
  }
  return call;
}

void Simulation::EnqueueCall(size_t index) {
  const CallId id = next_call_++;
  const core::Status status = scheduler_->Enqueue(MakeRequest(index, id), now_);
  if (!core::IsOk(status)) {
    OnRefused(index, core::ErrorOf(status));
    return;
  }
  calls_[id] = {index, 0, false};
}

void Simulation::OnRefused(size_t index, const core::Error& error) {
  Program& program = programs_[index];
  if (++program.refusals > kMaxRefusals) {
    EndProgram(index, false);
    return;
  }
  const auto delay = error.retry_after.value_or(milliseconds(1000));
  events_.At(now_ + delay, [this, index] { EnqueueCall(index); });
}

void Simulation::RunScheduler() {
  for (const Refusal& refusal : scheduler_->TakeRefused(now_)) {
    const size_t index = calls_[refusal.call].program;
    calls_.erase(refusal.call);
    OnRefused(index, refusal.error);
  }
  for (const Dispatch& dispatch : scheduler_->Next(now_)) {
    Send(dispatch);
  }
  const auto wake_up = scheduler_->NextWakeUp(now_);
  if (wake_up && (wake_up_ <= now_ || *wake_up < wake_up_)) {
    wake_up_ = std::max(*wake_up, now_ + milliseconds(1));
    events_.At(wake_up_, [] {});
  }
}

bool Simulation::FaultActive() const {
  return now_ >= start_ + options_.duration / 3 &&
         now_ < start_ + 2 * options_.duration / 3;
}

bool Simulation::FailsByFault(size_t upstream) {
  if (upstream != 0 || !FaultActive()) {
    return false;
  }
  if (options_.fault == Fault::kUpstreamDies) {
    return true;
  }
  if (options_.fault != Fault::kSlowFailure) {
    return false;
  }
  const auto since = now_ - start_ - options_.duration / 3;
  const auto rises = since / kFailureRisePeriod + 1;
  const double probability =
      std::min(0.9, kFailureRise * static_cast<double>(rises));
  return std::bernoulli_distribution(probability)(random_);
}

void Simulation::Send(const Dispatch& dispatch) {
  const size_t upstream = upstream_index_[dispatch.upstream];
  Call& call = calls_[dispatch.call];
  call.upstream = upstream;
  call.sent = true;
  const CallId id = dispatch.call;
  if (FailsByFault(upstream)) {
    ++result_.fault_events;
    events_.At(now_ + kUnreachableDelay, [this, id] { FailCall(id); });
    return;
  }
  const size_t index = call.program;
  const TrafficStep& step = StepOf(index);
  const CallRequest request = MakeRequest(index, id);
  EngineRequest sent;
  sent.call = id;
  sent.prefix = request.prefix;
  sent.prompt_tokens = request.prompt_tokens;
  sent.output_tokens = step.output_tokens;
  if (request.prompt_tokens > 0) {
    sent.produced = {HistoryHash(index, programs_[index].step),
                     request.prompt_tokens + step.output_tokens};
  }
  upstreams_[upstream].engine.Submit(sent, now_);
  StepEngine(upstream);
}

void Simulation::StepEngine(size_t upstream) {
  const auto end = upstreams_[upstream].engine.BeginStep(now_);
  if (!end) {
    return;
  }
  events_.At(*end, [this, upstream] {
    for (const EngineDone& done : upstreams_[upstream].engine.EndStep(now_)) {
      OnDone(done);
    }
    StepEngine(upstream);
  });
}

void Simulation::OnDone(const EngineDone& done) {
  const auto it = calls_.find(done.call);
  if (it == calls_.end()) {
    return;
  }
  const size_t index = it->second.program;
  calls_.erase(it);
  CallResult result;
  result.call = done.call;
  result.prompt_tokens = done.prompt_tokens;
  result.cached_tokens = done.cached_tokens;
  result.output_tokens = done.output_tokens;
  result.produced = done.produced;
  scheduler_->OnFinished(result, now_);
  result_.prompt_tokens += done.prompt_tokens;
  result_.cached_tokens += done.cached_tokens;
  Program& program = programs_[index];
  const int64_t served = done.prompt_tokens + done.output_tokens;
  program.attained += served;
  if (program.has_parent) {
    programs_[program.parent].attained += served;
  }
  const TrafficStep& step = StepOf(index);
  program.history_tokens += step.new_prompt_tokens;
  if (step.new_prompt_tokens > 0) {
    program.history_tokens += step.output_tokens;
  }
  if (done.produced) {
    program.history.push_back(*done.produced);
    if (program.history.size() > kHistoryPoints) {
      program.history.erase(program.history.begin());
    }
  }
  AdvanceProgram(index);
}

void Simulation::FailCall(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  const Call call = it->second;
  calls_.erase(it);
  ++result_.failed_attempts;
  CallResult result;
  result.call = id;
  result.outcome = CallOutcome::kFailed;
  scheduler_->OnFinished(result, now_);
  Program& program = programs_[call.program];
  program.excluded.push_back(upstreams_[call.upstream].id);
  RetryRequest retry;
  const TrafficProgram& traffic = traffic_.programs[call.program];
  retry.organisation = core::OrganisationId(traffic.organisation);
  retry.service = core::ServiceId(StepOf(call.program).service);
  retry.attempts = ++program.attempts;
  const auto delay = scheduler_->RetryDelay(retry, now_);
  if (!core::IsOk(delay)) {
    EndProgram(call.program, false);
    return;
  }
  events_.At(now_ + core::Value(delay),
             [this, index = call.program] { EnqueueCall(index); });
}

void Simulation::AdvanceProgram(size_t index) {
  Program& program = programs_[index];
  program.attempts = 0;
  program.refusals = 0;
  program.excluded.clear();
  const TrafficStep& step = StepOf(index);
  for (const size_t child : step.children) {
    programs_[child].parent = index;
    programs_[child].has_parent = true;
    ++program.open_children;
  }
  for (const size_t child : step.children) {
    StartProgram(child);
  }
  if (program.open_children == 0 && step.children.empty()) {
    ContinueAfterChildren(index);
  }
}

void Simulation::ContinueAfterChildren(size_t index) {
  Program& program = programs_[index];
  if (program.ended) {
    return;
  }
  if (++program.step >= traffic_.programs[index].steps.size()) {
    EndProgram(index, true);
    return;
  }
  const milliseconds pause = StepOf(index).pause;
  events_.At(now_ + pause, [this, index] { EnqueueCall(index); });
  if (pause.count() == 0) {
    return;
  }
  const PauseDecision decision = scheduler_->OnPause(
      core::ProgramId(traffic_.programs[index].id), pause, now_);
  if (decision.action == PauseAction::kDrop) {
    return;
  }
  FakeEngine& engine = upstreams_[upstream_index_[decision.upstream]].engine;
  if (decision.action == PauseAction::kKeep) {
    engine.Pin(decision.prefix.hash, now_ + decision.lease);
  } else {
    engine.Export(decision.prefix, now_);
  }
}

void Simulation::EndProgram(size_t index, bool success) {
  Program& program = programs_[index];
  program.ended = true;
  --open_programs_;
  const TrafficProgram& traffic = traffic_.programs[index];
  for (const CachedPrefix& drop :
       scheduler_->OnProgramEnded(core::ProgramId(traffic.id), now_)) {
    upstreams_[upstream_index_[drop.upstream]].engine.Drop(drop.prefix.hash,
                                                           now_);
  }
  if (program.has_parent) {
    Program& parent = programs_[program.parent];
    if (--parent.open_children == 0) {
      ContinueAfterChildren(program.parent);
    }
    return;
  }
  if (options_.closed_loop > 0) {
    StartNextClosedLoopProgram();
  }
  if (now_ >= start_ + options_.warm_up && now_ < start_ + options_.duration &&
      success) {
    result_.goodput += 1;
  }
  if (program.started < start_ + options_.warm_up) {
    return;
  }
  ++result_.programs;
  if (!success) {
    ++result_.failed_programs;
    return;
  }
  const double seconds =
      std::chrono::duration<double>(now_ - program.started).count();
  result_.latencies.push_back(seconds);
  result_.stretches.push_back(
      seconds / IdleLatency(traffic_, options_.profile, index).count());
  result_.by_class[traffic.service_class].push_back(seconds);
}

void Simulation::ReportLoad(size_t upstream) {
  events_.At(now_ + kReportPeriod, [this, upstream] { ReportLoad(upstream); });
  if (options_.fault == Fault::kReportsStop && FaultActive()) {
    ++result_.fault_events;
    return;
  }
  const FakeEngine& engine = upstreams_[upstream].engine;
  LoadReport report;
  report.taken_at = now_;
  report.running = engine.running();
  report.waiting = engine.waiting();
  report.cached_tokens = engine.cached_tokens();
  events_.At(now_ + kReportLag, [this, upstream, report] {
    scheduler_->OnReport(upstreams_[upstream].id, report, now_);
  });
}

void Simulation::DeliverCacheEvents(size_t upstream) {
  events_.At(now_ + kEventPeriod,
             [this, upstream] { DeliverCacheEvents(upstream); });
  SendCacheEvents(upstream);
}

void Simulation::SendCacheEvents(size_t upstream) {
  FakeEngine& engine = upstreams_[upstream].engine;
  CacheSync sync = CacheSync::kApplied;
  for (const CacheEvent& event : engine.TakeEvents()) {
    const bool lost = options_.fault == Fault::kCacheGap && FaultActive() &&
                      std::bernoulli_distribution(kLostEventShare)(random_);
    if (lost) {
      ++result_.fault_events;
      continue;
    }
    sync = scheduler_->OnCacheEvent(upstreams_[upstream].id, event, now_);
  }
  if (sync != CacheSync::kNeedsListing) {
    return;
  }
  events_.At(now_ + kListingLag, [this, upstream] {
    Upstream& it = upstreams_[upstream];
    it.engine.TakeEvents();
    scheduler_->OnCacheListing(it.id, it.engine.Listing(), now_);
  });
}

void Simulation::BeginFault() {
  if (options_.fault == Fault::kUpstreamDies) {
    for (const CallId call : upstreams_[0].engine.Crash(now_)) {
      ++result_.fault_events;
      FailCall(call);
    }
  }
  if (options_.fault == Fault::kSlowsDown) {
    ++result_.fault_events;
    upstreams_[0].engine.SetSlowdown(kSlowdown);
    events_.At(now_ + options_.duration / 3,
               [this] { upstreams_[0].engine.SetSlowdown(1); });
  }
}

RunResult Simulation::Collect() {
  const std::chrono::duration<double> counted =
      options_.duration - options_.warm_up;
  result_.goodput /= counted.count();
  for (const Upstream& it : upstreams_) {
    const EngineSettings& engine = it.engine.settings();
    if (engine.cache_tokens == 0) {
      continue;
    }
    const CacheWaste waste = it.engine.Waste(now_);
    result_.waste.idle_token_seconds += waste.idle_token_seconds;
    result_.waste.prefilled_again += waste.prefilled_again;
    const std::chrono::duration<double> prefill = engine.prefill_per_token;
    result_.wasted_engine_seconds +=
        waste.idle_token_seconds / static_cast<double>(engine.cache_tokens) +
        static_cast<double>(waste.prefilled_again) * prefill.count();
  }
  result_.counters = scheduler_->counters();
  std::sort(result_.latencies.begin(), result_.latencies.end());
  std::sort(result_.stretches.begin(), result_.stretches.end());
  for (auto& [name, samples] : result_.by_class) {
    std::sort(samples.begin(), samples.end());
  }
  return std::move(result_);
}

}  // namespace hawthorn::scheduling::compare

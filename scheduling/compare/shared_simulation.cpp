#include "scheduling/compare/shared_simulation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace hawthorn::scheduling::compare {

namespace {

using std::chrono::milliseconds;

constexpr size_t kZones = 3;
constexpr int kAttempts = 3;
constexpr int kLongTurns = 9;
constexpr int64_t kLongTurnTokens = 330;
constexpr int64_t kSharedPrefixTokens = 1000;
constexpr int64_t kOutputTokens = 75;
constexpr int64_t kMaxOutputTokens = 100;
constexpr milliseconds kIdleTurn{250};
constexpr milliseconds kTurnPause{24};
constexpr milliseconds kTargetMargin{200};
/// One way between an instance and an upstream.
constexpr milliseconds kWay{1};
constexpr milliseconds kCheckInterval{100};
constexpr int kEndlessTurns = 400;

EngineSettings Engine(uint32_t slots) {
  EngineSettings settings;
  settings.max_running = slots;
  settings.cache_tokens = 64385;
  settings.step_base = std::chrono::microseconds(2800);
  settings.step_per_sequence = std::chrono::microseconds(10);
  settings.prefill_per_token = std::chrono::nanoseconds(11765);
  return settings;
}

core::UpstreamId UpstreamName(size_t upstream) {
  return core::UpstreamId(std::to_string(upstream));
}

core::ZoneId ZoneName(size_t number) {
  return core::ZoneId(std::string(1, static_cast<char>('a' + number % kZones)));
}

}  // namespace

SharedSimulation::SharedSimulation(SharedLoad load)
    : load_(std::move(load)),
      random_(load_.seed),
      start_(std::chrono::hours(1)),
      now_(start_) {
  for (size_t n = 0; n < load_.upstreams; ++n) {
    engines_.push_back(std::make_unique<FakeEngine>(Engine(load_.slots)));
  }
  for (size_t i = 0; i < load_.instances; ++i) {
    SharedScheduler::Settings settings = load_.scheduler;
    settings.zone = ZoneName(i);
    settings.seed = load_.seed * 1000 + i;
    instances_.push_back({SharedScheduler(settings), {}});
    SharedScheduler& scheduler = instances_.back().scheduler;
    scheduler.SetInstanceCount(load_.instances, now_);
    for (size_t n = 0; n < load_.upstreams; ++n) {
      UpstreamState state;
      state.id = UpstreamName(n);
      state.service = core::ServiceId("llm");
      state.zone = ZoneName(n);
      state.max_running = load_.slots;
      state.cache_tokens = engines_[n]->settings().cache_tokens;
      scheduler.SetUpstream(state, now_);
    }
  }
}

double SharedSimulation::Chance() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

size_t SharedSimulation::PickInstance() {
  const auto others = static_cast<double>(load_.instances - 1);
  const double pick = Chance() * (others + load_.last_instance_weight);
  return std::min(load_.instances - 1, static_cast<size_t>(pick));
}

SharedResult SharedSimulation::Run(milliseconds from, milliseconds until) {
  from_ = from;
  until_ = until;
  ScheduleNextStart();
  events_.At(start_, [this] { CheckSuspended(); });
  if (load_.lost_until > load_.lost_from) {
    events_.At(start_ + load_.lost_from, [this] { LoseUpstreams(); });
  }
  while (!events_.empty() && events_.next_time() < start_ + load_.duration) {
    auto [time, action] = events_.Pop();
    now_ = time;
    action();
  }
  return result_;
}

void SharedSimulation::ScheduleNextStart() {
  const double mean_ms = 1000 / load_.rate(Since());
  const double wait =
      std::exponential_distribution<double>(1 / mean_ms)(random_);
  events_.At(
      now_ + std::chrono::microseconds(static_cast<int64_t>(wait * 1000)),
      [this] {
        StartProgram();
        ScheduleNextStart();
      });
}

void SharedSimulation::StartProgram() {
  Program program;
  program.started = now_;
  program.kind = static_cast<uint32_t>(random_() % load_.kinds);
  program.new_tokens = load_.prompt_tokens;
  if (Chance() < load_.long_share) {
    program.turns = kLongTurns;
    program.new_tokens = kLongTurnTokens;
  }
  program.has_long_prompts = Chance() < load_.long_prompt_share;
  if (program.has_long_prompts) {
    program.new_tokens = load_.long_prompt_tokens;
  }
  const auto reading =
      program.new_tokens * engines_[0]->settings().prefill_per_token;
  const auto idle = program.turns * (kIdleTurn + kTurnPause + reading);
  const auto allowed =
      std::chrono::duration_cast<milliseconds>(idle * (1.4 + 0.3 * Chance())) +
      kTargetMargin;
  program.target = now_ + allowed;
  program.last_credit = now_ + 2 * allowed;
  program.is_endless = Chance() < load_.endless_share;
  if (program.is_endless) {
    program.turns = kEndlessTurns;
  }
  program.prefix = {{1, kSharedPrefixTokens}};
  program.prompt_tokens = kSharedPrefixTokens;
  program.first_instance = PickInstance();
  programs_.push_back(std::move(program));
  SendTurn(programs_.size() - 1);
}

void SharedSimulation::SendTurn(size_t index) {
  Program& program = programs_[index];
  if (now_ >= program.last_credit && !program.is_endless) {
    EndProgram(index, true);
    return;
  }
  const bool is_first = program.turns_done == 0;
  const size_t instance = is_first && program.attempts == 0
                              ? program.first_instance
                              : PickInstance();
  const CallId id = next_call_++;
  CallRequest call;
  call.id = id;
  call.service = core::ServiceId("llm");
  call.program = core::ProgramId("p" + std::to_string(load_.seed) + "-" +
                                 std::to_string(index));
  call.priority = program.kind;
  call.prefix = program.prefix;
  call.prompt_tokens = program.prompt_tokens + program.new_tokens;
  call.prefix.push_back(
      {index * 1000 + static_cast<uint64_t>(program.turns_done) + 2,
       call.prompt_tokens});
  call.max_output_tokens = kMaxOutputTokens;
  // An endless program starts a sub-agent with each fourth turn.
  const bool starts_agent = program.is_endless && program.turns_done % 4 == 0;
  call.attained_tokens = is_first || starts_agent ? 0 : call.prompt_tokens;
  call.deadline =
      program.is_endless ? now_ + milliseconds(3000) : program.last_credit;
  call.program_deadline = program.target;
  calls_[id] = {index, instance, 0, *call.deadline};
  const core::Status status =
      instances_[instance].scheduler.Enqueue(call, now_);
  if (!core::IsOk(status)) {
    calls_.erase(id);
    const auto retry_after =
        core::ErrorOf(status).retry_after.value_or(milliseconds(100));
    (is_first ? result_.first_refusals : result_.turn_refusals)++;
    if (is_first) {
      ++result_.returns[(Since() + retry_after).count() / 10];
    }
    OnFailed(index, retry_after);
    return;
  }
  Pump(instance);
}

void SharedSimulation::OnFailed(size_t index, milliseconds retry_after) {
  Program& program = programs_[index];
  if (++program.attempts >= kAttempts) {
    EndProgram(index, false);
    return;
  }
  const auto left = core::MillisecondsBetween(now_, program.last_credit);
  const milliseconds own(100 + static_cast<int64_t>(Chance() * 300));
  const bool honoured = retry_after.count() > 0 && retry_after <= left / 3;
  events_.At(now_ + (honoured ? retry_after : own),
             [this, index] { SendTurn(index); });
}

void SharedSimulation::Pump(size_t index) {
  Instance& instance = instances_[index];
  for (const Dispatch& dispatch : instance.scheduler.Next(now_)) {
    Send(dispatch);
  }
  for (const Refusal& refusal : instance.scheduler.TakeRefused(now_)) {
    const size_t program = calls_.at(refusal.call).program;
    calls_.erase(refusal.call);
    ++result_.turn_refusals;
    OnFailed(program, refusal.error.retry_after.value_or(milliseconds(0)));
  }
  const auto next = instance.scheduler.NextWakeUp(now_);
  if (next && instance.wake_up <= now_) {
    instance.wake_up = *next;
    events_.At(*next, [this, index] { Pump(index); });
  }
}

void SharedSimulation::Send(const Dispatch& dispatch) {
  Call& call = calls_.at(dispatch.call);
  call.upstream = std::stoul(dispatch.upstream.text());
  const Program& program = programs_[call.program];
  EngineRequest request;
  request.call = dispatch.call;
  request.prompt_tokens = program.prompt_tokens + program.new_tokens;
  request.prefix = program.prefix;
  request.output_tokens = kOutputTokens;
  request.produced = {
      call.program * 1000 + static_cast<uint64_t>(program.turns_done) + 2,
      request.prompt_tokens};
  events_.At(now_ + kWay, [this, request, upstream = call.upstream] {
    if (IsLost(upstream)) {
      FailCall(request.call, CallOutcome::kUnreachable);
      return;
    }
    engines_[upstream]->Submit(request, now_);
    StepEngine(upstream);
  });
}

void SharedSimulation::StepEngine(size_t upstream) {
  const auto end = engines_[upstream]->BeginStep(now_);
  if (!end) {
    return;
  }
  events_.At(*end, [this, upstream] {
    for (const EngineDone& done : engines_[upstream]->EndStep(now_)) {
      events_.At(now_ + kWay, [this, done] { OnDone(done); });
    }
    engines_[upstream]->TakeEvents();
    StepEngine(upstream);
  });
}

void SharedSimulation::OnDone(const EngineDone& done) {
  const auto it = calls_.find(done.call);
  if (it == calls_.end()) {
    return;
  }
  const Call call = it->second;
  calls_.erase(it);
  SharedScheduler& scheduler = instances_[call.instance].scheduler;
  LoadReport report;
  report.taken_at = now_;
  report.running = engines_[call.upstream]->running();
  report.waiting = engines_[call.upstream]->waiting();
  CallResult result;
  result.call = done.call;
  result.prompt_tokens = done.prompt_tokens;
  result.output_tokens = done.output_tokens;
  result.produced = done.produced;
  scheduler.OnFinished(result, now_);
  scheduler.OnReport(UpstreamName(call.upstream), report);
  Program& program = programs_[call.program];
  if (done.produced) {
    program.prefix.push_back(*done.produced);
  }
  program.prompt_tokens = done.prompt_tokens;
  program.attempts = 0;
  if (++program.turns_done >= program.turns) {
    EndProgram(call.program, true);
  } else {
    events_.At(now_ + kTurnPause,
               [this, index = call.program] { SendTurn(index); });
  }
  Pump(call.instance);
}

void SharedSimulation::FailCall(CallId id, CallOutcome outcome) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  const Call call = it->second;
  calls_.erase(it);
  CallResult result;
  result.call = id;
  result.outcome = outcome;
  instances_[call.instance].scheduler.OnFinished(result, now_);
  OnFailed(call.program, milliseconds(0));
  Pump(call.instance);
}

bool SharedSimulation::IsLost(size_t upstream) const {
  return upstream % kZones == 1 && Since() >= load_.lost_from &&
         Since() < load_.lost_until;
}

void SharedSimulation::LoseUpstreams() {
  for (size_t n = 0; n < engines_.size(); ++n) {
    if (IsLost(n)) {
      for (const CallId call : engines_[n]->Crash(now_)) {
        FailCall(call, CallOutcome::kUnreachable);
      }
    }
  }
}

void SharedSimulation::CheckSuspended() {
  for (Instance& instance : instances_) {
    for (const core::UpstreamId& id : instance.scheduler.DueChecks(now_)) {
      if (IsLost(std::stoul(id.text()))) {
        instance.scheduler.Suspend(id, now_);
      } else {
        instance.scheduler.Resume(id);
      }
    }
  }
  events_.At(now_ + kCheckInterval, [this] { CheckSuspended(); });
}

void SharedSimulation::EndProgram(size_t index, bool success) {
  const Program& program = programs_[index];
  const auto started = core::MillisecondsBetween(start_, program.started);
  if (program.is_endless || started < from_ || started >= until_) {
    return;
  }
  const auto count = [&](SharedOutcome* outcome) {
    ++outcome->programs;
    if (success && now_ <= program.target) {
      ++outcome->on_time;
    } else if (success && now_ < program.last_credit) {
      ++outcome->late;
    } else {
      ++outcome->failed;
      outcome->lost += program.turns_done > 0 ? 1 : 0;
    }
  };
  count(&result_.all);
  count(&result_.by_kind[program.kind]);
  count(program.has_long_prompts ? &result_.long_prompts
                                 : &result_.short_prompts);
  if (program.first_instance + 1 == load_.instances) {
    count(&result_.at_last_instance);
  }
}

}  // namespace hawthorn::scheduling::compare

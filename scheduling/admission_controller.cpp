#include "scheduling/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>

namespace hawthorn::scheduling {

namespace {

using Seconds = std::chrono::duration<double>;

/// Prompt tokens that an engine reads in the time of one step.
constexpr double kTokensReadPerStep = 240;
/// Steps that stand for the part of a call that does not depend on its length.
constexpr double kFixedSteps = 8;
/// Calls for each slot below which the upstreams count as idle. Above
/// kBusyLoad, as a part of the usable slots, a long turn is taken for a sign of
/// overload; below, the upstream is slow for another reason.
constexpr double kIdleLoad = 0.6;
constexpr double kBusyLoad = 0.6;
/// The time of an idle step follows shorter turns faster, since even a lightly
/// loaded upstream delays some.
constexpr double kIdleSmoothingDown = 0.05;
constexpr double kIdleSmoothingUp = 0.01;

constexpr double kLowerFactor = 0.93;
/// Turns last a few hundred ms, so that the effect of a change shows later.
constexpr Seconds kLowerInterval{0.15};
constexpr double kRaisePerSecond = 0.05;

/// Time after which a kind without first calls no longer counts.
constexpr std::chrono::seconds kKindTime{2};
/// Time after a refusal for which less urgent kinds make room for others.
constexpr std::chrono::seconds kPressureTime{1};
/// Slots that are kept for the most urgent kind meanwhile, as a fraction. Less
/// than this, and the error of the load estimate hides the difference between
/// the kinds.
constexpr double kKindShift = 0.15;
/// Each further kind keeps this part of what the kind before it keeps.
constexpr double kKindShiftFactor = 0.67;
/// By how much each more urgent kind narrows the range of excess in which a
/// kind is admitted in part.
constexpr double kKindDivisor = 3;

constexpr std::chrono::seconds kProgramTime{60};
/// Time that a program without a deadline is given.
constexpr std::chrono::seconds kDefaultAllowance{5};
/// A program earns something until this multiple of its time.
constexpr int kCreditTimes = 2;
/// Part of the allowance that a program needs on idle upstreams.
constexpr double kNeededShare = 0.6;
/// By how much a program moves forward for each second since its refusal.
constexpr double kAgeing = 0.15;
/// By how much a program moves back that can no longer meet its target.
constexpr double kLatePenalty = 0.3;
/// Interval after which the order of the programs changes.
constexpr std::chrono::seconds kOrderTime{10};
constexpr double kGoldenRatio = 0.6180339887498949;

constexpr Seconds kRateHalfLife{1};
constexpr double kLeastRate = 0.5;
constexpr std::chrono::milliseconds kDefaultPatience{1000};

uint64_t Mix(uint64_t z) {
  // Finalizer of SplitMix64.
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31U);
}

/// Position of a call from 0 to 1 by its program. Equal on all instances, apart
/// from the time at which the order changes.
double HashPosition(const CallRequest& call, core::TimePoint now) {
  const uint64_t hash =
      call.program.empty() ? Mix(call.id + 1)
                           : Mix(std::hash<std::string>{}(call.program.text()));
  const auto round = now.time_since_epoch() / kOrderTime;
  const double position = static_cast<double>(hash >> 11U) * 0x1p-53 +
                          static_cast<double>(round) * kGoldenRatio;
  return position - std::floor(position);
}

double Decay(core::TimePoint from, core::TimePoint to, Seconds half_life) {
  return std::exp2(-std::max(0.0, Seconds(to - from).count()) /
                   half_life.count());
}

}  // namespace

double AdmissionController::StepsOf(const Turn& turn) {
  return kFixedSteps + static_cast<double>(turn.generated_tokens) +
         static_cast<double>(turn.tokens_to_read) / kTokensReadPerStep;
}

void AdmissionController::Observe(const Load& load) {
  if (load.slot_count <= 0) {
    return;
  }
  calls_per_slot_ = (load.calls + load.queued) / load.slot_count;
}

void AdmissionController::OnTurn(const Turn& turn, core::TimePoint now) {
  const double step = turn.run.count() / StepsOf(turn);
  if (calls_per_slot_ < kIdleLoad) {
    const double smoothing =
        step < idle_step_ ? kIdleSmoothingDown : kIdleSmoothingUp;
    idle_step_ =
        idle_step_ == 0 ? step : idle_step_ + smoothing * (step - idle_step_);
  }
  if (idle_step_ > 0 && turn.begun) {
    const double idle = idle_step_ * StepsOf(turn);
    stretch_.Add((turn.queued + turn.run).count() / idle - 1, now);
  }
  UpdateUsable(now);
}

void AdmissionController::UpdateUsable(core::TimePoint now) {
  const double passed =
      std::clamp(Seconds(now - updated_at_).count(), 0.0, 1.0);
  updated_at_ = now;
  const double stretch = stretch_.Value(now);
  if (stretch > kMaxStretch && calls_per_slot_ > kBusyLoad * usable_) {
    if (now - lowered_at_ >= kLowerInterval) {
      usable_ = std::max(kLeastUsable, usable_ * kLowerFactor);
      lowered_at_ = now;
    }
  } else if (stretch < kGoodStretch) {
    usable_ = std::min(1.0, usable_ + kRaisePerSecond * passed);
  }
}

void AdmissionController::NoteKind(uint32_t priority, core::TimePoint now) {
  kinds_[priority] = now;
  std::erase_if(kinds_,
                [now](const auto& it) { return now - it.second > kKindTime; });
}

double AdmissionController::FractionOf(uint32_t priority, core::TimePoint now,
                                       double full) const {
  double kept = 0;
  double shift = kKindShift;
  for (const auto& [kind, seen] : kinds_) {
    if (kind >= priority) {
      break;
    }
    if (now - seen <= kKindTime) {
      full /= kKindDivisor;
      kept += shift;
      shift *= kKindShiftFactor;
    }
  }
  const double excess =
      calls_per_slot_ / usable_ - 1 + (IsRefusing(now) ? kept : 0);
  return std::clamp(1 - excess / full, kLeastFraction, 1.0);
}

AdmissionController::Program& AdmissionController::Remember(
    const CallRequest& call, core::TimePoint now) {
  while (!oldest_.empty() && (now - oldest_.front().first > kProgramTime ||
                              oldest_.size() > kMaxPrograms)) {
    programs_.erase(oldest_.front().second);
    oldest_.pop_front();
  }
  const auto [it, added] = programs_.try_emplace(call.program);
  if (added) {
    oldest_.emplace_back(now, call.program);
    it->second.first_seen = now;
    if (call.program_deadline) {
      it->second.allowance =
          core::MillisecondsBetween(now, *call.program_deadline);
    }
  }
  return it->second;
}

double AdmissionController::PositionOf(const CallRequest& call,
                                       const Program& program,
                                       core::TimePoint now) {
  const double position = HashPosition(call, now);
  const Seconds age = now - program.first_seen;
  const Seconds allowance = program.allowance.value_or(kDefaultAllowance);
  return allowance - age < allowance * kNeededShare
             ? position + kLatePenalty
             : position - kAgeing * age.count();
}

std::optional<std::chrono::milliseconds> AdmissionController::Refuse(
    const CallRequest& call, core::TimePoint now) {
  NoteKind(call.priority, now);
  UpdateUsable(now);
  Program none{now, std::nullopt, std::nullopt};
  Program& program = call.program.empty() ? none : Remember(call, now);
  const auto allowance = program.allowance.value_or(kDefaultAllowance);
  // Sub-agents of an admitted program begin with a first call of their own. A
  // program that has spent its time competes with the new ones.
  const bool is_admitted = program.admitted_at && now - *program.admitted_at <
                                                      allowance * kCreditTimes;
  const bool is_plain = call.prompt_tokens == 0;
  const double fraction =
      FractionOf(call.priority, now, is_plain ? kFullPlainExcess : kFullExcess);
  if (!is_admitted && fraction < 1 &&
      PositionOf(call, program, now) >= fraction) {
    ++refused_;
    pressure_until_ = now + kPressureTime;
    return RetryAfter(call, now);
  }
  if (!is_admitted) {
    if (!program.admitted_at) {
      program.admitted_at = now;
    }
    admissions_ = admissions_ * Decay(admissions_at_, now, kRateHalfLife) + 1;
    admissions_at_ = now;
  }
  return std::nullopt;
}

double AdmissionController::AdmissionRate(core::TimePoint now) const {
  const double sum = admissions_ * Decay(admissions_at_, now, kRateHalfLife);
  return std::max(kLeastRate, sum * std::log(2.0) / kRateHalfLife.count());
}

std::chrono::milliseconds AdmissionController::RetryAfter(
    const CallRequest& call, core::TimePoint now) {
  std::chrono::milliseconds patience = kDefaultPatience;
  if (call.deadline) {
    patience =
        std::min(patience, core::MillisecondsBetween(now, *call.deadline) /
                               kCallerDivisor);
  }
  if (call.program_deadline) {
    patience = std::min(patience,
                        core::MillisecondsBetween(now, *call.program_deadline) /
                            kProgramDivisor);
  }
  patience = std::max(patience, kLeastRetryAfter);
  // While programs are refused, one is admitted for each that ends, so that the
  // rate of admissions is the rate at which room returns.
  const auto turn = std::chrono::duration_cast<core::TimePoint::duration>(
      Seconds(1 / AdmissionRate(now)));
  const core::TimePoint at = std::max(promised_until_, now) + turn;
  const auto wait = core::MillisecondsBetween(now, at);
  if (wait <= patience) {
    promised_until_ = at;
    return std::max(wait, kLeastRetryAfter);
  }
  // The turn comes too late for this caller, but other programs may end sooner
  // than the mean. Spread by the hash, since all callers would be told the same
  // time otherwise.
  const auto spread = patience - kLeastRetryAfter;
  return kLeastRetryAfter +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             spread * (0.5 + HashPosition(call, now) / 2));
}

std::optional<std::chrono::milliseconds> AdmissionController::AllowanceOf(
    const core::ProgramId& program) const {
  const auto it = programs_.find(program);
  return it == programs_.end() ? std::nullopt : it->second.allowance;
}

}  // namespace hawthorn::scheduling

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/clock.h"
#include "core/id.h"
#include "scheduling/call.h"
#include "scheduling/decaying_mean.h"

namespace hawthorn::scheduling {

/// Decides which programs an instance lets in while a service that many
/// instances share is overloaded. See docs/design/admission.md.
///
/// The admitted fraction follows from the calls that run or wait in excess of
/// the usable slots. Which part of the slots is usable is learned: it falls
/// quickly while the turns of admitted programs take longer than their targets
/// allow and rises slowly afterwards. Programs are ordered by a hash that all
/// instances share, so that retries get the same decision. Deterministic; `now`
/// must never decrease.
class AdmissionController {
 public:
  /// Calls of all instances on the service, as far as this one knows.
  struct Load {
    /// Calls that the upstreams run at the same time.
    double slot_count = 0;
    /// Calls that run or wait at the upstreams.
    double calls = 0;
    /// Calls that wait at the instances.
    double queued = 0;
  };

  /// A call that an upstream completed.
  struct Turn {
    std::chrono::duration<double> queued{0};
    std::chrono::duration<double> run{0};
    int64_t tokens_to_read = 0;
    int64_t generated_tokens = 0;
    /// Not the first call of its program.
    bool begun = true;
  };

  /// Extra time of a turn, as a fraction of its time on an idle upstream, above
  /// which fewer programs are admitted, and below which more are. Programs are
  /// allowed 1.4 times their idle time or more; the rest is left for the turns
  /// that are delayed more than the mean.
  static constexpr double kMaxStretch = 0.35;
  static constexpr double kGoodStretch = 0.25;
  /// Excess of calls, as a fraction of the usable slots, at which the most
  /// urgent kind is no longer admitted. Upstreams get at most a quarter more
  /// calls than slots.
  static constexpr double kFullExcess = 0.25;
  /// The same for calls without a prompt. They are short, and no further turns
  /// follow, so that a wait costs less.
  static constexpr double kFullPlainExcess = 1.0;
  /// Fraction of each kind that is always admitted, so that none starves.
  static constexpr double kLeastFraction = 0.03;
  /// Least part of the slots that counts as usable.
  static constexpr double kLeastUsable = 0.5;
  /// Retry-After is limited to the caller's time divided by this, since callers
  /// ignore longer waits, and to the program's time divided by this.
  static constexpr int kCallerDivisor = 3;
  static constexpr int kProgramDivisor = 4;
  static constexpr std::chrono::milliseconds kLeastRetryAfter{100};
  /// Maximum number of programs that are remembered.
  static constexpr size_t kMaxPrograms = 4096;

  void Observe(const Load& load);
  /// Takes in the end of a successful call.
  void OnTurn(const Turn& turn, core::TimePoint now);
  /// Decides about the first call of a program. Returns the time after which a
  /// refused caller should try again, or nullopt if the call is admitted.
  std::optional<std::chrono::milliseconds> Refuse(const CallRequest& call,
                                                  core::TimePoint now);
  /// Fraction of the programs of a kind that is admitted now; `full` is the
  /// excess at which the most urgent kind is no longer admitted.
  double FractionOf(uint32_t priority, core::TimePoint now,
                    double full = kFullExcess) const;
  /// Time until the program should end, as it was at the first call seen here.
  std::optional<std::chrono::milliseconds> AllowanceOf(
      const core::ProgramId& program) const;

  /// Whether a program was refused lately.
  bool IsRefusing(core::TimePoint now) const { return now < pressure_until_; }
  double usable() const { return usable_; }
  /// Mean extra time of begun turns; 0 until idle upstreams were observed.
  double StretchAt(core::TimePoint now) const { return stretch_.Value(now); }
  uint64_t refused() const { return refused_; }

 private:
  struct Program {
    core::TimePoint first_seen;
    std::optional<core::TimePoint> admitted_at;
    /// Time until the program should end at its first call.
    std::optional<std::chrono::milliseconds> allowance;
  };

  /// Length of a turn in steps of an engine.
  static double StepsOf(const Turn& turn);
  void UpdateUsable(core::TimePoint now);
  void NoteKind(uint32_t priority, core::TimePoint now);
  Program& Remember(const CallRequest& call, core::TimePoint now);
  /// Position of the call in the order of admission: it is admitted if the
  /// fraction of its kind is greater.
  static double PositionOf(const CallRequest& call, const Program& program,
                           core::TimePoint now);
  std::chrono::milliseconds RetryAfter(const CallRequest& call,
                                       core::TimePoint now);
  /// Programs per second that this instance has admitted lately.
  double AdmissionRate(core::TimePoint now) const;

  /// Running and waiting calls for each slot, as last observed. It is not
  /// smoothed further: a late view of the load lets too many programs in when a
  /// burst begins and too few afterwards.
  double calls_per_slot_ = 0;
  /// Time of one step while the upstreams have room, in seconds; 0 if unknown.
  double idle_step_ = 0;
  DecayingMean stretch_{std::chrono::milliseconds(300)};
  double usable_ = 1;
  core::TimePoint updated_at_;
  core::TimePoint lowered_at_;
  /// When each kind was last seen, by priority.
  std::map<uint32_t, core::TimePoint> kinds_;
  core::TimePoint pressure_until_;
  std::unordered_map<core::ProgramId, Program> programs_;
  /// Programs in the order in which they were first seen.
  std::deque<std::pair<core::TimePoint, core::ProgramId>> oldest_;
  double admissions_ = 0;
  core::TimePoint admissions_at_;
  /// Until when the refused callers were told to come back.
  core::TimePoint promised_until_;
  uint64_t refused_ = 0;
};

}  // namespace hawthorn::scheduling

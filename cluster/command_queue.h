#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/error.h"
#include "schema/generated/deployment.pb.h"

namespace hawthorn::cluster {

/// Claims and settlements of other instances that wait for their turn at the
/// leader. Refuses claims on arrival once the oldest unanswered request is too
/// old: first those of programs that have no turn yet, then all. Settlements
/// are never refused, since each instance sends one command of them at a time.
class CommandQueue {
 public:
  using Callback =
      std::function<void(const core::Result<schema::DeploymentReply>&)>;

  /// Age of the oldest unanswered request from which first claims are refused
  /// once it has been that old for kSustained, and at which all of them are; in
  /// between, a growing share. A single late sync refuses nothing.
  static constexpr std::chrono::milliseconds kRefuseProgramsFrom{100};
  static constexpr std::chrono::milliseconds kRefuseProgramsAt{200};
  static constexpr std::chrono::milliseconds kSustained{200};
  /// Age at which all claims are refused: callers would give up.
  static constexpr std::chrono::milliseconds kRefuseClaimsAt{600};
  /// Suggested retry delay of a claim that is refused.
  static constexpr std::chrono::milliseconds kRetryAfter{500};

  struct Command {
    schema::DeploymentCommand content;
    Callback callback;
    /// Whether the sender still waits.
    std::function<bool()> is_awaited;
    /// Set by Push.
    uint64_t number = 0;
  };

  /// Returns an error if the command is a claim that is to be refused.
  /// `knows_program` tells whether the program had a turn before.
  core::Status Admit(const schema::DeploymentCommand& command,
                     bool knows_program, core::TimePoint now);
  void Push(Command command, core::TimePoint now);
  /// The next command whose sender still waits.
  std::optional<Command> Pop();
  /// Notes that a command was answered.
  void OnAnswered(uint64_t number) { unanswered_.erase(number); }
  /// Age of the oldest request that was not answered.
  std::chrono::nanoseconds Delay(core::TimePoint now) const;

  bool empty() const { return queue_.empty(); }
  /// Whether first claims are refused now.
  bool IsLate(core::TimePoint now);
  /// Number of commands whose sender had given up before their turn.
  uint64_t abandoned() const { return abandoned_; }
  uint64_t refused() const { return refused_; }

 private:
  std::deque<Command> queue_;
  /// Arrival of each command that was not answered.
  std::map<uint64_t, core::TimePoint> unanswered_;
  uint64_t last_number_ = 0;
  /// Since when the oldest request is at least kRefuseProgramsFrom old.
  std::optional<core::TimePoint> late_since_;
  /// Part of a first claim that the share to be refused has added up to.
  double refusal_debt_ = 0;
  uint64_t abandoned_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace hawthorn::cluster

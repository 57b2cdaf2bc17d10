#include "cluster/command_queue.h"

#include <algorithm>
#include <utility>

namespace hawthorn::cluster {

core::Status CommandQueue::Admit(const schema::DeploymentCommand& command,
                                 bool knows_program, core::TimePoint now) {
  if (!command.has_reserve()) {
    return std::monostate{};
  }
  const auto delay = Delay(now);
  bool refuses = delay >= kRefuseClaimsAt;
  if (!refuses && !knows_program && IsLate(now)) {
    const std::chrono::duration<double> over = delay - kRefuseProgramsFrom;
    const std::chrono::duration<double> range =
        kRefuseProgramsAt - kRefuseProgramsFrom;
    refusal_debt_ += std::clamp(over / range, 0.0, 1.0);
    if (refusal_debt_ >= 1) {
      refusal_debt_ -= 1;
      refuses = true;
    }
  }
  if (!refuses) {
    return std::monostate{};
  }
  ++refused_;
  return core::Error{core::ErrorCode::kOverloaded, "the leader is overloaded",
                     core::Execution::kNotRun, kRetryAfter};
}

bool CommandQueue::IsLate(core::TimePoint now) {
  if (Delay(now) < kRefuseProgramsFrom) {
    late_since_.reset();
    return false;
  }
  if (!late_since_) {
    late_since_ = now;
  }
  return now - *late_since_ >= kSustained;
}

void CommandQueue::Push(Command command, core::TimePoint now) {
  command.number = ++last_number_;
  unanswered_.emplace(command.number, now);
  queue_.push_back(std::move(command));
}

std::optional<CommandQueue::Command> CommandQueue::Pop() {
  while (!queue_.empty()) {
    Command command = std::move(queue_.front());
    queue_.pop_front();
    if (command.is_awaited()) {
      return command;
    }
    ++abandoned_;
    OnAnswered(command.number);
  }
  return std::nullopt;
}

std::chrono::nanoseconds CommandQueue::Delay(core::TimePoint now) const {
  return unanswered_.empty() ? std::chrono::nanoseconds(0)
                             : now - unanswered_.begin()->second;
}

}  // namespace hawthorn::cluster

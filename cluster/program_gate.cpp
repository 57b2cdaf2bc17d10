#include "cluster/program_gate.h"

#include <algorithm>

namespace hawthorn::cluster {

std::optional<core::Error> ProgramGate::RefusalOf(const std::string& program,
                                                  core::TimePoint now) const {
  return now >= closed_until_ || Knows(program, now) ? std::nullopt : refusal_;
}

void ProgramGate::OnGranted(const std::string& program, core::TimePoint now) {
  if (!Knows(program, now)) {
    pause_ = {};
    closed_until_ = now;
  }
  if (known_.size() >= kMaxKnown) {
    std::erase_if(
        known_, [now](const auto& it) { return it.second + kKnownFor <= now; });
  }
  if (known_.size() < kMaxKnown) {
    known_[program] = now;
  }
}

void ProgramGate::OnRefused(const std::string& program,
                            const core::Error& error, core::TimePoint now) {
  if (Knows(program, now)) {
    return;
  }
  refusal_ = error;
  refusal_->execution = core::Execution::kNotRun;
  pause_ = std::clamp(pause_ * 2, kPause, kMaxPause);
  closed_until_ = now + pause_;
}

bool ProgramGate::Knows(const std::string& program, core::TimePoint now) const {
  const auto it = known_.find(program);
  return it != known_.end() && now < it->second + kKnownFor;
}

}  // namespace hawthorn::cluster

#include "relay/upstream_paths.h"

#include <algorithm>

namespace hawthorn::relay {

UpstreamPath UpstreamPaths::Of(const std::string& upstream) const {
  const auto it = states_.find(upstream);
  return it != states_.end() && it->second.forwarded ? UpstreamPath::kForwarded
                                                     : UpstreamPath::kDirect;
}

void UpstreamPaths::SetForwarded(const std::string& upstream,
                                 core::TimePoint now, bool needs_answer) {
  const auto [it, added] = states_.try_emplace(upstream);
  State& state = it->second;
  if (state.forwarded) {
    return;
  }
  const bool is_flapping = !added && now - state.restored_at < kStableTime;
  state.probation = is_flapping
                        ? std::min(state.probation * 2, kLongestProbation)
                        : kFirstProbation;
  state.forwarded = true;
  state.needs_answer = needs_answer;
  state.interval = kCheckInterval;
  state.check_at = now + kCheckInterval;
  state.reachable_since.reset();
}

bool UpstreamPaths::NeedsAnswer(const std::string& upstream) const {
  const auto it = states_.find(upstream);
  return it != states_.end() && it->second.forwarded && it->second.needs_answer;
}

bool UpstreamPaths::OnDirectCheck(const std::string& upstream, bool reachable,
                                  core::TimePoint now) {
  const auto it = states_.find(upstream);
  if (it == states_.end() || !it->second.forwarded) {
    return false;
  }
  State& state = it->second;
  state.is_checking = false;
  if (!reachable) {
    state.reachable_since.reset();
    state.interval = std::min(state.interval * 2, kLongestInterval);
    state.check_at = now + state.interval;
    return false;
  }
  state.interval = kCheckInterval;
  state.check_at = now + std::min(state.probation, kLongestInterval);
  if (!state.reachable_since) {
    state.reachable_since = now;
  }
  if (now - *state.reachable_since < state.probation) {
    return false;
  }
  state.forwarded = false;
  state.restored_at = now;
  return true;
}

std::vector<std::string> UpstreamPaths::TakeDueChecks(core::TimePoint now) {
  std::vector<std::string> due;
  for (auto& [id, it] : states_) {
    if (it.forwarded && !it.is_checking && it.check_at <= now) {
      it.is_checking = true;
      due.push_back(id);
    }
  }
  return due;
}

void UpstreamPaths::Remove(const std::string& upstream) {
  states_.erase(upstream);
}

size_t UpstreamPaths::forwarded_count() const {
  return static_cast<size_t>(
      std::count_if(states_.begin(), states_.end(),
                    [](const auto& it) { return it.second.forwarded; }));
}

}  // namespace hawthorn::relay

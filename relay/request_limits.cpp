#include "relay/request_limits.h"

namespace hawthorn::relay {

bool RequestLimits::OnNamed(const std::string& upstream, uint64_t started_at_ms,
                            double limit, core::TimePoint now) {
  const auto [it, added] = limits_.try_emplace(upstream);
  Limit& known = it->second;
  if (!added && known.started_at_ms > started_at_ms) {
    return false;
  }
  const bool changed = added || known.started_at_ms != started_at_ms ||
                       known.per_second != limit;
  known = {started_at_ms, limit, now};
  return changed;
}

bool RequestLimits::OnNotNamed(const std::string& upstream,
                               uint64_t started_at_ms,
                               core::TimePoint sent_at) {
  const auto it = limits_.find(upstream);
  const bool ends = it != limits_.end() &&
                    it->second.started_at_ms == started_at_ms &&
                    sent_at > it->second.learned_at;
  if (ends) {
    limits_.erase(it);
  }
  return ends;
}

std::optional<double> RequestLimits::Of(const std::string& upstream,
                                        uint64_t started_at_ms) const {
  const auto it = limits_.find(upstream);
  if (it == limits_.end() || it->second.started_at_ms != started_at_ms) {
    return std::nullopt;
  }
  return it->second.per_second;
}

}  // namespace hawthorn::relay

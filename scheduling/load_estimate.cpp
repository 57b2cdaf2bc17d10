#include "scheduling/load_estimate.h"

#include <cmath>

namespace hawthorn::scheduling {

namespace {

/// How long changes are kept: no report that still arrives was taken earlier.
constexpr std::chrono::seconds kHistory{2};

}  // namespace

void LoadEstimate::OnStart(core::TimePoint now) {
  ++own_;
  Remember(now);
}

void LoadEstimate::OnEnd(core::TimePoint now) {
  own_ -= own_ > 0 ? 1 : 0;
  Remember(now);
}

void LoadEstimate::OnReport(const LoadReport& report) {
  if (report.taken_at < reported_at_) {
    return;
  }
  reported_at_ = report.taken_at;
  const uint32_t total = report.running + report.waiting;
  const uint32_t own = OwnAt(report.taken_at);
  others_ = total > own ? total - own : 0;
}

double LoadEstimate::Total(core::TimePoint now, double usual_others) const {
  const std::chrono::duration<double> age = now - reported_at_;
  const std::chrono::duration<double> half = kHalfLife;
  const double weight = std::exp2(-age / half);
  return own_ + others_ * weight + usual_others * (1 - weight);
}

void LoadEstimate::Remember(core::TimePoint now) {
  history_.emplace_back(now, own_);
  while (history_.size() > 1 && now - history_[1].first > kHistory) {
    history_.pop_front();
  }
}

uint32_t LoadEstimate::OwnAt(core::TimePoint time) const {
  uint32_t own = 0;
  for (const auto& [at, count] : history_) {
    if (at > time) {
      break;
    }
    own = count;
  }
  return own;
}

}  // namespace hawthorn::scheduling

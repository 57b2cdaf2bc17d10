#include "scheduling/load_estimate.h"

#include <cmath>

namespace hawthorn::scheduling {

namespace {

/// How long changes are kept. Reports that are older than this no longer
/// arrive.
constexpr std::chrono::seconds kHistoryLength{2};

}  // namespace

void LoadEstimate::OnStart(core::TimePoint now) {
  ++local_;
  RecordChange(now);
}

void LoadEstimate::OnEnd(core::TimePoint now) {
  local_ -= local_ > 0 ? 1 : 0;
  RecordChange(now);
}

void LoadEstimate::OnReport(const LoadReport& report) {
  if (report.taken_at < reported_at_) {
    return;
  }
  reported_at_ = report.taken_at;
  const uint32_t total = report.running + report.waiting;
  const uint32_t local = LocalAt(report.taken_at);
  others_ = total > local ? total - local : 0;
}

double LoadEstimate::Total(core::TimePoint now, double expected_others) const {
  const std::chrono::duration<double> age = now - reported_at_;
  const std::chrono::duration<double> half = kHalfLife;
  const double weight = std::exp2(-age / half);
  return local_ + others_ * weight + expected_others * (1 - weight);
}

void LoadEstimate::RecordChange(core::TimePoint now) {
  history_.emplace_back(now, local_);
  while (history_.size() > 1 && now - history_[1].first > kHistoryLength) {
    history_.pop_front();
  }
}

uint32_t LoadEstimate::LocalAt(core::TimePoint time) const {
  uint32_t local = 0;
  for (const auto& [at, count] : history_) {
    if (at > time) {
      break;
    }
    local = count;
  }
  return local;
}

}  // namespace hawthorn::scheduling

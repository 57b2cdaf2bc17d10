#include "scheduling/upstream_speed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthorn::scheduling {

bool UpstreamSpeed::OnReport(double slowdown, core::TimePoint taken_at) {
  if (taken_at < taken_at_ || !std::isfinite(slowdown)) {
    return false;
  }
  slowdown_ = std::clamp(slowdown, kLeast, kMost);
  taken_at_ = taken_at;
  return true;
}

double UpstreamSpeed::SlowdownAt(core::TimePoint now) const {
  if (slowdown_ == 1) {
    return 1;
  }
  const std::chrono::duration<double> age = now - taken_at_;
  const std::chrono::duration<double> spell = kSpell;
  const double weight = std::clamp(1 - age / spell, 0.0, 1.0);
  return 1 + (slowdown_ - 1) * weight;
}

void SpeedReports::OnMeasured(const std::string& upstream, double slowdown,
                              core::TimePoint now) {
  const auto it = shared_.find(upstream);
  const double known = it == shared_.end() ? 1 : it->second.SlowdownAt(now);
  if (std::abs(slowdown - known) < known * kReportedChange) {
    // A figure that came and went within one batch is no news.
    pending_.erase(upstream);
    return;
  }
  pending_[upstream] = {upstream, slowdown, now};
}

void SpeedReports::OnNews(const SpeedReport& report) {
  shared_[report.upstream].OnReport(report.slowdown, report.taken_at);
  const auto it = pending_.find(report.upstream);
  if (it != pending_.end() && it->second.taken_at <= report.taken_at) {
    pending_.erase(it);
  }
}

std::optional<core::TimePoint> SpeedReports::DueAt() const {
  return pending_.empty() ? std::nullopt : std::optional(next_batch_);
}

std::vector<SpeedReport> SpeedReports::Take(core::TimePoint now) {
  if (pending_.empty() || now < next_batch_) {
    return {};
  }
  next_batch_ = now + kInterval;
  std::vector<SpeedReport> batch;
  for (auto& [upstream, report] : std::exchange(pending_, {})) {
    shared_[upstream].OnReport(report.slowdown, report.taken_at);
    batch.push_back(std::move(report));
  }
  return batch;
}

void SpeedReports::Forget(const std::string& upstream) {
  shared_.erase(upstream);
  pending_.erase(upstream);
}

}  // namespace hawthorn::scheduling

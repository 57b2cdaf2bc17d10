#include "scheduling/window_controller.h"

#include <algorithm>

namespace hawthorn::scheduling {
namespace {

constexpr double kDecrease = 0.9;
constexpr double kIncrease = 1;
constexpr size_t kMaxHistory = 1024;

double InitialWindow(uint32_t max_running) {
  if (max_running == 0) {
    return WindowController::kDefaultWindow;
  }
  return std::min(max_running, WindowController::kMaxWindow);
}

}  // namespace

WindowController::WindowController(uint32_t max_running)
    : max_running_(max_running), window_(InitialWindow(max_running)) {}

void WindowController::SetMaxRunning(uint32_t max_running) {
  if (max_running == max_running_) {
    return;
  }
  max_running_ = max_running;
  window_ = InitialWindow(max_running);
}

void WindowController::OnStart(core::TimePoint now) {
  ++in_flight_;
  peak_ = std::max(peak_, in_flight_);
  RecordChange(now);
}

void WindowController::OnEnd(core::TimePoint now) {
  if (in_flight_ == 0) {
    return;
  }
  --in_flight_;
  RecordChange(now);
}

void WindowController::RecordChange(core::TimePoint now) {
  history_.push_back({now, in_flight_});
  while (history_.size() > kMaxHistory ||
         (history_.size() > 1 && now - history_[1].time > kReportLifetime)) {
    history_.pop_front();
  }
}

uint32_t WindowController::InFlightAt(core::TimePoint time) const {
  const auto it = std::upper_bound(
      history_.begin(), history_.end(), time,
      [](core::TimePoint t, const Change& change) { return t < change.time; });
  if (it == history_.begin()) {
    return 0;
  }
  return std::prev(it)->in_flight;
}

bool WindowController::OnReport(const LoadReport& report, core::TimePoint now) {
  if (has_report_ && report.taken_at <= report_taken_) {
    return false;
  }
  has_report_ = true;
  report_taken_ = std::min(report.taken_at, now);
  const uint32_t total = report.running + report.waiting;
  const uint32_t local = InFlightAt(report_taken_);
  others_ = total > local ? total - local : 0;
  const uint32_t bound = max_running_ == 0 ? kMaxWindow : max_running_;
  const bool was_full = peak_ + others_ >= window();
  if (report.waiting > 0) {
    window_ = std::max(1.0, window_ * kDecrease);
  } else if (was_full) {
    window_ = std::min<double>(bound, window_ + kIncrease);
  }
  peak_ = in_flight_;
  return true;
}

uint32_t WindowController::Others(core::TimePoint now) const {
  const bool fresh = has_report_ && now - report_taken_ <= kReportLifetime;
  return fresh ? others_ : 0;
}

uint32_t WindowController::Limit(size_t instances, core::TimePoint now) const {
  const uint32_t whole = std::max<uint32_t>(1, window());
  if (instances <= 1) {
    return whole;
  }
  const auto part = std::max<uint32_t>(
      1, static_cast<uint32_t>(whole / static_cast<uint32_t>(instances)));
  const bool fresh = has_report_ && now - report_taken_ <= kReportLifetime;
  if (!fresh || others_ >= whole) {
    return part;
  }
  return std::max(part, whole - others_);
}

uint32_t WindowController::EstimatedLoad(core::TimePoint now) const {
  return in_flight_ + Others(now);
}

}  // namespace hawthorn::scheduling

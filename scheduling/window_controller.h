#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "core/clock.h"
#include "scheduling/upstream.h"

namespace hawthorn::scheduling {

/// Learns how many calls keep one upstream busy but not queued, and this
/// instance's part of them. Reports lag; the history of this instance's own
/// calls separates its part of a report from that of the other instances.
class WindowController {
 public:
  /// First window of an upstream that does not say how many it runs.
  static constexpr uint32_t kDefaultWindow = 8;
  static constexpr uint32_t kMaxWindow = 512;
  /// Age after which a report says nothing about the other instances.
  static constexpr std::chrono::seconds kReportLifetime{5};

  explicit WindowController(uint32_t max_running);

  /// Takes a new bound of the engine; the learned window is cut to it.
  void SetMaxRunning(uint32_t max_running);
  /// Counts a call of this instance that starts or ends.
  void OnStart(core::TimePoint now);
  void OnEnd(core::TimePoint now);
  /// Takes a report. Returns false for one older than the last.
  bool OnReport(const LoadReport& report, core::TimePoint now);

  /// Calls that this instance may have running, with `instances` of them
  /// sharing the upstream: its equal part, and what the others leave unused.
  uint32_t Limit(size_t instances, core::TimePoint now) const;

  uint32_t window() const { return static_cast<uint32_t>(window_); }
  uint32_t in_flight() const { return in_flight_; }
  /// Estimate of all calls on the upstream now.
  uint32_t EstimatedLoad(core::TimePoint now) const;

 private:
  struct Change {
    core::TimePoint time;
    uint32_t in_flight;
  };

  void Remember(core::TimePoint now);
  uint32_t InFlightAt(core::TimePoint time) const;
  uint32_t Others(core::TimePoint now) const;

  uint32_t max_running_;
  double window_;
  uint32_t in_flight_ = 0;
  uint32_t others_ = 0;
  /// Largest own load since the last report.
  uint32_t peak_ = 0;
  bool has_report_ = false;
  core::TimePoint report_taken_;
  std::deque<Change> history_;
};

}  // namespace hawthorn::scheduling

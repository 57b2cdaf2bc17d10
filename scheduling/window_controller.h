#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "core/clock.h"
#include "scheduling/upstream.h"

namespace hawthorn::scheduling {

/// Learns how many calls keep one upstream busy without queueing (its window),
/// and this instance's share of them. Load reports lag; the history of this
/// instance's calls separates its part of a report from that of the other
/// instances.
class WindowController {
 public:
  /// Initial window of an upstream that does not announce how many calls it
  /// runs.
  static constexpr uint32_t kDefaultWindow = 8;
  static constexpr uint32_t kMaxWindow = 512;
  /// Age after which a report is no longer used to estimate the load of the
  /// other instances.
  static constexpr std::chrono::seconds kReportLifetime{5};

  explicit WindowController(uint32_t max_running);

  /// Sets the engine's limit. If it changed, the learned window is reset.
  void SetMaxRunning(uint32_t max_running);
  /// Counts calls of this instance that start and end.
  void OnStart(core::TimePoint now);
  void OnEnd(core::TimePoint now);
  /// Applies a report. Returns false if it is not newer than the last one.
  bool OnReport(const LoadReport& report, core::TimePoint now);

  /// Calls that this instance may have in flight when `instances` of them share
  /// the upstream: its equal share, or more if the others leave it unused.
  uint32_t Limit(size_t instances, core::TimePoint now) const;

  uint32_t window() const { return static_cast<uint32_t>(window_); }
  uint32_t in_flight() const { return in_flight_; }
  /// Estimated number of calls of all instances on the upstream at `now`.
  uint32_t EstimatedLoad(core::TimePoint now) const;

 private:
  struct Change {
    core::TimePoint time;
    uint32_t in_flight;
  };

  void RecordChange(core::TimePoint now);
  uint32_t InFlightAt(core::TimePoint time) const;
  uint32_t Others(core::TimePoint now) const;

  uint32_t max_running_;
  double window_;
  uint32_t in_flight_ = 0;
  uint32_t others_ = 0;
  /// Largest number of calls in flight of this instance since the last report.
  uint32_t peak_ = 0;
  bool has_report_ = false;
  core::TimePoint report_taken_;
  std::deque<Change> history_;
};

}  // namespace hawthorn::scheduling

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace hawthorn::scheduling {

/// How long work takes at one upstream now, as a multiple of the usual time.
class UpstreamSpeed {
 public:
  /// How long an upstream usually stays slow. A report says nothing about the
  /// time after that.
  static constexpr std::chrono::milliseconds kSpell{600};
  /// Figures outside these bounds are clamped, so that one wrong figure neither
  /// attracts all calls nor shuts an upstream out.
  static constexpr double kLeast = 0.5;
  static constexpr double kMost = 20;

  /// Takes a report; returns false if a later one is known.
  bool OnReport(double slowdown, core::TimePoint taken_at);
  /// Expected slowdown. Spells begin at any time before the report, so the
  /// chance that one goes on falls linearly with the age of the report.
  double SlowdownAt(core::TimePoint now) const;

 private:
  double slowdown_ = 1;
  core::TimePoint taken_at_;
};

/// What an instance measured of the speed of an upstream.
struct SpeedReport {
  std::string upstream;
  double slowdown = 1;
  core::TimePoint taken_at;

  bool operator==(const SpeedReport&) const = default;
};

/// Selects what an instance reports to the others of the speeds that it reads
/// in responses: what differs from what they know, in batches.
class SpeedReports {
 public:
  /// Change of the figure, as a part of what the others know, below which it is
  /// not reported.
  static constexpr double kReportedChange = 0.25;
  /// Least time between two batches.
  static constexpr std::chrono::milliseconds kInterval{100};

  /// A response of the upstream named its speed.
  void OnMeasured(const std::string& upstream, double slowdown,
                  core::TimePoint now);
  /// Another instance reported the speed of the upstream to all.
  void OnNews(const SpeedReport& report);
  /// When the next batch is due; nullopt if there is nothing to report.
  std::optional<core::TimePoint> DueAt() const;
  /// The batch that is due. At most one report for each upstream.
  std::vector<SpeedReport> Take(core::TimePoint now);
  void Forget(const std::string& upstream);

 private:
  /// What all instances know, by upstream.
  std::map<std::string, UpstreamSpeed> shared_;
  std::map<std::string, SpeedReport> pending_;
  core::TimePoint next_batch_;
};

}  // namespace hawthorn::scheduling

#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include "core/clock.h"
#include "scheduling/upstream.h"

namespace hawthorn::scheduling {

/// Estimates the load of an upstream that many instances share. This instance's
/// calls are known exactly; those of the other instances are known only from
/// load reports, which arrive late.
class LoadEstimate {
 public:
  /// Half-life of a report's weight against the expected load of the other
  /// instances. Calls of programs last a few hundred ms.
  static constexpr std::chrono::milliseconds kHalfLife{400};

  void OnStart(core::TimePoint now);
  void OnEnd(core::TimePoint now);
  void OnReport(const LoadReport& report);

  uint32_t local() const { return local_; }
  /// Calls of the other instances at the time of the last report.
  double others() const { return others_; }
  /// Estimated number of calls of all instances on the upstream, running or
  /// waiting. As the last report ages, `expected_others` replaces its value for
  /// the other instances.
  double Total(core::TimePoint now, double expected_others) const;

 private:
  uint32_t LocalAt(core::TimePoint time) const;
  void RecordChange(core::TimePoint now);

  uint32_t local_ = 0;
  double others_ = 0;
  core::TimePoint reported_at_;
  /// Number of this instance's calls after each change, the oldest first.
  std::deque<std::pair<core::TimePoint, uint32_t>> history_;
};

}  // namespace hawthorn::scheduling

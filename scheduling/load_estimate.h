#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include "core/clock.h"
#include "scheduling/upstream.h"

namespace hawthorn::scheduling {

/// Load of one upstream that many instances share: the own calls, which are
/// known, and those of the others, which reports tell late.
class LoadEstimate {
 public:
  /// Time in which a report loses half of its weight against what is usual at
  /// the time: calls of programs last some hundred ms.
  static constexpr std::chrono::milliseconds kHalfLife{400};

  void OnStart(core::TimePoint now);
  void OnEnd(core::TimePoint now);
  void OnReport(const LoadReport& report);

  uint32_t own() const { return own_; }
  /// Calls of the other instances at the time of the last report.
  double others() const { return others_; }
  /// Calls on the upstream, own and others', running or waiting. As a report
  /// grows old, `usual_others` takes its place.
  double Total(core::TimePoint now, double usual_others) const;

 private:
  uint32_t OwnAt(core::TimePoint time) const;
  void Remember(core::TimePoint now);

  uint32_t own_ = 0;
  double others_ = 0;
  core::TimePoint reported_at_;
  /// Own calls after each change, the oldest first.
  std::deque<std::pair<core::TimePoint, uint32_t>> history_;
};

}  // namespace hawthorn::scheduling

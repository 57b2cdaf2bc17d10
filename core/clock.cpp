#include "core/clock.h"

#include <time.h>

namespace hawthorn::core {

TimePoint SystemClock::Now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::WallNow() const {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

TimePoint SuspendAwareClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

WallTime SuspendAwareClock::WallNow() const { return SystemClock().WallNow(); }

TimePoint ManualClock::Now() const {
  const std::lock_guard lock(mutex_);
  return TimePoint(std::chrono::duration_cast<TimePoint::duration>(elapsed_));
}

WallTime ManualClock::WallNow() const {
  const std::lock_guard lock(mutex_);
  return WallTime(
      std::chrono::duration_cast<std::chrono::milliseconds>(elapsed_));
}

void ManualClock::Advance(std::chrono::nanoseconds step) {
  if (step.count() < 0) {
    return;
  }
  const std::lock_guard lock(mutex_);
  elapsed_ += step;
}

}  // namespace hawthorn::core

#pragma once

#include <chrono>
#include <mutex>

// Time for every module. Durations and time points are standard types; the
// clock is an interface, so that a test can inject its own.
namespace hawthorn::core {

/// Point on the monotonic clock of one process; never sent to another process.
using TimePoint = std::chrono::steady_clock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch, as used in replicated
/// state and messages.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Time from `from` to `to` in whole milliseconds; negative if `to` is earlier.
inline std::chrono::milliseconds MillisecondsBetween(TimePoint from,
                                                     TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

/// Source of time. Implementations are safe to call from any thread.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Monotonic time, for deadlines, leases and latencies.
  virtual TimePoint Now() const = 0;

  /// Wall-clock time. It may jump, so latencies and leases are measured with
  /// Now().
  virtual WallTime WallNow() const = 0;
};

/// Clock of the machine.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

/// Clock of the machine whose monotonic time includes the time for which the
/// machine was suspended, so that leases end during a suspension.
class SuspendAwareClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

/// Clock that advances only when Advance is called. Both times advance
/// together.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;

  /// Advances both times by `step`; a negative step is ignored.
  void Advance(std::chrono::nanoseconds step);

 private:
  mutable std::mutex mutex_;
  std::chrono::nanoseconds elapsed_{0};
};

}  // namespace hawthorn::core

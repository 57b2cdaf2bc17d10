#pragma once

#include <chrono>
#include <mutex>

// Time for every module: durations and points are standard types, and the
// clock is an interface, so that decisions can run under an injected clock.
namespace hawthorn::core {

/// Point on the monotonic clock of one process; never sent to another one.
using TimePoint = std::chrono::steady_clock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch, as replicated state
/// and messages carry it.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Source of time. Implementations are safe to call from any thread.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Monotonic time: deadlines, leases and latencies are measured with it.
  virtual TimePoint Now() const = 0;

  /// Wall-clock time: it may jump, and is only stored or shown.
  virtual WallTime WallNow() const = 0;
};

/// The machine's own clock.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

/// The machine's own clock with a monotonic time that also counts the time for
/// which the machine was suspended, so that leases end during a suspension.
class SuspendAwareClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

/// A clock that moves only when told to. Both times advance together.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;

  /// Moves time forward by `step`; a negative step is ignored.
  void Advance(std::chrono::nanoseconds step);

 private:
  mutable std::mutex mutex_;
  std::chrono::nanoseconds elapsed_{0};
};

}  // namespace hawthorn::core

#pragma once

#include <QAbstractEventDispatcher>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"

namespace hawthorn::test {

/// Event dispatcher whose timers follow a clock that a test advances, so that
/// objects with Qt timers run in simulated time. It never waits. Each timer
/// belongs to the owner that was set when it was started. To be installed
/// before the application is created.
class VirtualTime final : public QAbstractEventDispatcher {
 public:
  explicit VirtualTime(core::Clock& clock) : clock_(clock) {}

  /// Sets the owner of timers that are started from now on.
  void SetOwner(int owner) { owner_ = owner; }
  /// Time at which the next timer of `owner` is due.
  std::optional<core::TimePoint> NextDeadline(int owner) const;
  /// Fires the timers of `owner` that are due.
  void FireDue(int owner);
  /// Delivers posted events until there are none.
  void DeliverPosted();

  bool processEvents(QEventLoop::ProcessEventsFlags flags) override;
  void registerSocketNotifier(QSocketNotifier* notifier) override;
  void unregisterSocketNotifier(QSocketNotifier* notifier) override;
  void registerTimer(int id, qint64 interval, Qt::TimerType type,
                     QObject* object) override;
  bool unregisterTimer(int id) override;
  bool unregisterTimers(QObject* object) override;
  QList<TimerInfo> registeredTimers(QObject* object) const override;
  int remainingTime(int id) override;
  void wakeUp() override { has_posted_ = true; }
  void interrupt() override {}

 private:
  struct Timer {
    QObject* object = nullptr;
    int owner = 0;
    std::chrono::milliseconds interval{0};
    Qt::TimerType type = Qt::CoarseTimer;
    core::TimePoint deadline;
  };

  core::Clock& clock_;
  int owner_ = 0;
  bool has_posted_ = false;
  std::map<int, Timer> timers_;
  /// Ids of timers by owner and deadline.
  std::map<int, std::multimap<core::TimePoint, int>> order_;

  void Remove(std::map<int, Timer>::iterator it);
  void AddToOrder(int id, const Timer& timer);
};

}  // namespace hawthorn::test

#include "tests/support/virtual_time.h"

#include <QCoreApplication>
#include <algorithm>
#include <utility>

namespace hawthorn::test {

std::optional<core::TimePoint> VirtualTime::NextDeadline(int owner) const {
  const auto it = order_.find(owner);
  if (it == order_.end() || it->second.empty()) {
    return std::nullopt;
  }
  return it->second.begin()->first;
}

void VirtualTime::FireDue(int owner) {
  const core::TimePoint now = clock_.Now();
  while (true) {
    auto& order = order_[owner];
    if (order.empty() || order.begin()->first > now) {
      return;
    }
    const int id = order.begin()->second;
    Timer& timer = timers_.at(id);
    order.erase(order.begin());
    timer.deadline =
        now + std::max(timer.interval, std::chrono::milliseconds(1));
    AddToOrder(id, timer);
    QTimerEvent event(id);
    QCoreApplication::sendEvent(timer.object, &event);
  }
}

void VirtualTime::DeliverPosted() {
  while (std::exchange(has_posted_, false)) {
    QCoreApplication::sendPostedEvents();
  }
}

bool VirtualTime::processEvents(QEventLoop::ProcessEventsFlags /*flags*/) {
  const bool had_posted = has_posted_;
  DeliverPosted();
  return had_posted;
}

void VirtualTime::registerSocketNotifier(QSocketNotifier* /*notifier*/) {
  qFatal("there are no sockets in simulated time");
}

void VirtualTime::unregisterSocketNotifier(QSocketNotifier* /*notifier*/) {}

void VirtualTime::registerTimer(int id, qint64 interval, Qt::TimerType type,
                                QObject* object) {
  const std::chrono::milliseconds time(interval);
  const Timer timer{object, owner_, time, type, clock_.Now() + time};
  timers_[id] = timer;
  AddToOrder(id, timer);
}

bool VirtualTime::unregisterTimer(int id) {
  const auto it = timers_.find(id);
  if (it == timers_.end()) {
    return false;
  }
  Remove(it);
  return true;
}

bool VirtualTime::unregisterTimers(QObject* object) {
  bool found = false;
  for (auto it = timers_.begin(); it != timers_.end();) {
    const auto next = std::next(it);
    if (it->second.object == object) {
      Remove(it);
      found = true;
    }
    it = next;
  }
  return found;
}

QList<QAbstractEventDispatcher::TimerInfo> VirtualTime::registeredTimers(
    QObject* object) const {
  QList<TimerInfo> found;
  for (const auto& [id, timer] : timers_) {
    if (timer.object == object) {
      found.append(
          TimerInfo(id, static_cast<int>(timer.interval.count()), timer.type));
    }
  }
  return found;
}

int VirtualTime::remainingTime(int id) {
  const auto it = timers_.find(id);
  if (it == timers_.end()) {
    return -1;
  }
  const auto left =
      core::MillisecondsBetween(clock_.Now(), it->second.deadline).count();
  return static_cast<int>(std::max<int64_t>(left, 0));
}

void VirtualTime::AddToOrder(int id, const Timer& timer) {
  order_[timer.owner].emplace(timer.deadline, id);
}

void VirtualTime::Remove(std::map<int, Timer>::iterator it) {
  auto& order = order_[it->second.owner];
  const auto [first, last] = order.equal_range(it->second.deadline);
  for (auto at = first; at != last; ++at) {
    if (at->second == it->first) {
      order.erase(at);
      break;
    }
  }
  timers_.erase(it);
}

}  // namespace hawthorn::test

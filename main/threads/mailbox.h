#pragma once

#include <QObject>
#include <atomic>
#include <functional>
#include <utility>

#include "core/bounded_ring.h"

namespace hawthorn::main {

/// Bounded ring of tasks for a thread with a Qt event loop. A full ring makes
/// the producer wait, which passes the pressure on. Lives in the consumer's
/// thread.
class Mailbox final : public QObject {
 public:
  using Task = std::function<void()>;

  static constexpr size_t kCapacity = 65536;

  /// Runs `task` in the consumer's thread, in the order of posting. Callable
  /// from any thread but the consumer's own.
  void Post(Task task) {
    if (!ring_.Push(std::move(task))) {
      return;
    }
    if (!scheduled_.exchange(true)) {
      QMetaObject::invokeMethod(
          this, [this] { Drain(); }, Qt::QueuedConnection);
    }
  }

  /// Drops every later task.
  void Close() { ring_.Close(); }

 private:
  void Drain() {
    scheduled_ = false;
    while (auto task = ring_.TryPop()) {
      (*task)();
    }
  }

  core::BoundedRing<Task> ring_{kCapacity};
  std::atomic<bool> scheduled_{false};
};

}  // namespace hawthorn::main

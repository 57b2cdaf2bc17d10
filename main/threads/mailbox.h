#pragma once

#include <QObject>
#include <atomic>
#include <functional>
#include <utility>

#include "core/bounded_ring.h"

namespace hawthorn::main {

/// Bounded queue of tasks for a thread with a Qt event loop. If it is full,
/// producers block, which propagates backpressure. The object lives in the
/// consumer's thread.
class Mailbox final : public QObject {
 public:
  using Task = std::function<void()>;

  static constexpr size_t kCapacity = 65536;

  /// Runs `task` on the consumer's thread, in the order of posting. May be
  /// called from any thread other than the consumer's.
  void Post(Task task) {
    if (!ring_.Push(std::move(task))) {
      return;
    }
    if (!scheduled_.exchange(true)) {
      QMetaObject::invokeMethod(
          this, [this] { Drain(); }, Qt::QueuedConnection);
    }
  }

  /// Rejects all further tasks.
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

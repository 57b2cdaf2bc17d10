#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <functional>

namespace hawthorn::test {

/// Timeout of WaitFor(), far longer than any expected wait. The repair of a
/// group takes several seconds because of its own timeouts.
inline constexpr qint64 kWaitTimeoutMs = 60'000;

/// Runs the event loop until `done` returns true or the timeout expires.
/// Returns the last result of `done`.
inline bool WaitFor(const std::function<bool()>& done) {
  QElapsedTimer timer;
  timer.start();
  while (!done() && timer.elapsed() < kWaitTimeoutMs) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
  return done();
}

/// Runs the event loop for 50 ms, so that pending events are handled.
inline void ProcessEvents() {
  constexpr qint64 kProcessingMs = 50;
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < kProcessingMs) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
}

}  // namespace hawthorn::test

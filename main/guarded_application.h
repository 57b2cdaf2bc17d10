#pragma once

#include <QCoreApplication>

namespace hawthorn::main {

/// Application whose event loop survives an exception of an event handler. The
/// event ends there; the error is logged and counted. Connections end before,
/// in transport::StreamSocket.
class GuardedApplication final : public QCoreApplication {
 public:
  using QCoreApplication::QCoreApplication;

  bool notify(QObject* receiver, QEvent* event) override;
};

}  // namespace hawthorn::main

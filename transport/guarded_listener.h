#pragma once

#include <QHash>
#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>
#include <chrono>
#include <cstddef>

#include "core/clock.h"
#include "transport/request_framer.h"

namespace hawthorn::transport {

class GuardedSocket;

/// Bounds of a listener.
struct ListenerLimits {
  FramingLimits framing;
  size_t max_connections = 4096;
  size_t max_connections_per_client = 1024;
  /// A connection without a request closes after this time.
  std::chrono::milliseconds idle_timeout{60'000};
  /// A request must be complete within this time of its last byte.
  std::chrono::milliseconds request_timeout{10'000};

  bool operator==(const ListenerLimits&) const = default;
};

/// Accepts connections within its limits and gives each a GuardedSocket.
class GuardedListener final : public QTcpServer {
  Q_OBJECT

 public:
  GuardedListener(ListenerLimits limits, const core::Clock& clock,
                  QObject* parent);

  /// Closes connections that have been silent for too long: 408 where a
  /// request was begun, a plain close where none was.
  void CloseIdle();

  /// Bytes written that clients have not yet taken.
  qint64 pending_bytes() const;

  size_t connection_count() const {
    return static_cast<size_t>(connections_.size());
  }

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  bool CanAccept(const QHostAddress& client) const;
  void Forget(GuardedSocket* socket);

  ListenerLimits limits_;
  const core::Clock& clock_;
  QTimer timer_;
  QHash<GuardedSocket*, QHostAddress> connections_;
  QHash<QHostAddress, size_t> clients_;
};

}  // namespace hawthorn::transport

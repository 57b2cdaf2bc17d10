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

/// Limits of a listener.
struct ListenerLimits {
  FramingLimits framing;
  size_t max_connections = 4096;
  size_t max_connections_per_client = 1024;
  /// Time without a byte after which a connection is closed, unless a request
  /// is being handled.
  std::chrono::milliseconds idle_timeout{60'000};
  /// A request that is not complete times out this long after its first byte.
  std::chrono::milliseconds request_timeout{30'000};

  bool operator==(const ListenerLimits&) const = default;
};

/// Accepts connections within its limits and wraps each in a GuardedSocket.
class GuardedListener final : public QTcpServer {
  Q_OBJECT

 public:
  GuardedListener(ListenerLimits limits, const core::Clock& clock,
                  QObject* parent);

  /// Closes connections that exceed their timeout: with a 408 response if part
  /// of a request was received, without a response otherwise.
  void CloseIdle();

  /// Bytes of all connections that were written but not sent yet.
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

#include "transport/guarded_listener.h"

#include "transport/guarded_socket.h"
#include "transport/http_status.h"

namespace hawthorn::transport {

namespace {

constexpr std::chrono::milliseconds kScanInterval{500};

}  // namespace

GuardedListener::GuardedListener(ListenerLimits limits,
                                 const core::Clock& clock, QObject* parent)
    : QTcpServer(parent), limits_(limits), clock_(clock) {
  setMaxPendingConnections(static_cast<int>(limits.max_connections));
  setListenBacklogSize(1024);
  connect(&timer_, &QTimer::timeout, this, &GuardedListener::CloseIdle);
  timer_.start(kScanInterval);
}

void GuardedListener::incomingConnection(qintptr descriptor) {
  auto* socket = new GuardedSocket(descriptor, limits_.framing, clock_, this);
  if (!CanAccept(socket->peerAddress())) {
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    socket->RefuseConnection(status::kServiceUnavailable,
                             "too many connections");
    return;
  }
  connections_.insert(socket, socket->peerAddress());
  ++clients_[socket->peerAddress()];
  connect(socket, &QObject::destroyed, this,
          [this, socket] { Forget(socket); });
  addPendingConnection(socket);
}

bool GuardedListener::CanAccept(const QHostAddress& client) const {
  return connection_count() < limits_.max_connections &&
         clients_.value(client) < limits_.max_connections_per_client;
}

void GuardedListener::Forget(GuardedSocket* socket) {
  const auto it = connections_.find(socket);
  if (it == connections_.end()) {
    return;
  }
  if (--clients_[it.value()] == 0) {
    clients_.remove(it.value());
  }
  connections_.erase(it);
}

qint64 GuardedListener::pending_bytes() const {
  qint64 total = 0;
  for (auto it = connections_.keyBegin(); it != connections_.keyEnd(); ++it) {
    total += (*it)->pending_bytes();
  }
  return total;
}

void GuardedListener::CloseIdle() {
  const core::TimePoint now = clock_.Now();
  const QList<GuardedSocket*> sockets = connections_.keys();
  for (GuardedSocket* socket : sockets) {
    const auto idle = now - socket->last_activity();
    if (socket->busy()) {
      continue;
    }
    const auto started = socket->partial_request_since();
    if (started && now - *started >= limits_.request_timeout) {
      socket->RefuseConnection(status::kRequestTimeout,
                               "the request did not arrive in time");
    } else if (idle >= limits_.idle_timeout) {
      socket->disconnectFromHost();
    }
  }
}

}  // namespace hawthorn::transport

#include "transport/guarded_socket.h"

#include <QHostAddress>
#include <algorithm>
#include <cstring>
#include <string_view>

#include "transport/http_status.h"

namespace hawthorn::transport {

GuardedSocket::GuardedSocket(qintptr descriptor, FramingLimits limits,
                             const core::Clock& clock, QObject* parent)
    : QTcpSocket(parent),
      framer_(limits),
      clock_(clock),
      last_activity_(clock.Now()) {
  alive_ = wire_.setSocketDescriptor(descriptor);
  wire_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  setOpenMode(QIODevice::ReadWrite);
  setSocketState(QAbstractSocket::ConnectedState);
  setPeerAddress(wire_.peerAddress());
  setPeerPort(wire_.peerPort());
  connect(&wire_, &QTcpSocket::readyRead, this, &GuardedSocket::OnWireReadable);
  connect(&wire_, &QTcpSocket::disconnected, this,
          &GuardedSocket::OnWireClosed);
  connect(&wire_, &QTcpSocket::bytesWritten, this,
          [this] { last_activity_ = clock_.Now(); });
}

GuardedSocket::~GuardedSocket() {
  wire_.disconnect(this);
  setSocketState(QAbstractSocket::UnconnectedState);
  setOpenMode(QIODevice::NotOpen);
}

void GuardedSocket::OnWireReadable() {
  last_activity_ = clock_.Now();
  if (busy_) {
    pipelined_ = true;
    wire_.readAll();
    return;
  }
  const QByteArray bytes = wire_.readAll();
  const std::string_view view(bytes.constData(),
                              static_cast<size_t>(bytes.size()));
  const size_t used = framer_.Feed(view);
  if (framer_.started() && !request_started_) {
    request_started_ = last_activity_;
  }
  if (framer_.state() == RequestFramer::State::kRefused) {
    RefuseConnection(framer_.error().status, framer_.error().reason);
    return;
  }
  if (framer_.state() == RequestFramer::State::kBody &&
      framer_.expects_continue() && !continue_sent_) {
    continue_sent_ = true;
    wire_.write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (framer_.state() == RequestFramer::State::kComplete) {
    pipelined_ = used < view.size();
    DeliverRequest();
  }
}

void GuardedSocket::DeliverRequest() {
  busy_ = true;
  const std::string& message = framer_.message();
  request_bytes_ =
      QByteArray(message.data(), static_cast<qsizetype>(message.size()));
  emit readyRead();
}

void GuardedSocket::OnWireClosed() {
  if (!alive_) {
    return;
  }
  alive_ = false;
  setSocketState(QAbstractSocket::UnconnectedState);
  emit disconnected();
}

void GuardedSocket::FinishExchange(bool close) {
  if (!alive_) {
    return;
  }
  const bool ends = close || pipelined_ || framer_.wants_close();
  busy_ = false;
  continue_sent_ = false;
  request_bytes_.clear();
  request_started_.reset();
  framer_.Reset();
  if (ends) {
    wire_.disconnectFromHost();
  }
}

void GuardedSocket::RefuseConnection(int status, const std::string& reason) {
  const std::string body =
      "{\"error\":{\"code\":\"invalid_argument\","
      "\"message\":\"" +
      reason + "\",\"execution\":\"not run\"}}\n";
  const std::string response =
      "HTTP/1.1 " + std::to_string(status) + " " +
      std::string(StatusText(status)) +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
  busy_ = true;
  wire_.write(response.data(), static_cast<qint64>(response.size()));
  wire_.disconnectFromHost();
}

void GuardedSocket::Abort() { wire_.abort(); }

void GuardedSocket::disconnectFromHost() { wire_.disconnectFromHost(); }

qint64 GuardedSocket::bytesAvailable() const {
  return request_bytes_.size() + QTcpSocket::bytesAvailable();
}

qint64 GuardedSocket::readData(char* data, qint64 max_size) {
  const qint64 n = std::min<qint64>(max_size, request_bytes_.size());
  std::memcpy(data, request_bytes_.constData(), static_cast<size_t>(n));
  request_bytes_.remove(0, n);
  return n;
}

qint64 GuardedSocket::writeData(const char* data, qint64 size) {
  return alive_ ? wire_.write(data, size) : -1;
}

}  // namespace hawthorn::transport

#include "peer/link_socket.h"

#include <QPointer>
#include <QRandomGenerator>
#include <array>
#include <utility>

#include "peer/handshake.h"

namespace hawthorn::peer::detail {

namespace {

/// Bytes buffered in the socket above which no output is taken from the
/// session.
constexpr qint64 kSocketHighWaterBytes = qint64{256} * 1024;
/// Limit of the output that is taken from the session at once.
constexpr size_t kOutputChunkBytes = size_t{64} * 1024;
/// Limit of the bytes that are read from the socket at once.
constexpr qint64 kReadChunkBytes = qint64{64} * 1024;
/// Read buffer of the socket; when it is full, TCP flow control slows the peer.
constexpr qint64 kReadBufferBytes = qint64{512} * 1024;

}  // namespace

std::string NewNonce() {
  std::array<quint32, kNonceBytes / sizeof(quint32)> words{};
  QRandomGenerator::system()->fillRange(words.data(), words.size());
  return {reinterpret_cast<const char*>(words.data()), kNonceBytes};
}

LinkSocket::LinkSocket(QTcpSocket* socket, LinkContext& context, Events events,
                       QObject* parent)
    : QObject(parent),
      socket_(socket),
      context_(context),
      events_(std::move(events)) {
  socket_->setParent(this);
  socket_->setReadBufferSize(kReadBufferBytes);
  last_received_.start();
  connect(socket_, &QTcpSocket::connected, this, [this] {
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    if (events_.on_connected) {
      events_.on_connected();
    }
  });
  connect(socket_, &QTcpSocket::readyRead, this, &LinkSocket::OnReadable);
  connect(socket_, &QTcpSocket::bytesWritten, this, &LinkSocket::ScheduleFlush);
  connect(socket_, &QTcpSocket::errorOccurred, this, &LinkSocket::Close);
  connect(socket_, &QTcpSocket::disconnected, this, &LinkSocket::Close);
}

LinkSocket::~LinkSocket() {
  socket_->disconnect(this);
  socket_->abort();
}

void LinkSocket::Connect(const QString& host, quint16 port) {
  last_received_.start();
  socket_->connectToHost(host, port);
}

void LinkSocket::Write(std::string_view bytes) {
  context_.counters.bytes_out += bytes.size();
  socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
}

void LinkSocket::Attach(Http2Session* session) {
  session_ = session;
  ScheduleFlush();
}

void LinkSocket::ScheduleFlush() {
  if (session_ == nullptr || std::exchange(flush_scheduled_, true)) {
    return;
  }
  QMetaObject::invokeMethod(
      this,
      [this] {
        flush_scheduled_ = false;
        Flush();
      },
      Qt::QueuedConnection);
}

void LinkSocket::Close() {
  if (std::exchange(closing_, true)) {
    return;
  }
  socket_->disconnect(this);
  socket_->abort();
  session_ = nullptr;
  QMetaObject::invokeMethod(
      this,
      [this] {
        if (!std::exchange(close_reported_, true)) {
          events_.on_closed();
        }
      },
      Qt::QueuedConnection);
}

void LinkSocket::SetFrozen(bool frozen) {
  if (frozen_ == frozen) {
    return;
  }
  frozen_ = frozen;
  if (frozen) {
    ++context_.counters.cut;
    return;
  }
  QMetaObject::invokeMethod(this, &LinkSocket::OnReadable,
                            Qt::QueuedConnection);
  ScheduleFlush();
}

void LinkSocket::CheckTimeout() {
  if (closing_) {
    return;
  }
  const std::chrono::milliseconds since_received(last_received_.elapsed());
  if (since_received >= context_.options.receive_timeout) {
    Close();
  } else if (since_received >= context_.options.ping_after &&
             session_ != nullptr && !std::exchange(ping_sent_, true)) {
    session_->Ping();
    ScheduleFlush();
  }
}

void LinkSocket::OnReadable() {
  if (frozen_ || closing_ || std::exchange(reading_, true)) {
    return;
  }
  const QPointer<LinkSocket> alive(this);
  while (alive && !frozen_ && !closing_ && socket_->bytesAvailable() > 0) {
    const QByteArray bytes = socket_->read(kReadChunkBytes);
    context_.counters.bytes_in += static_cast<uint64_t>(bytes.size());
    last_received_.start();
    ping_sent_ = false;
    events_.on_bytes({bytes.constData(), static_cast<size_t>(bytes.size())});
  }
  if (alive) {
    reading_ = false;
    ScheduleFlush();
  }
}

void LinkSocket::Flush() {
  while (session_ != nullptr && !frozen_ && !closing_ &&
         socket_->bytesToWrite() < kSocketHighWaterBytes) {
    const std::string output = session_->TakeOutput(kOutputChunkBytes);
    if (output.empty()) {
      break;
    }
    Write(output);
  }
  // nghttp2 ends a session by itself after a protocol error.
  if (session_ != nullptr && !closing_ && session_->IsEnded()) {
    ++context_.counters.protocol_errors;
    socket_->flush();
    Close();
  }
}

}  // namespace hawthorn::peer::detail

#include "transport/stream_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QTimer>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

#include "logging/guarded_call.h"

namespace hawthorn::transport {

namespace {

/// Size of a read; if it is filled, another read follows.
constexpr size_t kReadChunkBytes = size_t{32} * 1024;
/// Maximum number of reads in one turn of the event loop, so that one peer
/// cannot block it.
constexpr int kReadsPerTurn = 4;
/// Idle time before keep-alive probes, and between them, in seconds.
constexpr int kKeepAliveSeconds = 1;
/// Number of unanswered probes after which a connection fails.
constexpr int kKeepAliveProbes = 2;

core::Error SocketError(const char* operation) {
  return core::Error{core::ErrorCode::kUnavailable,
                     std::string(operation) + ": " + std::strerror(errno),
                     core::Execution::kNotRun,
                     {}};
}

bool ToSockaddr(const SocketAddress& address, sockaddr_in* out) {
  *out = sockaddr_in{};
  out->sin_family = AF_INET;
  out->sin_port = htons(address.port);
  return inet_pton(AF_INET, address.host.c_str(), &out->sin_addr) == 1;
}

bool ToSockaddr(const SocketAddress& address, sockaddr_in6* out) {
  *out = sockaddr_in6{};
  out->sin6_family = AF_INET6;
  out->sin6_port = htons(address.port);
  return inet_pton(AF_INET6, address.host.c_str(), &out->sin6_addr) == 1;
}

void SetOption(int descriptor, int level, int name, int value) {
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

}  // namespace

core::Result<SocketAddress> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  SocketAddress address;
  sockaddr_in encoded{};
  bool valid = colon != std::string_view::npos;
  if (valid) {
    address.host = std::string(text.substr(0, colon));
    const char* end = text.data() + text.size();
    const auto [rest, ec] =
        std::from_chars(text.data() + colon + 1, end, address.port);
    valid = ec == std::errc() && rest == end && ToSockaddr(address, &encoded);
  }
  if (!valid) {
    return core::Error{core::ErrorCode::kInvalidArgument,
                       "'" + std::string(text) + "' is not IP:port",
                       core::Execution::kNotRun,
                       {}};
  }
  return address;
}

StreamSocket::StreamSocket(QObject* parent) : QObject(parent) {}

StreamSocket::~StreamSocket() { CloseDescriptor(false); }

void StreamSocket::Adopt(int descriptor) {
  descriptor_ = descriptor;
  connected_ = true;
  SetSocketOptions();
  CreateNotifiers();
}

void StreamSocket::Connect(const SocketAddress& address) {
  sockaddr_in v4{};
  sockaddr_in6 v6{};
  const bool is_v4 = ToSockaddr(address, &v4);
  const bool is_address = is_v4 || ToSockaddr(address, &v6);
  const auto* target = is_v4 ? reinterpret_cast<sockaddr*>(&v4)
                             : reinterpret_cast<sockaddr*>(&v6);
  descriptor_ =
      socket(target->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const bool valid = descriptor_ >= 0 && is_address;
  if (valid) {
    SetSocketOptions();
  }
  const int status =
      valid ? ::connect(descriptor_, target, is_v4 ? sizeof(v4) : sizeof(v6))
            : -1;
  if (!valid || (status != 0 && errno != EINPROGRESS)) {
    error_ = valid ? errno : EINVAL;
    // The outcome is reported from the event loop, never within this call.
    QMetaObject::invokeMethod(
        this, [this] { End(SocketEnd::kReset); }, Qt::QueuedConnection);
    return;
  }
  CreateNotifiers();
  writable_->setEnabled(true);
}

void StreamSocket::SetSocketOptions() {
  SetOption(descriptor_, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor_, SOL_SOCKET, SO_SNDBUF, kKernelBufferBytes);
  SetOption(descriptor_, SOL_SOCKET, SO_RCVBUF, kKernelBufferBytes);
  if (!has_peer_timeout_) {
    return;
  }
  SetOption(descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(kPeerTimeout.count()));
  SetOption(descriptor_, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor_, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
  SetOption(descriptor_, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds);
  SetOption(descriptor_, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void StreamSocket::CreateNotifiers() {
  readable_ =
      std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
  writable_ =
      std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Write);
  readable_->setEnabled(connected_ && reading_);
  writable_->setEnabled(false);
  connect(readable_.get(), &QSocketNotifier::activated, this,
          &StreamSocket::OnReadable);
  connect(writable_.get(), &QSocketNotifier::activated, this,
          &StreamSocket::OnWritable);
}

void StreamSocket::Deliver(std::string_view bytes) {
  const bool handled = logging::CallGuarded(
      "received bytes", [this, bytes] { events_.on_bytes(bytes); });
  if (!handled) {
    End(SocketEnd::kReset);
  }
}

void StreamSocket::OnReadable() {
  std::array<char, kReadChunkBytes> buf;
  for (int n = 0; n < kReadsPerTurn && is_open() && reading_; ++n) {
    const ssize_t got = recv(descriptor_, buf.data(), buf.size(), 0);
    if (got > 0) {
      if (events_.on_bytes && !close_after_write_) {
        Deliver({buf.data(), static_cast<size_t>(got)});
      }
      if (static_cast<size_t>(got) < buf.size()) {
        return;
      }
      continue;
    }
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    error_ = got < 0 ? errno : 0;
    End(got == 0 ? SocketEnd::kFinished : SocketEnd::kReset);
    return;
  }
}

void StreamSocket::OnWritable() {
  if (!connected_) {
    socklen_t size = sizeof(error_);
    getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error_, &size);
    if (error_ != 0) {
      End(SocketEnd::kReset);
      return;
    }
    connected_ = true;
    writable_->setEnabled(false);
    readable_->setEnabled(reading_);
    if (events_.on_connected) {
      events_.on_connected();
    }
    if (!is_open()) {
      return;
    }
  }
  Flush();
}

void StreamSocket::Write(std::string_view bytes) {
  if (!is_open()) {
    return;
  }
  AppendOutput(bytes);
  if (connected_) {
    Flush();
  }
}

void StreamSocket::AppendOutput(std::string_view bytes) {
  const size_t needed = output_.size() + bytes.size();
  if (needed > output_.capacity()) {
    // What was sent already is not copied: a peer that reads steadily, but
    // never everything, would let the buffer grow with all that it is sent.
    std::string grown;
    grown.reserve((pending_bytes() + bytes.size() + kOutputStep - 1) /
                  kOutputStep * kOutputStep);
    grown.append(output_, sent_, std::string::npos);
    output_.swap(grown);
    sent_ = 0;
  }
  output_.append(bytes);
  charge_.Set(output_.capacity());
}

void StreamSocket::ClearOutput() {
  if (output_.capacity() > kKeptOutputBytes) {
    std::string().swap(output_);
  }
  output_.clear();
  sent_ = 0;
  charge_.Set(output_.capacity());
}

void StreamSocket::Flush() {
  const size_t pending_before = pending_bytes();
  while (sent_ < output_.size()) {
    const ssize_t n = send(descriptor_, output_.data() + sent_,
                           output_.size() - sent_, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && errno == EAGAIN) {
      writable_->setEnabled(true);
      const size_t pending = pending_bytes();
      if (events_.on_drained && pending < pending_before &&
          pending <= low_water_ && !close_after_write_) {
        events_.on_drained();
      }
      return;
    }
    if (n < 0) {
      error_ = errno;
      // A read may report the failure before this; it is reported only once.
      QMetaObject::invokeMethod(
          this, [this] { End(SocketEnd::kReset); }, Qt::QueuedConnection);
      ClearOutput();
      return;
    }
    sent_ += static_cast<size_t>(n);
  }
  ClearOutput();
  writable_->setEnabled(false);
  if (close_after_write_) {
    FinishOutput();
    return;
  }
  if (events_.on_drained) {
    events_.on_drained();
  }
}

void StreamSocket::CloseAfterWrite() {
  if (!is_open() || close_after_write_) {
    return;
  }
  close_after_write_ = true;
  SetReading(true);
  if (pending_bytes() == 0) {
    FinishOutput();
  }
}

void StreamSocket::FinishOutput() {
  // Closing with unread input would reset the connection, and the peer would
  // lose the last response. Gives the peer time to read it and to close.
  shutdown(descriptor_, SHUT_WR);
  QTimer::singleShot(kLingerTime, this, [this] { End(SocketEnd::kFinished); });
}

std::string StreamSocket::error_text() const {
  return error_ == 0 ? std::string() : std::strerror(error_);
}

void StreamSocket::Close() { CloseDescriptor(false); }

void StreamSocket::Abort() { CloseDescriptor(true); }

bool StreamSocket::HasUnreadInput() const {
  char byte = 0;
  return is_open() && recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void StreamSocket::SetReading(bool reading) {
  reading_ = reading;
  if (readable_ && connected_) {
    readable_->setEnabled(reading);
  }
}

void StreamSocket::End(SocketEnd how) {
  if (!is_open()) {
    return;
  }
  CloseDescriptor(false);
  if (events_.on_end) {
    events_.on_end(how);
  }
}

void StreamSocket::CloseDescriptor(bool reset) {
  if (descriptor_ < 0) {
    return;
  }
  for (auto* it : {&readable_, &writable_}) {
    if (*it) {
      (*it)->setEnabled(false);
      // This may run within a signal of the notifier.
      it->release()->deleteLater();
    }
  }
  if (reset || pending_bytes() > 0) {
    const linger option{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  }
  ::close(descriptor_);
  descriptor_ = -1;
  connected_ = false;
  ClearOutput();
}

StreamListener::~StreamListener() { Close(); }

core::Status StreamListener::Listen(const SocketAddress& address,
                                    std::function<void(int)> on_accept) {
  on_accept_ = std::move(on_accept);
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in encoded{};
  if (descriptor_ < 0 || !ToSockaddr(address, &encoded)) {
    return SocketError("listen");
  }
  SetOption(descriptor_, SOL_SOCKET, SO_REUSEADDR, 1);
  auto* name = reinterpret_cast<sockaddr*>(&encoded);
  socklen_t size = sizeof(encoded);
  if (bind(descriptor_, name, size) != 0 ||
      listen(descriptor_, kBacklog) != 0 ||
      getsockname(descriptor_, name, &size) != 0) {
    const core::Error error = SocketError("listen");
    Close();
    return error;
  }
  port_ = ntohs(encoded.sin_port);
  readable_ =
      std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
  connect(readable_.get(), &QSocketNotifier::activated, this,
          &StreamListener::Accept);
  return std::monostate{};
}

void StreamListener::Close() {
  readable_.reset();
  if (descriptor_ >= 0) {
    ::close(descriptor_);
    descriptor_ = -1;
  }
}

void StreamListener::AcceptAndClose() {
  if (descriptor_ >= 0) {
    Accept();
  }
  Close();
}

void StreamListener::Accept() {
  while (true) {
    const int accepted =
        accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    on_accept_(accepted);
  }
}

}  // namespace hawthorn::transport

#include "peer/peer_transport.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>
#include <algorithm>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "peer/errors.h"
#include "peer/handshake.h"
#include "peer/incoming_link.h"
#include "peer/link_context.h"
#include "peer/outgoing_link.h"

namespace hawthorn::peer {

namespace {

/// Interval at which deadlines and timeouts of links are checked.
constexpr std::chrono::milliseconds kTimeoutCheckInterval{20};

std::optional<detail::PeerEndpoint> ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  QString host = QString::fromStdString(address.substr(0, colon));
  if (host.startsWith('[') && host.endsWith(']')) {
    host = host.mid(1, host.size() - 2);
  }
  bool valid = false;
  const QString port_text = QString::fromStdString(address.substr(colon + 1));
  const quint16 port = port_text.toUShort(&valid);
  const QHostAddress parsed(host);
  if (!valid || parsed.isNull()) {
    return std::nullopt;
  }
  return detail::PeerEndpoint{parsed, port};
}

core::Error BadAddress(const std::string& address) {
  return MakeError(core::ErrorCode::kInvalidArgument,
                   "'" + address + "' is not IP:port",
                   core::Execution::kNotRun);
}

}  // namespace

/// The links of a transport.
class PeerTransport::Impl {
 public:
  Impl(PeerOptions options, PeerTransport* owner);
  ~Impl();

  core::Status Listen();
  uint16_t port() const { return server_.serverPort(); }
  core::Status SetPeer(const core::InstanceId& peer,
                       const std::string& address);
  void RemovePeer(const core::InstanceId& peer);
  core::Status Submit(const core::InstanceId& to, detail::Exchange exchange);
  void Cancel(uint64_t number);
  void SetReading(uint64_t number, bool reading);
  void CutLinks(const std::set<core::InstanceId>& peers);
  bool IsConnected(const core::InstanceId& peer) const;
  uint64_t NextNumber() { return ++last_number_; }
  /// Removes the callbacks of a stream; returns whether it was open.
  bool RemoveStream(uint64_t number);

  detail::LinkContext context;
  std::map<uint64_t, StreamCallbacks> streams;

 private:
  void Accept();
  void CheckTimeouts();
  size_t CountHandshakes() const;

  PeerTransport* owner_;
  QTcpServer server_;
  QTimer timeout_timer_;
  std::map<core::InstanceId, std::unique_ptr<detail::OutgoingLink>> outgoing_;
  std::vector<detail::IncomingLink*> incoming_;
  uint64_t last_number_ = 0;
  uint64_t last_seed_ = 0;
};

PeerTransport::Impl::Impl(PeerOptions options, PeerTransport* owner)
    : owner_(owner), last_seed_(options.seed) {
  context.options = std::move(options);
  context.defer = [owner](std::function<void()> function) {
    QMetaObject::invokeMethod(owner, std::move(function), Qt::QueuedConnection);
  };
  QObject::connect(&server_, &QTcpServer::newConnection, owner_,
                   [this] { Accept(); });
  QObject::connect(&timeout_timer_, &QTimer::timeout, owner_,
                   [this] { CheckTimeouts(); });
  timeout_timer_.start(kTimeoutCheckInterval);
}

PeerTransport::Impl::~Impl() {
  server_.close();
  for (detail::IncomingLink* link : incoming_) {
    delete link;
  }
}

core::Status PeerTransport::Impl::Listen() {
  if (context.options.key.size() < kMinKeyBytes) {
    return MakeError(core::ErrorCode::kInvalidArgument,
                     "the shared key is shorter than 16 bytes",
                     core::Execution::kNotRun);
  }
  const auto endpoint = ParseEndpoint(context.options.listen_address);
  if (!endpoint) {
    return BadAddress(context.options.listen_address);
  }
  if (!server_.listen(endpoint->host, endpoint->port)) {
    return MakeError(core::ErrorCode::kUnavailable,
                     "cannot listen on " + context.options.listen_address +
                         ": " + server_.errorString().toStdString(),
                     core::Execution::kNotRun);
  }
  return std::monostate();
}

core::Status PeerTransport::Impl::SetPeer(const core::InstanceId& peer,
                                          const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint || endpoint->port == 0) {
    return BadAddress(address);
  }
  context.known_peers.insert(peer);
  std::unique_ptr<detail::OutgoingLink>& link = outgoing_[peer];
  if (link && link->endpoint() == *endpoint) {
    return std::monostate();
  }
  if (link) {
    link->FailAll("the address of the instance changed");
  }
  link = std::make_unique<detail::OutgoingLink>(peer, *endpoint, context,
                                                ++last_seed_, nullptr);
  return std::monostate();
}

void PeerTransport::Impl::RemovePeer(const core::InstanceId& peer) {
  context.known_peers.erase(peer);
  const auto it = outgoing_.find(peer);
  if (it != outgoing_.end()) {
    it->second->FailAll("the instance was removed");
    outgoing_.erase(it);
  }
  for (detail::IncomingLink* link : incoming_) {
    if (link->peer() == peer) {
      link->Close();
    }
  }
}

core::Status PeerTransport::Impl::Submit(const core::InstanceId& to,
                                         detail::Exchange exchange) {
  const auto it = outgoing_.find(to);
  if (it == outgoing_.end()) {
    return MakeError(core::ErrorCode::kNotFound,
                     "instance '" + to.text() + "' is not known",
                     core::Execution::kNotRun);
  }
  return it->second->Submit(std::move(exchange));
}

void PeerTransport::Impl::Cancel(uint64_t number) {
  for (const auto& [peer, link] : outgoing_) {
    link->Cancel(number);
  }
}

void PeerTransport::Impl::SetReading(uint64_t number, bool reading) {
  for (const auto& [peer, link] : outgoing_) {
    link->SetReading(number, reading);
  }
}

void PeerTransport::Impl::CutLinks(const std::set<core::InstanceId>& peers) {
  context.cut_peers = peers;
  for (const auto& [peer, link] : outgoing_) {
    link->ApplyCut();
  }
  for (detail::IncomingLink* link : incoming_) {
    link->ApplyCut();
  }
}

bool PeerTransport::Impl::IsConnected(const core::InstanceId& peer) const {
  const auto it = outgoing_.find(peer);
  return it != outgoing_.end() && it->second->is_open();
}

bool PeerTransport::Impl::RemoveStream(uint64_t number) {
  return streams.erase(number) > 0;
}

void PeerTransport::Impl::Accept() {
  while (QTcpSocket* socket = server_.nextPendingConnection()) {
    if (CountHandshakes() >= context.options.max_handshakes) {
      ++context.counters.refused_handshakes;
      socket->abort();
      socket->deleteLater();
      continue;
    }
    const auto on_closed = [this](detail::IncomingLink* link) {
      std::erase(incoming_, link);
      link->deleteLater();
    };
    incoming_.push_back(
        new detail::IncomingLink(socket, context, on_closed, nullptr));
  }
}

void PeerTransport::Impl::CheckTimeouts() {
  const core::TimePoint now = std::chrono::steady_clock::now();
  for (const auto& [peer, link] : outgoing_) {
    link->CheckTimeouts(now);
  }
  for (detail::IncomingLink* link : incoming_) {
    link->CheckTimeouts();
  }
}

size_t PeerTransport::Impl::CountHandshakes() const {
  return static_cast<size_t>(
      std::ranges::count_if(incoming_, [](const detail::IncomingLink* link) {
        return !link->is_authenticated();
      }));
}

PeerTransport::PeerTransport(PeerOptions options, QObject* parent)
    : QObject(parent),
      impl_(std::make_unique<Impl>(std::move(options), this)) {}

PeerTransport::~PeerTransport() {
  const auto streams = std::exchange(impl_->streams, {});
  for (const auto& [number, callbacks] : streams) {
    callbacks.on_end(MakeError(core::ErrorCode::kUnavailable,
                               "the transport ended",
                               core::Execution::kUnknown));
  }
}

core::Status PeerTransport::Listen() { return impl_->Listen(); }

uint16_t PeerTransport::port() const { return impl_->port(); }

core::Status PeerTransport::SetPeer(const core::InstanceId& peer,
                                    const std::string& address) {
  return impl_->SetPeer(peer, address);
}

void PeerTransport::RemovePeer(const core::InstanceId& peer) {
  impl_->RemovePeer(peer);
}

void PeerTransport::SetHandler(MessageHandler handler) {
  impl_->context.handler = std::move(handler);
}

core::Status PeerTransport::Send(const core::InstanceId& to,
                                 schema::PeerMessage message) {
  message.clear_from();
  detail::Exchange exchange;
  exchange.number = impl_->NextNumber();
  exchange.body = message.SerializeAsString();
  return impl_->Submit(to, std::move(exchange));
}

void PeerTransport::Request(const core::InstanceId& to,
                            schema::PeerMessage message,
                            std::chrono::milliseconds timeout,
                            ReplyCallback callback) {
  const auto reply = std::make_shared<std::optional<schema::PeerMessage>>();
  StreamCallbacks callbacks;
  callbacks.on_chunk = [reply](const schema::PeerMessage& chunk) {
    *reply = chunk;
  };
  callbacks.on_end =
      [reply, callback = std::move(callback)](const core::Status& status) {
        if (core::IsOk(status) && reply->has_value()) {
          callback(std::move(**reply));
        } else {
          callback(core::ErrorOf(status));
        }
      };
  Open(to, std::move(message), timeout, true, std::move(callbacks));
}

StreamHandle PeerTransport::OpenStream(const core::InstanceId& to,
                                       schema::PeerMessage message,
                                       std::chrono::milliseconds idle_timeout,
                                       StreamCallbacks callbacks) {
  return Open(to, std::move(message), idle_timeout, false,
              std::move(callbacks));
}

StreamHandle PeerTransport::Open(const core::InstanceId& to,
                                 schema::PeerMessage message,
                                 std::chrono::milliseconds timeout,
                                 bool single_reply, StreamCallbacks callbacks) {
  message.clear_from();
  const uint64_t number = impl_->NextNumber();
  impl_->streams.emplace(number, std::move(callbacks));
  detail::Exchange exchange;
  exchange.number = number;
  exchange.body = message.SerializeAsString();
  exchange.expects_reply = true;
  exchange.single_reply = single_reply;
  exchange.timeout = std::max(timeout, std::chrono::milliseconds(1));
  exchange.on_chunk = [this, number](const schema::PeerMessage& chunk) {
    const auto it = impl_->streams.find(number);
    if (it != impl_->streams.end()) {
      // The callback may cancel the stream, which removes the callback.
      const auto on_chunk = it->second.on_chunk;
      on_chunk(chunk);
    }
  };
  exchange.on_end = [this, number](const core::Status& status) {
    const auto it = impl_->streams.find(number);
    if (it != impl_->streams.end()) {
      const auto on_end = std::move(it->second.on_end);
      impl_->streams.erase(it);
      on_end(status);
    }
  };
  const auto on_end = exchange.on_end;
  const core::Status submitted = impl_->Submit(to, std::move(exchange));
  if (!core::IsOk(submitted)) {
    impl_->context.defer([on_end, submitted] { on_end(submitted); });
  }
  return StreamHandle{number};
}

void PeerTransport::CancelStream(StreamHandle stream) {
  if (impl_->RemoveStream(stream.number)) {
    impl_->Cancel(stream.number);
  }
}

void PeerTransport::SetStreamReading(StreamHandle stream, bool reading) {
  if (impl_->streams.contains(stream.number)) {
    impl_->SetReading(stream.number, reading);
  }
}

bool PeerTransport::IsConnected(const core::InstanceId& peer) const {
  return impl_->IsConnected(peer);
}

void PeerTransport::CutLinks(const std::set<core::InstanceId>& peers) {
  impl_->CutLinks(peers);
}

PeerCounters PeerTransport::counters() const { return impl_->context.counters; }

}  // namespace hawthorn::peer

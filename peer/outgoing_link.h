#pragma once

#include <QElapsedTimer>
#include <QHostAddress>
#include <QObject>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "core/id.h"
#include "peer/exchange.h"
#include "peer/handshake.h"
#include "peer/http2_session.h"
#include "peer/link_context.h"
#include "peer/link_socket.h"

namespace hawthorn::peer::detail {

/// Peer address of an instance.
struct PeerEndpoint {
  QHostAddress host;
  quint16 port = 0;

  bool operator==(const PeerEndpoint&) const = default;
};

/// Connection to another instance. Sends messages and receives replies.
/// Connects when a message is submitted, with backoff after a failure.
class OutgoingLink : public QObject, public Http2Events {
 public:
  OutgoingLink(core::InstanceId peer, PeerEndpoint endpoint,
               LinkContext& context, uint64_t seed, QObject* parent);
  ~OutgoingLink() override;

  /// Sends or queues `exchange`. On an error, its callbacks are not called.
  core::Status Submit(Exchange exchange);
  /// Drops an exchange without calling its callbacks.
  void Cancel(uint64_t number);
  /// Pauses or resumes the reply to an exchange that was sent.
  void SetReading(uint64_t number, bool reading);

  /// Freezes or unfreezes the link according to LinkContext::cut_peers.
  void ApplyCut();
  /// Ends exchanges whose deadline has passed, and closes the link if its peer
  /// sent nothing for too long or it is idle.
  void CheckTimeouts(core::TimePoint now);
  /// Fails all queued and sent exchanges.
  void FailAll(const char* reason);

  bool is_open() const { return state_ == State::kOpen; }
  const PeerEndpoint& endpoint() const { return endpoint_; }

 private:
  enum class State {
    kIdle,
    kConnecting,
    kHandshake,
    kProofSent,
    kOpen,
    kBackoff
  };

  void Connect();
  void OnConnected();
  void OnBytes(std::string_view bytes);
  void OnHandshakeBytes(std::string_view bytes);
  void OnSessionBytes(std::string_view bytes);
  void OnClosed();
  void Start(Exchange exchange);
  void StartPending();
  void EndExchange(Exchange exchange, const core::Status& status);
  void FailActive(const char* reason);
  void FailPending(const char* reason);
  void CheckExchangeDeadlines(core::TimePoint now);
  void ReadChunks(int32_t stream);
  std::chrono::milliseconds NextBackoff();
  size_t QueuedBytes() const;

  void OnHeader(int32_t stream, std::string_view name,
                std::string_view value) override;
  void OnBody(int32_t stream, std::string_view bytes) override;
  void OnBodyEnd(int32_t stream) override;
  void OnStreamClosed(int32_t stream, uint32_t error, bool fully_sent) override;
  void OnBodyConsumed(int32_t stream) override;

  core::InstanceId peer_;
  PeerEndpoint endpoint_;
  LinkContext& context_;
  std::mt19937_64 random_;
  State state_ = State::kIdle;
  uint32_t failures_ = 0;
  core::TimePoint retry_at_;
  core::TimePoint state_since_;
  core::TimePoint last_used_;
  std::deque<Exchange> pending_;
  size_t pending_bytes_ = 0;
  std::map<int32_t, Exchange> active_;
  std::unique_ptr<HandshakeInitiator> handshake_;
  HandshakeReader reader_;
  std::unique_ptr<Http2Session> session_;
  std::unique_ptr<LinkSocket> socket_;
};

}  // namespace hawthorn::peer::detail

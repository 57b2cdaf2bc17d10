#pragma once

#include <QElapsedTimer>
#include <QObject>
#include <QTcpSocket>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/id.h"
#include "peer/handshake.h"
#include "peer/http2_session.h"
#include "peer/link_context.h"
#include "peer/link_socket.h"

namespace hawthorn::peer::detail {

class ReplyStream;

/// Connection that another instance opened. Receives its messages and sends
/// replies.
class IncomingLink : public QObject, public Http2Events {
 public:
  /// Takes ownership of `socket`. `on_closed` is called once when the
  /// connection is closed.
  IncomingLink(QTcpSocket* socket, LinkContext& context,
               std::function<void(IncomingLink*)> on_closed, QObject* parent);
  ~IncomingLink() override;

  /// Freezes or unfreezes the link according to LinkContext::cut_peers.
  void ApplyCut();
  /// Closes the link if its peer sent nothing for too long or did not
  /// authenticate in time.
  void CheckTimeouts();
  void Close() { socket_.Close(); }

  bool is_authenticated() const { return session_ != nullptr; }
  const core::InstanceId& peer() const { return peer_; }

  /// Sends one chunk of the reply on `stream`, unless its queue is full.
  core::Status SendChunk(int32_t stream, const schema::PeerMessage& chunk);
  /// Sends the last chunk of the reply on `stream`, even if its queue is full.
  void SendFinalChunk(int32_t stream, const schema::PeerMessage& chunk);
  /// Ends the reply on `stream`.
  void EndReply(int32_t stream);

 private:
  struct Incoming {
    std::string body;
    bool expects_reply = false;
    bool reply_started = false;
    bool dispatched = false;
    std::weak_ptr<ReplyStream> reply;
  };

  void OnBytes(std::string_view bytes);
  void OnHandshakeBytes(std::string_view bytes);
  bool OnHandshakeMessage(const schema::LinkHandshake& message);
  void Refuse();
  void OnClosed();
  void Dispatch(int32_t stream, Incoming& incoming);

  void OnHeader(int32_t stream, std::string_view name,
                std::string_view value) override;
  void OnBody(int32_t stream, std::string_view bytes) override;
  void OnBodyEnd(int32_t stream) override;
  void OnStreamClosed(int32_t stream, uint32_t error, bool fully_sent) override;
  void OnBodyConsumed(int32_t stream) override;

  LinkContext& context_;
  std::function<void(IncomingLink*)> on_closed_;
  HandshakeReader reader_;
  HandshakeAcceptor handshake_;
  bool hello_received_ = false;
  core::InstanceId peer_;
  std::unique_ptr<Http2Session> session_;
  std::map<int32_t, Incoming> streams_;
  size_t buffered_bytes_ = 0;
  QElapsedTimer age_;
  LinkSocket socket_;
};

}  // namespace hawthorn::peer::detail

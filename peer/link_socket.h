#pragma once

#include <QElapsedTimer>
#include <QObject>
#include <QTcpSocket>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "peer/http2_session.h"
#include "peer/link_context.h"

namespace hawthorn::peer::detail {

/// Socket of a link. Counts bytes, detects a peer that sends nothing, can be
/// frozen to simulate a network partition, and sends the output of an HTTP/2
/// session.
class LinkSocket : public QObject {
 public:
  struct Events {
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_bytes;
    /// The connection is closed. Called once, from the event loop.
    std::function<void()> on_closed;
  };

  /// Takes ownership of `socket`.
  LinkSocket(QTcpSocket* socket, LinkContext& context, Events events,
             QObject* parent);
  ~LinkSocket() override;

  void Connect(const QString& host, quint16 port);
  /// Writes bytes of the handshake.
  void Write(std::string_view bytes);
  /// Sends the output of `session` from now on.
  void Attach(Http2Session* session);
  /// Sends the output of the session from the event loop.
  void ScheduleFlush();
  /// Closes the connection; on_closed follows.
  void Close();
  /// While frozen, the socket neither reads nor writes.
  void SetFrozen(bool frozen);
  /// Sends a ping or closes the link, depending on the time since the last
  /// received byte.
  void CheckTimeout();

  bool is_frozen() const { return frozen_; }

 private:
  void OnReadable();
  void Flush();

  QTcpSocket* socket_;
  LinkContext& context_;
  Events events_;
  Http2Session* session_ = nullptr;
  QElapsedTimer last_received_;
  bool ping_sent_ = false;
  bool flush_scheduled_ = false;
  bool frozen_ = false;
  bool closing_ = false;
  bool close_reported_ = false;
  bool reading_ = false;
};

}  // namespace hawthorn::peer::detail

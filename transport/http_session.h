#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "transport/http_message.h"
#include "transport/request_framer.h"
#include "transport/stream_socket.h"

// HTTP/1.1 server whose answers are relayed as they arrive. Qt's HTTP server
// neither bounds what it reads nor keeps pipelined answers apart.
namespace hawthorn::transport {

/// What a client may send and how long it may take.
struct SessionLimits {
  FramingLimits framing;
  /// From the first byte of a request to its last one.
  std::chrono::milliseconds request_timeout{3000};
  /// Between two requests of one connection.
  std::chrono::milliseconds idle_timeout{15000};

  bool operator==(const SessionLimits&) const = default;
};

/// One connection of a client; requests are handled one at a time, in order.
class HttpSession final : public QObject {
  Q_OBJECT

 public:
  /// Bytes kept of a request that arrives while another one is answered.
  static constexpr size_t kMaxPipelinedBytes = size_t{64} * 1024;

  struct Events {
    std::function<void(HttpSession&, RelayRequest)> on_request;
    /// The session ended and will be deleted.
    std::function<void(HttpSession&)> on_closed;
  };

  HttpSession(int descriptor, const SessionLimits& limits, Events events,
              QObject* parent);

  /// Sets who hears that the client of the present exchange left.
  void SetDisconnectHandler(std::function<void()> on_disconnected);

  /// Answers with a whole body.
  void Respond(int status, HeaderList fields, std::string_view body);
  /// Starts an answer whose body follows; chunked without a length.
  void BeginBody(const ResponseHead& head, std::optional<uint64_t> length);
  void WriteBody(std::string_view bytes);
  void EndBody();
  /// Breaks the answer off so that it does not look complete.
  void AbortBody();

  /// Closes the connection after the present exchange, or now if idle.
  void CloseWhenIdle();
  /// The answer to the present exchange says that the connection closes.
  void AnnounceClose() { closing_ = true; }

  bool busy() const { return busy_; }
  /// Bytes of the answer that the client has not taken.
  size_t pending_bytes() const { return socket_.pending_bytes(); }
  /// Called whenever the client has taken everything that was written.
  void SetDrainedHandler(std::function<void()> on_drained);

 private:
  void OnBytes(std::string_view bytes);
  void OnEnd();
  void ParseRequests();
  void DeliverRequest();
  void Refuse(int status, const std::string& reason);
  void FinishExchange();
  void OnTimeout();
  HeaderList WithFraming(HeaderList fields) const;

  SessionLimits limits_;
  Events events_;
  StreamSocket socket_;
  RequestFramer framer_;
  QTimer timer_;
  std::string input_;
  bool busy_ = false;
  bool closing_ = false;
  bool closed_ = false;
  bool chunked_ = false;
  bool head_request_ = false;
  std::function<void()> on_disconnected_;
};

/// Accepts clients and owns their sessions.
class HttpEndpoint final : public QObject {
  Q_OBJECT

 public:
  using RequestHandler = std::function<void(HttpSession&, RelayRequest)>;

  /// Connections beyond this number are closed at once. Leaves descriptors
  /// for upstreams and peers within the usual limit of 4096.
  static constexpr size_t kMaxSessions = 2500;

  explicit HttpEndpoint(RequestHandler on_request, QObject* parent = nullptr);

  core::Status Listen(const SocketAddress& address);
  /// The same for "IP:port"; kInvalidArgument for anything else.
  core::Status ListenAt(std::string_view address);
  uint16_t port() const { return listener_.port(); }
  void SetLimits(const SessionLimits& limits) { limits_ = limits; }
  /// Tells clients to leave: answers close their connections, idle ones close.
  void CloseIdle();
  /// From now on every answer closes its connection.
  void AnnounceClose() { closing_ = true; }
  size_t session_count() const { return sessions_.size(); }
  size_t busy_count() const;

 private:
  void Accept(int descriptor);

  RequestHandler on_request_;
  SessionLimits limits_;
  StreamListener listener_;
  std::set<HttpSession*> sessions_;
  bool closing_ = false;
};

}  // namespace hawthorn::transport

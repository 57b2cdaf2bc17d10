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
#include "transport/buffer_budget.h"
#include "transport/http_message.h"
#include "transport/request_framer.h"
#include "transport/stream_socket.h"

// HTTP/1.1 server for responses that are forwarded as they arrive. Qt's HTTP
// server neither limits what it reads nor keeps pipelined requests apart.
namespace hawthorn::transport {

/// Size limits and timeouts of a client connection.
struct SessionLimits {
  FramingLimits framing;
  /// Timeout from the first byte of a request to its last one.
  std::chrono::milliseconds request_timeout{3000};
  /// Timeout between two requests of one connection.
  std::chrono::milliseconds idle_timeout{15000};

  bool operator==(const SessionLimits&) const = default;
};

/// Connection of a client. Handles its requests one at a time, in order.
class HttpSession final : public QObject {
  Q_OBJECT

 public:
  /// Bytes buffered while a request is handled above which reading is paused.
  static constexpr size_t kMaxPipelinedBytes = size_t{64} * 1024;
  /// A request that is larger is refused while it is received if the buffers of
  /// the instance are full. Smaller ones are left to the request handler.
  static constexpr size_t kMaxReceivedWhenFull = size_t{16} * 1024;
  /// Retry-After in seconds of such a refusal.
  static constexpr const char* kFullRetryAfter = "0.5";

  struct Events {
    std::function<void(HttpSession&, RelayRequest)> on_request;
    /// The session has ended; the receiver deletes it.
    std::function<void(HttpSession&)> on_closed;
  };

  /// What the session buffers counts against `budget`, if there is one.
  HttpSession(int descriptor, const SessionLimits& limits, Events events,
              BufferBudget* budget, QObject* parent);
  /// Resets the connection if a response is incomplete.
  ~HttpSession() override;

  /// Sets the function to call if the client disconnects during the current
  /// exchange.
  void SetDisconnectHandler(std::function<void()> on_disconnected);

  /// Sends a complete response.
  void Respond(int status, HeaderList fields, std::string_view body);
  /// Starts a response whose body follows; chunked if `length` is absent.
  void BeginBody(const ResponseHead& head, std::optional<uint64_t> length);
  void WriteBody(std::string_view bytes);
  void EndBody();
  /// Resets the connection so that the response does not look complete.
  void AbortBody();

  /// Closes the connection after the current exchange, or now if idle.
  void CloseWhenIdle();
  /// Closes the connection after the response of the current exchange.
  void CloseAfterResponse() { closing_ = true; }

  bool busy() const { return busy_; }
  /// Bytes of the response that were written but not sent yet.
  size_t pending_bytes() const { return socket_.pending_bytes(); }
  /// Sets the function to call whenever bytes have been sent and no more than
  /// `low_water` bytes are pending.
  void SetDrainedHandler(std::function<void()> on_drained,
                         size_t low_water = 0);

 private:
  void OnBytes(std::string_view bytes);
  void OnEnd();
  void ParseRequests();
  void DeliverRequest();
  void Refuse(int status, const std::string& reason, HeaderList fields = {});
  /// Counts the bytes that were received against the budget.
  void CountInput();
  void FinishExchange();
  void OnTimeout();
  HeaderList WithFraming(HeaderList fields) const;

  SessionLimits limits_;
  Events events_;
  StreamSocket socket_;
  RequestFramer framer_;
  QTimer timer_;
  std::string input_;
  BufferCharge input_charge_;
  bool busy_ = false;
  bool closing_ = false;
  bool closed_ = false;
  bool chunked_ = false;
  bool head_request_ = false;
  bool http_1_0_request_ = false;
  std::function<void()> on_disconnected_;
};

/// Accepts clients and owns their sessions.
class HttpEndpoint final : public QObject {
  Q_OBJECT

 public:
  using RequestHandler = std::function<void(HttpSession&, RelayRequest)>;

  /// Connections beyond this number are closed at once. Leaves file descriptors
  /// for upstreams and peers within the usual limit of 4096.
  static constexpr size_t kMaxSessions = 2500;

  explicit HttpEndpoint(RequestHandler on_request, QObject* parent = nullptr);

  core::Status Listen(const SocketAddress& address);
  /// Listens on "IP:port"; returns kInvalidArgument for a malformed address.
  core::Status ListenAt(std::string_view address);
  uint16_t port() const { return listener_.port(); }
  void SetLimits(const SessionLimits& limits) { limits_ = limits; }
  /// Counts what the sessions buffer against `budget`, which must outlive the
  /// endpoint. To be called before Listen.
  void SetBudget(BufferBudget* budget) { budget_ = budget; }
  /// Drains the connections: idle ones close now, the others after their
  /// response.
  void DrainConnections();
  /// From now on, every response closes its connection.
  void CloseAfterResponses() { closing_ = true; }
  /// Accepts the connections that the kernel has queued, then stops listening.
  void StopListening();
  size_t session_count() const { return sessions_.size(); }
  size_t busy_count() const;

 private:
  void Accept(int descriptor);

  RequestHandler on_request_;
  SessionLimits limits_;
  BufferBudget* budget_ = nullptr;
  StreamListener listener_;
  std::set<HttpSession*> sessions_;
  bool closing_ = false;
};

}  // namespace hawthorn::transport

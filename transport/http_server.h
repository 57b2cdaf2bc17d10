#pragma once

#include <QAbstractHttpServer>
#include <QPointer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "transport/guarded_listener.h"

class QHttpServerResponder;

namespace hawthorn::transport {

class GuardedSocket;

/// Identifies an exchange of an HTTP server. Never reused in a process.
using ExchangeId = uint64_t;

/// Header fields in the order in which they are sent.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A complete request.
struct HttpRequest {
  ExchangeId id = 0;
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  bool operator==(const HttpRequest&) const = default;

  /// Returns the value of the header field `name` (lower case), or an empty
  /// string.
  std::string Header(const std::string& name) const;
  /// Returns the value of the query parameter `name`, or an empty string.
  std::string Query(const std::string& name) const;
};

/// HTTP server based on Qt's server, behind a GuardedListener that refuses
/// malformed and oversized requests. Lives in the thread that created it; all
/// members are called there. Users refer to exchanges by their ids; a response
/// to an exchange whose client has disconnected is discarded.
class HttpServer final : public QAbstractHttpServer {
  Q_OBJECT

 public:
  using RequestHandler = std::function<void(HttpRequest)>;
  using DisconnectHandler = std::function<void(ExchangeId)>;

  /// Bytes queued for a slow client above which its stream is aborted.
  static constexpr qint64 kMaxPendingBytes = qint64{4} * 1024 * 1024;

  HttpServer(ListenerLimits limits, const core::Clock& clock,
             RequestHandler on_request, DisconnectHandler on_disconnected);
  ~HttpServer() override;

  /// Listens on `host` (an IP address) and `port`; 0 chooses a free port.
  /// Returns the port.
  core::Result<uint16_t> Listen(const std::string& host, uint16_t port);

  /// Stops accepting connections; open exchanges continue.
  void StopListening();

  /// Sends a complete response.
  void Respond(ExchangeId id, int status, const HeaderFields& headers,
               const std::string& body);

  /// Starts a response whose body follows in chunks.
  void BeginStream(ExchangeId id, int status, const HeaderFields& headers);
  /// Sends one chunk; does nothing if it is empty.
  void WriteChunk(ExchangeId id, const std::string& bytes);
  /// Ends the body and the exchange.
  void EndStream(ExchangeId id);
  /// Aborts the connection so that the client sees an incomplete body.
  void AbortStream(ExchangeId id);

  /// Whether the exchange is open and its client still connected.
  bool IsOpen(ExchangeId id) const;
  size_t open_exchanges() const { return exchanges_.size(); }
  size_t connection_count() const;
  /// Whether no exchange is open and every byte of the responses was sent.
  bool AllSent() const;

 protected:
  bool handleRequest(const QHttpServerRequest& request,
                     QTcpSocket* socket) override;
  void missingHandler(const QHttpServerRequest& request,
                      QTcpSocket* socket) override;

 private:
  struct Exchange {
    QPointer<GuardedSocket> socket;
    std::unique_ptr<QHttpServerResponder> responder;
    bool streaming = false;
    bool closes = false;
  };

  Exchange* Find(ExchangeId id);
  void WriteHead(Exchange& exchange, int status, const HeaderFields& headers);
  void Finish(ExchangeId id);
  void OnClientDisconnected(ExchangeId id);

  ListenerLimits limits_;
  const core::Clock& clock_;
  RequestHandler on_request_;
  DisconnectHandler on_disconnected_;
  GuardedListener* listener_ = nullptr;
  bool stopping_ = false;
  ExchangeId last_id_ = 0;
  std::unordered_map<ExchangeId, Exchange> exchanges_;
};

}  // namespace hawthorn::transport

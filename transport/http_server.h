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

/// Names one exchange of an HTTP server; never used twice in a process.
using ExchangeId = uint64_t;

/// Header fields in the order of sending.
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

  /// Value of the header field `name` (lower case) or an empty text.
  std::string Header(const std::string& name) const;
  /// Value of the query item `name` or an empty text.
  std::string Query(const std::string& name) const;
};

/// HTTP server on Qt's, behind the edge guard. It lives in the thread that
/// created it and all members are called there. Callers hold exchange ids:
/// an answer to an exchange whose client has left goes nowhere.
class HttpServer final : public QAbstractHttpServer {
  Q_OBJECT

 public:
  using RequestHandler = std::function<void(HttpRequest)>;
  using DisconnectHandler = std::function<void(ExchangeId)>;

  /// Bytes that may wait for a slow client before its stream is cut.
  static constexpr qint64 kMaxPendingBytes = qint64{4} * 1024 * 1024;

  HttpServer(ListenerLimits limits, const core::Clock& clock,
             RequestHandler on_request, DisconnectHandler on_disconnected);
  ~HttpServer() override;

  /// Listens on `host` (an IP number) and `port`; 0 lets the kernel choose.
  /// Returns the port.
  core::Result<uint16_t> Listen(const std::string& host, uint16_t port);

  /// Stops accepting connections; open exchanges go on.
  void StopListening();

  /// Sends a whole answer.
  void Respond(ExchangeId id, int status, const HeaderFields& headers,
               const std::string& body);

  /// Starts an answer whose body follows in pieces.
  void BeginStream(ExchangeId id, int status, const HeaderFields& headers);
  /// Sends one piece; it must not be empty.
  void WritePiece(ExchangeId id, const std::string& bytes);
  /// Ends the body and the exchange.
  void EndStream(ExchangeId id);
  /// Cuts the connection so that the client sees an incomplete body.
  void AbortStream(ExchangeId id);

  /// Whether the exchange's client is still there.
  bool IsOpen(ExchangeId id) const;
  size_t open_exchanges() const { return exchanges_.size(); }
  size_t connection_count() const;
  /// Whether no exchange is open and every byte of the answers was taken.
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

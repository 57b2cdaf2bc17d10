#include "transport/http_server.h"

#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QUrlQuery>
#include <cstdio>

#include "transport/guarded_socket.h"

namespace hawthorn::transport {

namespace {

std::string MethodName(QHttpServerRequest::Method method) {
  switch (method) {
    case QHttpServerRequest::Method::Get:
      return "GET";
    case QHttpServerRequest::Method::Put:
      return "PUT";
    case QHttpServerRequest::Method::Delete:
      return "DELETE";
    case QHttpServerRequest::Method::Post:
      return "POST";
    case QHttpServerRequest::Method::Head:
      return "HEAD";
    case QHttpServerRequest::Method::Patch:
      return "PATCH";
    default:
      return "OTHER";
  }
}

HttpRequest ToHttpRequest(ExchangeId id, const QHttpServerRequest& request) {
  HttpRequest converted;
  converted.id = id;
  converted.method = MethodName(request.method());
  converted.path = request.url().path(QUrl::FullyDecoded).toStdString();
  const auto items = request.query().queryItems(QUrl::FullyDecoded);
  for (const auto& [name, value] : items) {
    converted.query[name.toStdString()] = value.toStdString();
  }
  const auto headers = request.headers();
  for (const auto& [name, value] : headers) {
    converted.headers[name.toLower().toStdString()] = value.toStdString();
  }
  converted.body = request.body().toStdString();
  return converted;
}

std::string ChunkSizeLine(size_t size) {
  char buf[24];
  const int n = std::snprintf(buf, sizeof buf, "%zx\r\n", size);
  return std::string(buf, static_cast<size_t>(n));
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

std::string HttpRequest::Query(const std::string& name) const {
  const auto it = query.find(name);
  return it == query.end() ? std::string() : it->second;
}

HttpServer::HttpServer(ListenerLimits limits, const core::Clock& clock,
                       RequestHandler on_request,
                       DisconnectHandler on_disconnected)
    : limits_(limits),
      clock_(clock),
      on_request_(std::move(on_request)),
      on_disconnected_(std::move(on_disconnected)) {}

HttpServer::~HttpServer() = default;

core::Result<uint16_t> HttpServer::Listen(const std::string& host,
                                          uint16_t port) {
  listener_ = new GuardedListener(limits_, clock_, this);
  const QHostAddress address(QString::fromStdString(host));
  if (address.isNull() || !listener_->listen(address, port)) {
    return core::Error{core::ErrorCode::kInvalidArgument,
                       "cannot listen on " + host + ":" + std::to_string(port) +
                           ": " + listener_->errorString().toStdString(),
                       core::Execution::kNotRun,
                       {}};
  }
  bind(listener_);
  return listener_->serverPort();
}

void HttpServer::StopListening() {
  stopping_ = true;
  if (listener_ != nullptr) {
    listener_->close();
  }
}

size_t HttpServer::connection_count() const {
  return listener_ == nullptr ? 0 : listener_->connection_count();
}

bool HttpServer::AllSent() const {
  return exchanges_.empty() &&
         (listener_ == nullptr || listener_->pending_bytes() == 0);
}

bool HttpServer::handleRequest(const QHttpServerRequest& request,
                               QTcpSocket* socket) {
  auto* guarded = qobject_cast<GuardedSocket*>(socket);
  if (guarded == nullptr) {
    return false;
  }
  const ExchangeId id = ++last_id_;
  Exchange& exchange = exchanges_[id];
  exchange.socket = guarded;
  exchange.responder =
      std::make_unique<QHttpServerResponder>(makeResponder(request, socket));
  connect(guarded, &QTcpSocket::disconnected, this,
          [this, id] { OnClientDisconnected(id); });
  on_request_(ToHttpRequest(id, request));
  return true;
}

void HttpServer::missingHandler(const QHttpServerRequest&, QTcpSocket* socket) {
  socket->disconnectFromHost();
}

HttpServer::Exchange* HttpServer::Find(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end() || it->second.socket.isNull() ||
      !it->second.socket->alive()) {
    return nullptr;
  }
  return &it->second;
}

bool HttpServer::IsOpen(ExchangeId id) const { return exchanges_.contains(id); }

void HttpServer::WriteHead(Exchange& exchange, int status,
                           const HeaderFields& headers) {
  QHttpServerResponder& responder = *exchange.responder;
  responder.writeStatusLine(
      static_cast<QHttpServerResponder::StatusCode>(status));
  for (const auto& [name, value] : headers) {
    responder.writeHeader(QByteArray::fromStdString(name),
                          QByteArray::fromStdString(value));
  }
  exchange.closes = stopping_;
  if (exchange.closes) {
    responder.writeHeader("Connection", "close");
  }
}

void HttpServer::Respond(ExchangeId id, int status, const HeaderFields& headers,
                         const std::string& body) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr) {
    return;
  }
  WriteHead(*exchange, status, headers);
  exchange->responder->writeHeader(
      "Content-Length", QByteArray::number(static_cast<qint64>(body.size())));
  exchange->responder->writeBody(QByteArray::fromStdString(body));
  Finish(id);
}

void HttpServer::BeginStream(ExchangeId id, int status,
                             const HeaderFields& headers) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || exchange->streaming) {
    return;
  }
  exchange->streaming = true;
  WriteHead(*exchange, status, headers);
  exchange->responder->writeHeader("Transfer-Encoding", "chunked");
}

void HttpServer::WriteChunk(ExchangeId id, const std::string& bytes) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || !exchange->streaming || bytes.empty()) {
    return;
  }
  if (exchange->socket->pending_bytes() > kMaxPendingBytes) {
    AbortStream(id);
    return;
  }
  const std::string chunk = ChunkSizeLine(bytes.size()) + bytes + "\r\n";
  exchange->responder->writeBody(QByteArray::fromStdString(chunk));
}

void HttpServer::EndStream(ExchangeId id) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || !exchange->streaming) {
    return;
  }
  exchange->responder->writeBody(QByteArray("0\r\n\r\n"));
  Finish(id);
}

void HttpServer::AbortStream(ExchangeId id) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr) {
    return;
  }
  const QPointer<GuardedSocket> socket = exchange->socket;
  socket->Abort();
}

void HttpServer::Finish(ExchangeId id) {
  const auto it = exchanges_.find(id);
  const QPointer<GuardedSocket> socket = it->second.socket;
  const bool closes = it->second.closes;
  exchanges_.erase(it);
  // Qt's server ends its read transaction after the handler returns. The next
  // request of the connection must not be read before that.
  QMetaObject::invokeMethod(
      this,
      [socket, closes] {
        if (!socket.isNull()) {
          socket->FinishExchange(closes);
        }
      },
      Qt::QueuedConnection);
}

void HttpServer::OnClientDisconnected(ExchangeId id) {
  if (exchanges_.erase(id) > 0) {
    on_disconnected_(id);
  }
}

}  // namespace hawthorn::transport

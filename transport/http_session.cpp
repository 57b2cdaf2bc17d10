#include "transport/http_session.h"

#include <unistd.h>

#include <utility>

#include "transport/http_status.h"

namespace hawthorn::transport {

namespace {

bool HasBody(int status) {
  return status != status::kNotModified && status != status::kNoContent;
}

}  // namespace

HttpSession::HttpSession(int descriptor, const SessionLimits& limits,
                         Events events, BufferBudget* budget, QObject* parent)
    : QObject(parent),
      limits_(limits),
      events_(std::move(events)),
      framer_(limits.framing),
      input_charge_(budget) {
  socket_.SetBudget(budget);
  timer_.setSingleShot(true);
  connect(&timer_, &QTimer::timeout, this, &HttpSession::OnTimeout);
  timer_.start(limits_.idle_timeout);
  socket_.SetEvents({.on_connected = {},
                     .on_bytes = [this](std::string_view it) { OnBytes(it); },
                     .on_end = [this](SocketEnd) { OnEnd(); },
                     .on_drained = {}});
  socket_.Adopt(descriptor);
}

void HttpSession::SetDisconnectHandler(std::function<void()> on_disconnected) {
  on_disconnected_ = std::move(on_disconnected);
}

HttpSession::~HttpSession() {
  if (busy_) {
    // A response that ends with the connection would look complete.
    socket_.Abort();
  }
}

void HttpSession::SetDrainedHandler(std::function<void()> on_drained,
                                    size_t low_water) {
  socket_.SetDrainedHandler(std::move(on_drained), low_water);
}

void HttpSession::CountInput() {
  if (input_.empty() && input_.capacity() > StreamSocket::kKeptOutputBytes) {
    std::string().swap(input_);
  }
  input_charge_.Set(input_.capacity() + framer_.message().capacity());
}

void HttpSession::OnBytes(std::string_view bytes) {
  if (closed_) {
    return;
  }
  input_.append(bytes);
  CountInput();
  if (busy_) {
    if (input_.size() > kMaxPipelinedBytes) {
      socket_.SetReading(false);
    }
    return;
  }
  ParseRequests();
}

void HttpSession::ParseRequests() {
  while (!busy_ && !closed_ && !input_.empty()) {
    const bool started = framer_.started();
    const size_t used = framer_.Feed(input_);
    input_.erase(0, used);
    CountInput();
    switch (framer_.state()) {
      case RequestFramer::State::kComplete:
        DeliverRequest();
        return;
      case RequestFramer::State::kRefused:
        Refuse(framer_.error().status, framer_.error().reason);
        return;
      default:
        break;
    }
    if (input_charge_.IsOver() &&
        framer_.message().size() > kMaxReceivedWhenFull) {
      Refuse(status::kServiceUnavailable,
             "the buffers of the instance are full",
             {{"Retry-After", kFullRetryAfter}});
      return;
    }
    if (!started && framer_.started()) {
      timer_.start(limits_.request_timeout);
    }
    if (framer_.state() == RequestFramer::State::kBody &&
        framer_.expects_continue()) {
      socket_.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (used == 0) {
      return;
    }
  }
}

void HttpSession::DeliverRequest() {
  busy_ = true;
  timer_.stop();
  RelayRequest request = ParseFramedRequest(framer_.message());
  head_request_ = request.method == "HEAD";
  http_1_0_request_ = framer_.is_http_1_0();
  closing_ = closing_ || framer_.wants_close();
  framer_.Reset();
  CountInput();
  events_.on_request(*this, std::move(request));
}

void HttpSession::Refuse(int status, const std::string& reason,
                         HeaderList fields) {
  busy_ = true;
  closing_ = true;
  Respond(status, std::move(fields), reason);
  framer_.Reset();
  input_.clear();
  CountInput();
}

HeaderList HttpSession::WithFraming(HeaderList fields) const {
  if (closing_) {
    fields.push_back({"Connection", "close"});
  }
  return fields;
}

void HttpSession::Respond(int status, HeaderList fields,
                          std::string_view body) {
  if (closed_ || !busy_) {
    return;
  }
  fields.push_back({"Content-Length", std::to_string(body.size())});
  std::string out = SerializeHead({status, WithFraming(std::move(fields))});
  if (!head_request_ && HasBody(status)) {
    out.append(body);
  }
  socket_.Write(out);
  FinishExchange();
}

void HttpSession::BeginBody(const ResponseHead& head,
                            std::optional<uint64_t> length) {
  if (closed_ || !busy_) {
    return;
  }
  HeaderList fields = WithFraming(head.fields);
  // The body for an HTTP/1.0 client ends with the connection.
  chunked_ = !length.has_value() && !http_1_0_request_;
  if (chunked_) {
    fields.push_back({"Transfer-Encoding", "chunked"});
  } else if (length) {
    fields.push_back({"Content-Length", std::to_string(*length)});
  }
  socket_.Write(SerializeHead({head.status, std::move(fields)}));
}

void HttpSession::WriteBody(std::string_view bytes) {
  if (closed_ || !busy_ || head_request_) {
    return;
  }
  if (chunked_) {
    socket_.Write(SerializeChunk(bytes));
  } else {
    socket_.Write(bytes);
  }
}

void HttpSession::EndBody() {
  if (closed_ || !busy_) {
    return;
  }
  if (chunked_ && !head_request_) {
    socket_.Write(kLastChunk);
  }
  FinishExchange();
}

void HttpSession::AbortBody() {
  if (closed_ || !busy_) {
    return;
  }
  on_disconnected_ = nullptr;
  socket_.Abort();
  OnEnd();
}

void HttpSession::FinishExchange() {
  busy_ = false;
  on_disconnected_ = nullptr;
  if (closed_) {
    return;
  }
  if (closing_) {
    timer_.stop();
    socket_.CloseAfterWrite();
    return;
  }
  socket_.SetReading(true);
  timer_.start(limits_.idle_timeout);
  if (!input_.empty()) {
    QMetaObject::invokeMethod(
        this, [this] { ParseRequests(); }, Qt::QueuedConnection);
  }
}

void HttpSession::CloseWhenIdle() {
  closing_ = true;
  const bool is_idle = !busy_ && !framer_.started() && input_.empty();
  if (is_idle && !closed_ && !socket_.HasUnreadInput()) {
    timer_.stop();
    socket_.CloseAfterWrite();
  }
}

void HttpSession::OnTimeout() {
  if (busy_ || closed_) {
    return;
  }
  if (framer_.started()) {
    Refuse(status::kRequestTimeout, "the request did not arrive in time");
    return;
  }
  socket_.Close();
  OnEnd();
}

void HttpSession::OnEnd() {
  if (std::exchange(closed_, true)) {
    return;
  }
  timer_.stop();
  const bool was_busy = std::exchange(busy_, false);
  const std::function<void()> on_disconnected =
      std::exchange(on_disconnected_, nullptr);
  if (was_busy && on_disconnected) {
    on_disconnected();
  }
  events_.on_closed(*this);
}

HttpEndpoint::HttpEndpoint(RequestHandler on_request, QObject* parent)
    : QObject(parent), on_request_(std::move(on_request)) {}

core::Status HttpEndpoint::Listen(const SocketAddress& address) {
  return listener_.Listen(address, [this](int it) { Accept(it); });
}

core::Status HttpEndpoint::ListenAt(std::string_view address) {
  const core::Result<SocketAddress> parsed = ParseAddress(address);
  if (!core::IsOk(parsed)) {
    return core::ErrorOf(parsed);
  }
  return Listen(core::Value(parsed));
}

void HttpEndpoint::Accept(int descriptor) {
  if (sessions_.size() >= kMaxSessions) {
    ::close(descriptor);
    return;
  }
  HttpSession::Events events;
  events.on_request = [this](HttpSession& session, RelayRequest request) {
    if (closing_) {
      session.CloseAfterResponse();
    }
    on_request_(session, std::move(request));
  };
  events.on_closed = [this](HttpSession& session) {
    sessions_.erase(&session);
    session.deleteLater();
  };
  auto* session =
      new HttpSession(descriptor, limits_, std::move(events), budget_, this);
  sessions_.insert(session);
}

void HttpEndpoint::DrainConnections() {
  closing_ = true;
  const auto sessions = sessions_;
  for (HttpSession* session : sessions) {
    session->CloseWhenIdle();
  }
}

void HttpEndpoint::StopListening() {
  closing_ = true;
  listener_.AcceptAndClose();
}

size_t HttpEndpoint::busy_count() const {
  size_t n = 0;
  for (HttpSession* session : sessions_) {
    n += session->busy() ? 1 : 0;
  }
  return n;
}

}  // namespace hawthorn::transport

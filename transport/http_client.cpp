#include "transport/http_client.h"

#include <absl/strings/str_cat.h>

#include <QHostAddress>
#include <QTimer>
#include <optional>
#include <string_view>

#include "transport/response_reader.h"
#include "transport/stream_socket.h"

namespace hawthorn::transport {

namespace {

constexpr char kExecutionField[] = "hawthorn-execution";

std::string Serialize(const ClientRequest& request) {
  std::string text =
      absl::StrCat(request.method, " ", request.target,
                   " HTTP/1.1\r\nHost: ", request.address, "\r\n");
  for (const auto& [name, value] : request.headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&text, "Content-Length: ", request.body.size(),
                  "\r\nConnection: close\r\n\r\n", request.body);
  return text;
}

}  // namespace

/// One call with its connection and parser.
class HttpClient::Call {
 public:
  Call(HttpClient& client, const ClientRequest& request)
      : client_(client),
        request_(request),
        reader_(
            {.on_head = [this](
                            const ResponseHead& head,
                            const std::optional<uint64_t>&) { OnHead(head); },
             .on_body = [this](std::string_view body) { chunk_ += body; }}) {}

  /// Closes the connection without calling on_end.
  void Abort() {
    ended_ = true;
    deadline_timer_.stop();
    idle_timer_.stop();
    socket_.Close();
  }

  /// Connects and sends the request.
  void Start() {
    const size_t colon = request_.address.rfind(':');
    const QHostAddress host(
        QString::fromStdString(request_.address.substr(0, colon)));
    const int port =
        colon == std::string::npos
            ? 0
            : QString::fromStdString(request_.address.substr(colon + 1))
                  .toInt();
    if (host.isNull() || port <= 0 || port > 65535) {
      Fail("malformed address '" + request_.address + "'");
      return;
    }
    socket_.SetEvents(
        {.on_connected = [this] { Send(); },
         .on_bytes = [this](std::string_view bytes) { Receive(bytes); },
         .on_end = [this](SocketEnd how) { OnEnd(how); },
         .on_drained = {}});
    QObject::connect(&deadline_timer_, &QTimer::timeout,
                     [this] { FailWithTimeout("the call exceeded its time"); });
    QObject::connect(&idle_timer_, &QTimer::timeout,
                     [this] { FailWithTimeout("the upstream fell silent"); });
    deadline_timer_.setSingleShot(true);
    idle_timer_.setSingleShot(true);
    deadline_timer_.start(request_.timeout);
    idle_timer_.start(request_.idle_timeout);
    socket_.DisablePeerTimeout();
    socket_.Connect(
        {host.toString().toStdString(), static_cast<uint16_t>(port)});
  }

 private:
  void Send() {
    sent_ = true;
    socket_.Write(Serialize(request_));
  }

  /// Parses the received bytes and passes on the decoded body.
  void Receive(std::string_view bytes) {
    idle_timer_.start(request_.idle_timeout);
    if (ended_ || reader_.complete()) {
      return;
    }
    const core::Result<size_t> used = reader_.Feed(bytes);
    if (!chunk_.empty()) {
      client_.on_chunk_(request_.id, std::exchange(chunk_, {}));
    }
    if (!core::IsOk(used)) {
      Fail("malformed answer: " + core::ErrorOf(used).message);
    } else if (!ended_ && reader_.complete()) {
      Finish();
    }
  }

  void OnHead(const ResponseHead& head) {
    response_.status = head.status;
    const std::string* execution = FindField(head.fields, kExecutionField);
    response_.execution = execution == nullptr ? std::string() : *execution;
  }

  /// Only an orderly end completes a body without a length.
  void OnEnd(SocketEnd how) {
    if (how == SocketEnd::kReset) {
      Fail("connection failed: " + socket_.error_text());
    } else if (core::IsOk(reader_.FeedEnd())) {
      Finish();
    } else {
      Fail("the upstream closed the connection in mid-answer");
    }
  }

  void Finish() {
    response_.complete = true;
    End(response_);
  }

  void Fail(std::string message) {
    Fail(core::ErrorCode::kUnavailable, std::move(message));
  }

  void FailWithTimeout(std::string message) {
    Fail(core::ErrorCode::kDeadlineExceeded, std::move(message));
  }

  void Fail(core::ErrorCode code, std::string message) {
    response_.error = core::Error{
        code,
        std::move(message),
        sent_ ? core::Execution::kUnknown : core::Execution::kNotRun,
        {}};
    End(response_);
  }

  void End(ClientResponse response) {
    if (ended_) {
      return;
    }
    ended_ = true;
    deadline_timer_.stop();
    idle_timer_.stop();
    // The end is reported from the event loop, since this may run within
    // Start() or within a callback of the call's socket.
    QMetaObject::invokeMethod(
        &client_,
        [&client = client_, id = request_.id, response = std::move(response)] {
          client.End(id, response);
        },
        Qt::QueuedConnection);
  }

  HttpClient& client_;
  ClientRequest request_;
  StreamSocket socket_;
  QTimer deadline_timer_;
  QTimer idle_timer_;
  ClientResponse response_;
  ResponseReader reader_;
  /// Bytes of the body that were not passed on yet.
  std::string chunk_;
  bool sent_ = false;
  bool ended_ = false;
};

HttpClient::HttpClient(ChunkHandler on_chunk, EndHandler on_end)
    : on_chunk_(std::move(on_chunk)), on_end_(std::move(on_end)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Start(const ClientRequest& request) {
  const auto [it, inserted] = calls_.try_emplace(request.id);
  if (!inserted) {
    return;
  }
  it->second = std::make_unique<Call>(*this, request);
  it->second->Start();
}

void HttpClient::Cancel(ClientCallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  // This may run within a signal of the call's own socket, so the call is
  // aborted now and destroyed from the event loop.
  std::shared_ptr<Call> call = std::move(it->second);
  calls_.erase(it);
  call->Abort();
  QMetaObject::invokeMethod(
      this, [call] {}, Qt::QueuedConnection);
}

void HttpClient::End(ClientCallId id, ClientResponse response) {
  if (calls_.erase(id) > 0) {
    on_end_(id, std::move(response));
  }
}

}  // namespace hawthorn::transport

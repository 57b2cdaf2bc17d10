#pragma once

#include <QObject>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/error.h"

namespace hawthorn::transport {

/// Identifies a call of an HTTP client. Chosen by the user of the client;
/// unique among its open calls.
using ClientCallId = uint64_t;

/// A request to an upstream.
struct ClientRequest {
  ClientCallId id = 0;
  /// IP address and port, for example "10.0.0.4:8000".
  std::string address;
  std::string method = "POST";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Timeout of the whole call.
  std::chrono::milliseconds timeout{30'000};
  /// Timeout without a received byte.
  std::chrono::milliseconds idle_timeout{30'000};

  bool operator==(const ClientRequest&) const = default;
};

/// How a call ended.
struct ClientResponse {
  int status = 0;
  /// Header field "hawthorn-execution" of the response, or empty.
  std::string execution;
  /// Whether the whole body was received.
  bool complete = false;
  /// Set if no complete response was received; its `execution` says whether any
  /// byte of the request left this process.
  core::Error error;

  bool operator==(const ClientResponse&) const = default;
};

/// HTTP/1.1 client for upstream calls. Opens a connection for each call and
/// never sends a request twice. QNetworkAccessManager is not suitable: it
/// retries a POST whose connection was lost, limits itself to six connections
/// for each host and starts a thread for each manager. Lives in the thread that
/// created it.
class HttpClient final : public QObject {
  Q_OBJECT

 public:
  using ChunkHandler = std::function<void(ClientCallId, std::string chunk)>;
  using EndHandler = std::function<void(ClientCallId, ClientResponse)>;

  /// `on_chunk` receives the body as it arrives. `on_end` is called exactly
  /// once for each call that is not cancelled.
  HttpClient(ChunkHandler on_chunk, EndHandler on_end);
  ~HttpClient() override;

  /// Starts a call. An id that is already open is ignored.
  void Start(const ClientRequest& request);

  /// Aborts the call's connection; `on_end` is not called for it.
  void Cancel(ClientCallId id);

  size_t open_calls() const { return calls_.size(); }

 private:
  class Call;

  void End(ClientCallId id, ClientResponse response);

  ChunkHandler on_chunk_;
  EndHandler on_end_;
  std::unordered_map<ClientCallId, std::unique_ptr<Call>> calls_;
};

}  // namespace hawthorn::transport

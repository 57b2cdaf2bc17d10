#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "core/error.h"
#include "core/id.h"
#include "peer.pb.h"
#include "storage/journal_thread.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

// Interfaces through which the decision thread gives work to the other threads.
// Tests replace them with fakes.
namespace hawthorn::main {

/// Responses to HTTP exchanges. Unknown exchanges are ignored.
class HttpSink {
 public:
  virtual ~HttpSink() = default;
  virtual void Respond(transport::ExchangeId exchange, int status,
                       transport::HeaderFields headers, std::string body) = 0;
  virtual void BeginStream(transport::ExchangeId exchange, int status,
                           transport::HeaderFields headers) = 0;
  virtual void WriteChunk(transport::ExchangeId exchange,
                          std::string chunk) = 0;
  virtual void EndStream(transport::ExchangeId exchange) = 0;
};

/// Requests to upstreams.
class UpstreamSink {
 public:
  virtual ~UpstreamSink() = default;
  virtual void Start(transport::ClientRequest request) = 0;
  /// Aborts the request; its end is not reported.
  virtual void Cancel(transport::ClientCallId attempt) = 0;
};

/// Messages to other instances.
class PeerSink {
 public:
  using ReplyHandler =
      std::function<void(const core::Result<schema::PeerMessage>&)>;

  virtual ~PeerSink() = default;
  /// Sends a message without a reply; it may be lost.
  virtual void Send(const core::InstanceId& to,
                    schema::PeerMessage message) = 0;
  /// Sends a request. The handler runs once, on the decision thread; its error
  /// tells whether the request may have arrived.
  virtual void Request(const core::InstanceId& to, schema::PeerMessage message,
                       std::chrono::milliseconds timeout,
                       ReplyHandler on_reply) = 0;
};

using storage::JournalSink;

}  // namespace hawthorn::main

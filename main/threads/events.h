#pragma once

#include <functional>
#include <string>
#include <variant>

#include "core/error.h"
#include "peer.pb.h"
#include "storage/journal_thread.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

// Events that the other threads pass to the decision thread: the one thread
// that owns the node's state and makes all decisions, so that this state needs
// no locks.
namespace hawthorn::main {

/// A complete HTTP request from a caller, an upstream or an operator.
struct RequestArrived {
  transport::HttpRequest request;
};

/// The client of an open exchange closed its connection.
struct ClientDisconnected {
  transport::ExchangeId exchange = 0;
};

/// A chunk of an upstream's response body.
struct UpstreamChunk {
  transport::ClientCallId attempt = 0;
  std::string bytes;
};

/// The end of a request to an upstream.
struct UpstreamEnded {
  transport::ClientCallId attempt = 0;
  transport::ClientResponse response;
};

/// A message from another instance; `reply` is empty for one-way messages.
struct PeerArrived {
  schema::PeerMessage message;
  std::function<void(schema::PeerMessage)> reply;
};

/// The reply to a request to another instance, or its failure.
struct PeerReplied {
  std::function<void(const core::Result<schema::PeerMessage>&)> handler;
  core::Result<schema::PeerMessage> result;
};

using storage::JournalWritten;

/// The process was asked to shut down gracefully.
struct DrainRequested {};

using Event = std::variant<std::monostate, RequestArrived, ClientDisconnected,
                           UpstreamChunk, UpstreamEnded, PeerArrived,
                           PeerReplied, JournalWritten, DrainRequested>;

}  // namespace hawthorn::main

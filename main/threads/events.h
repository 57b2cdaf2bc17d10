#pragma once

#include <functional>
#include <string>
#include <variant>

#include "core/error.h"
#include "peer.pb.h"
#include "storage/journal_thread.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

// Events that the other threads hand to the thread of decisions.
namespace hawthorn::main {

/// A complete request arrived from a caller, an upstream or an operator.
struct RequestArrived {
  transport::HttpRequest request;
};

/// The client of an open exchange closed its connection.
struct ClientLeft {
  transport::ExchangeId exchange = 0;
};

/// Part of an upstream's answer arrived.
struct UpstreamPiece {
  transport::ClientCallId attempt = 0;
  std::string bytes;
};

/// An upstream call ended.
struct UpstreamEnded {
  transport::ClientCallId attempt = 0;
  transport::ClientAnswer answer;
};

/// A message of another instance arrived; `reply` is empty for one-way ones.
struct PeerArrived {
  schema::PeerMessage message;
  std::function<void(schema::PeerMessage)> reply;
};

/// A request to another instance was answered or failed.
struct PeerReplied {
  std::function<void(const core::Result<schema::PeerMessage>&)> handler;
  core::Result<schema::PeerMessage> result;
};

using storage::JournalWritten;

/// The process was asked to shut down gracefully.
struct DrainRequested {};

using Event = std::variant<std::monostate, RequestArrived, ClientLeft,
                           UpstreamPiece, UpstreamEnded, PeerArrived,
                           PeerReplied, JournalWritten, DrainRequested>;

}  // namespace hawthorn::main

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "core/error.h"
#include "core/id.h"
#include "peer/peer_options.h"
#include "schema/generated/peer.pb.h"

// Messages between instances, whatever carries them.
namespace hawthorn::peer {

/// Receives the reply or an error. Execution::kNotRun means that the peer
/// certainly did not receive the complete request.
using ReplyCallback = std::function<void(core::Result<schema::PeerMessage>)>;

/// Receives the chunks of a streamed reply in order, and its end.
struct StreamCallbacks {
  std::function<void(const schema::PeerMessage&)> on_chunk;
  /// Called once, with success or the error that ended the stream.
  std::function<void(const core::Status&)> on_end;
};

/// Identifies an open stream, to cancel it.
struct StreamHandle {
  uint64_t number = 0;

  auto operator<=>(const StreamHandle&) const = default;
};

/// Sends messages to other instances. All calls and callbacks are on one
/// thread, and callbacks are never called from within the call that they belong
/// to.
class Transport {
 public:
  virtual ~Transport() = default;

  /// Sets the address ("IP:port") of another instance.
  virtual core::Status SetPeer(const core::InstanceId& peer,
                               const std::string& address) = 0;

  /// Sends a one-way message; `from` is set by the receiver. Success means that
  /// it was queued, not that it was received. One-way messages to an instance
  /// arrive in the order of their sending, while a link lasts.
  virtual core::Status Send(const core::InstanceId& to,
                            schema::PeerMessage message) = 0;

  /// Sends a request. `callback` is called exactly once, no later than after
  /// `timeout`; with an error if the transport is destroyed before.
  virtual void Request(const core::InstanceId& to, schema::PeerMessage message,
                       std::chrono::milliseconds timeout,
                       ReplyCallback callback) = 0;

  /// Sends a request whose reply has several chunks. The stream ends with
  /// kDeadlineExceeded if no chunk is received for `idle_timeout`.
  virtual StreamHandle OpenStream(const core::InstanceId& to,
                                  schema::PeerMessage message,
                                  std::chrono::milliseconds idle_timeout,
                                  StreamCallbacks callbacks) = 0;
  /// Cancels a stream. The peer's Replier is notified, and no callback of the
  /// stream is called any more.
  virtual void CancelStream(StreamHandle stream) = 0;

  virtual PeerCounters counters() const = 0;
};

}  // namespace hawthorn::peer

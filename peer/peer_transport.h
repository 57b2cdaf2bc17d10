#pragma once

#include <QObject>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/error.h"
#include "core/id.h"
#include "peer/peer_options.h"
#include "peer/replier.h"
#include "schema/generated/peer.pb.h"

// Authenticated HTTP/2 links between instances.
namespace hawthorn::peer {

/// Takes the reply, or why there is none. Execution::kNotRun means that the
/// request provably never reached the peer whole.
using ReplyCallback = std::function<void(core::Result<schema::PeerMessage>)>;

/// Takes the pieces of a streamed reply and its end, in their order.
struct StreamCallbacks {
  std::function<void(const schema::PeerMessage&)> on_piece;
  /// Called once, with success or the error that ended the stream.
  std::function<void(const core::Status&)> on_end;
};

/// Takes incoming messages. `from` of the message is the authenticated
/// sender. One-way messages come with an empty Replier.
using MessageHandler = std::function<void(schema::PeerMessage, Replier)>;

/// Names an open stream for its cancellation.
struct StreamHandle {
  uint64_t number = 0;

  auto operator<=>(const StreamHandle&) const = default;
};

/// Sends messages to other instances and takes theirs. Lives in one thread
/// with an event loop; all calls and callbacks are on that thread. Callbacks
/// never run inside the call that started them.
class PeerTransport : public QObject {
 public:
  explicit PeerTransport(PeerOptions options, QObject* parent = nullptr);
  ~PeerTransport() override;

  /// Listens for other instances. Returns kInvalidArgument for a malformed
  /// address or a short key, kUnavailable if the address is taken.
  core::Status Listen();
  /// Port that Listen took.
  uint16_t port() const;

  /// Sets the address ("IP:port") of another instance. Only known instances
  /// may connect.
  core::Status SetPeer(const core::InstanceId& peer,
                       const std::string& address);
  /// Forgets an instance and closes its links.
  void RemovePeer(const core::InstanceId& peer);

  /// Sets who takes incoming messages.
  void SetHandler(MessageHandler handler);

  /// Sends a message without a reply; `from` is filled in. Success means that
  /// it was queued, not that it arrived.
  core::Status Send(const core::InstanceId& to, schema::PeerMessage message);

  /// Sends a request. `callback` is called exactly once, at the latest when
  /// `timeout` has passed, and with an error when the transport ends.
  void Request(const core::InstanceId& to, schema::PeerMessage message,
               std::chrono::milliseconds timeout, ReplyCallback callback);

  /// Sends a request whose reply has several pieces. The stream ends with
  /// kDeadlineExceeded when no piece arrives for `idle_timeout`.
  StreamHandle OpenStream(const core::InstanceId& to,
                          schema::PeerMessage message,
                          std::chrono::milliseconds idle_timeout,
                          StreamCallbacks callbacks);
  /// Cancels a stream: the peer's Replier hears of it and no callback of the
  /// stream is called any more.
  void CancelStream(StreamHandle stream);

  /// Returns whether a link to `peer` is open and authenticated.
  bool IsConnected(const core::InstanceId& peer) const;

  /// Cuts this instance off from `peers` in both directions, for tests of
  /// partitions; an empty set heals all links. Established links to `peers`
  /// go silent as in a network partition rather than close.
  void CutLinks(const std::set<core::InstanceId>& peers);

  PeerCounters counters() const;

 private:
  class Impl;

  StreamHandle Open(const core::InstanceId& to, schema::PeerMessage message,
                    std::chrono::milliseconds timeout, bool single_reply,
                    StreamCallbacks callbacks);

  std::unique_ptr<Impl> impl_;
};

}  // namespace hawthorn::peer

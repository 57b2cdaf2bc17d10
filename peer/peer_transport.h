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
#include "peer/transport.h"
#include "schema/generated/peer.pb.h"

// Authenticated HTTP/2 links between instances.
namespace hawthorn::peer {

/// Handles incoming messages. `from` of the message is the authenticated
/// sender. One-way messages have an empty Replier.
using MessageHandler = std::function<void(schema::PeerMessage, Replier)>;

/// Sends messages to other instances and receives theirs. Lives in one thread
/// with an event loop; all calls and callbacks are on that thread.
class PeerTransport : public QObject, public Transport {
 public:
  explicit PeerTransport(PeerOptions options, QObject* parent = nullptr);
  ~PeerTransport() override;

  /// Listens for other instances. Returns kInvalidArgument for a malformed
  /// address or a short key, kUnavailable if the address is taken.
  core::Status Listen();
  /// Port that Listen has bound.
  uint16_t port() const;

  /// Sets the address ("IP:port") of another instance. Only known instances
  /// may connect, unless PeerOptions::accept_unknown_peers is set.
  core::Status SetPeer(const core::InstanceId& peer,
                       const std::string& address) override;
  /// Removes an instance and closes its links.
  void RemovePeer(const core::InstanceId& peer);

  /// Sets the handler of incoming messages.
  void SetHandler(MessageHandler handler);

  core::Status Send(const core::InstanceId& to,
                    schema::PeerMessage message) override;
  void Request(const core::InstanceId& to, schema::PeerMessage message,
               std::chrono::milliseconds timeout,
               ReplyCallback callback) override;
  StreamHandle OpenStream(const core::InstanceId& to,
                          schema::PeerMessage message,
                          std::chrono::milliseconds idle_timeout,
                          StreamCallbacks callbacks) override;
  void CancelStream(StreamHandle stream) override;

  /// Pauses or resumes the flow of a reply. While paused, the peer sends at
  /// most what the flow control window of the stream still allows.
  void SetStreamReading(StreamHandle stream, bool reading);

  /// Returns whether a link to `peer` is open and authenticated.
  bool IsConnected(const core::InstanceId& peer) const;

  /// Cuts this instance off from `peers` in both directions, to test network
  /// partitions; an empty set restores all links. As in a real partition, open
  /// links to `peers` carry no bytes but are not closed.
  void CutLinks(const std::set<core::InstanceId>& peers);

  PeerCounters counters() const override;

 private:
  class Impl;

  StreamHandle Open(const core::InstanceId& to, schema::PeerMessage message,
                    std::chrono::milliseconds timeout, bool single_reply,
                    StreamCallbacks callbacks);

  std::unique_ptr<Impl> impl_;
};

}  // namespace hawthorn::peer

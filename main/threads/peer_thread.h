#pragma once

#include <QThread>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "core/clock.h"
#include "main/threads/events.h"
#include "main/threads/mailbox.h"
#include "main/threads/sinks.h"
#include "peer/peer_transport.h"
#include "settings.pb.h"

namespace hawthorn::main {

/// The thread that runs the links to other instances.
class PeerThread final : public PeerSink {
 public:
  using EventSink = std::function<void(Event)>;

  PeerThread(peer::PeerOptions options, EventSink events);
  ~PeerThread() override;

  /// Registers the instances of `settings` as peers and starts listening.
  /// Returns the port.
  core::Result<uint16_t> Listen(const schema::Settings& settings);

  void Send(const core::InstanceId& to, schema::PeerMessage message) override;
  void Request(const core::InstanceId& to, schema::PeerMessage message,
               std::chrono::milliseconds timeout,
               ReplyHandler on_reply) override;

  /// Cuts the links to `peers`, for tests of network partitions.
  void CutLinks(std::set<core::InstanceId> peers);

  /// Closes all links and ends the thread.
  void Stop();

 private:
  EventSink events_;
  QThread thread_;
  Mailbox* mailbox_;
  peer::PeerTransport* transport_ = nullptr;
};

}  // namespace hawthorn::main

#pragma once

#include <QObject>
#include <chrono>
#include <functional>
#include <string>

#include "core/error.h"
#include "peer/peer_transport.h"
#include "schema/generated/turns.pb.h"

namespace hawthorn::turns {

/// Messages between instances, and timers. Callbacks are never called from
/// within the call that they belong to.
class PeerLinks {
 public:
  using ReplyCallback =
      std::function<void(const core::Result<schema::TurnMessage>&)>;

  virtual ~PeerLinks() = default;

  /// `callback` is called exactly once, no later than after `timeout`.
  virtual void Request(const std::string& instance,
                       const schema::TurnMessage& message,
                       std::chrono::milliseconds timeout,
                       ReplyCallback callback) = 0;
  virtual void After(std::chrono::milliseconds delay,
                     std::function<void()> callback) = 0;
  virtual void SetAddress(const std::string& instance,
                          const std::string& address) = 0;
};

/// Links of this process.
class TransportLinks final : public PeerLinks {
 public:
  explicit TransportLinks(peer::PeerTransport& peers) : peers_(peers) {}

  void Request(const std::string& instance, const schema::TurnMessage& message,
               std::chrono::milliseconds timeout,
               ReplyCallback callback) override;
  void After(std::chrono::milliseconds delay,
             std::function<void()> callback) override;
  void SetAddress(const std::string& instance,
                  const std::string& address) override;

 private:
  peer::PeerTransport& peers_;
  /// Ends the timers with this object.
  QObject timers_;
};

/// Conversions between messages of this module and those of the links.
schema::PeerMessage Pack(const schema::TurnMessage& message);
core::Result<schema::TurnMessage> Unpack(const schema::PeerMessage& message);

}  // namespace hawthorn::turns

#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpSocket>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "peer/peer_transport.h"

namespace hawthorn::peer::test {

inline constexpr const char* kKey = "0123456789abcdef0123456789abcdef";
inline constexpr std::chrono::milliseconds kDeadline{20000};

/// Runs the event loop until `done` returns true; returns false if kDeadline
/// passes first.
inline bool WaitUntil(const std::function<bool()>& done) {
  QElapsedTimer timer;
  timer.start();
  while (!done()) {
    if (std::chrono::milliseconds(timer.elapsed()) >= kDeadline) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return true;
}

inline PeerOptions OptionsOf(const std::string& name) {
  PeerOptions options;
  options.self = core::InstanceId(name);
  options.listen_address = "127.0.0.1:0";
  options.key = kKey;
  return options;
}

inline std::string AddressOf(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

inline std::string AddressOf(const PeerTransport& transport) {
  return AddressOf(transport.port());
}

/// Returns a listening transport, or null if it cannot listen.
inline std::unique_ptr<PeerTransport> Start(PeerOptions options) {
  auto transport = std::make_unique<PeerTransport>(std::move(options));
  if (!core::IsOk(transport->Listen())) {
    return nullptr;
  }
  return transport;
}

/// Two transports that know each other as peers.
struct Pair {
  explicit Pair(PeerOptions left = OptionsOf("left"),
                PeerOptions right = OptionsOf("right"))
      : a(Start(std::move(left))), b(Start(std::move(right))) {
    SetPeers();
  }

  void SetPeers() const {
    (void)a->SetPeer(right_id, AddressOf(*b));
    (void)b->SetPeer(left_id, AddressOf(*a));
  }

  core::InstanceId left_id{"left"};
  core::InstanceId right_id{"right"};
  std::unique_ptr<PeerTransport> a;
  std::unique_ptr<PeerTransport> b;
};

inline schema::PeerMessage TextMessage(const std::string& text) {
  schema::PeerMessage message;
  message.set_configuration(text);
  return message;
}

/// Replies to each message with its own content.
inline void Echo(const schema::PeerMessage& message, const Replier& replier) {
  replier.Reply(TextMessage(message.configuration()));
}

using Reply = std::optional<core::Result<schema::PeerMessage>>;

/// Sends a request and waits for its reply or error.
inline Reply SendRequest(PeerTransport& from, const core::InstanceId& to,
                         const std::string& text,
                         std::chrono::milliseconds timeout = kDeadline) {
  const auto reply = std::make_shared<Reply>();
  from.Request(to, TextMessage(text), timeout,
               [reply](core::Result<schema::PeerMessage> result) {
                 *reply = std::move(result);
               });
  WaitUntil([&] { return reply->has_value(); });
  return *reply;
}

inline std::string TextOf(const Reply& reply) {
  return reply && core::IsOk(*reply) ? core::Value(*reply).configuration()
                                     : "no reply";
}

}  // namespace hawthorn::peer::test

#pragma once

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>
#include <chrono>
#include <cstdint>
#include <string>

#include "peer/peer_transport.h"

namespace hawthorn::test {

/// Asks the kernel for a port that is free on loopback.
inline uint16_t FreePort() {
  QTcpServer server;
  server.listen(QHostAddress::LocalHost);
  return server.serverPort();
}

/// First three numbers of loopback addresses, with a dot behind each. Processes
/// that run at the same time get different ones.
inline std::string LoopbackNet(int number) {
  const auto run = static_cast<int>(QCoreApplication::applicationPid() % 250);
  return "127." + std::to_string(run + 2) + "." + std::to_string(number) + ".";
}

/// Options of an instance whose links notice within a second that the other end
/// is gone.
inline peer::PeerOptions LoopbackPeer(const std::string& ip, uint16_t port) {
  peer::PeerOptions options;
  options.self = core::InstanceId(ip);
  options.listen_address = ip + ":" + std::to_string(port);
  options.key = "a key for tests only";
  options.accept_unknown_peers = true;
  options.ping_after = std::chrono::milliseconds(400);
  options.receive_timeout = std::chrono::milliseconds(1000);
  options.max_backoff = std::chrono::milliseconds(300);
  return options;
}

}  // namespace hawthorn::test

#pragma once

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "relay_fixture.h"

namespace hawthorn::relay {

inline std::unique_ptr<peer::PeerTransport> NewPeers(const std::string& ip) {
  peer::PeerOptions options;
  options.self = core::InstanceId(ip);
  options.listen_address = ip + ":0";
  options.key = "a key for tests only";
  options.accept_unknown_peers = true;
  options.receive_timeout = std::chrono::milliseconds(1000);
  auto peers = std::make_unique<peer::PeerTransport>(std::move(options));
  REQUIRE(core::IsOk(peers->Listen()));
  return peers;
}

/// An instance with a relay and links to others.
struct Instance {
  explicit Instance(const std::string& address)
      : ip(address),
        peers(NewPeers(address)),
        relay(RelayCall::kProgressTimeout, nullptr, peers.get()) {
    peers->SetHandler([this](const schema::PeerMessage& message,
                             const peer::Replier& replier) {
      relay.relay().OnForwardRequest(message, replier);
    });
  }

  void SetForwarders(const std::vector<const Instance*>& others) {
    std::vector<schema::Forwarder> list;
    for (const Instance* it : others) {
      schema::Forwarder forwarder;
      forwarder.set_instance(it->ip);
      forwarder.set_zone("a");
      forwarder.set_peer_address(it->ip + ":" +
                                 std::to_string(it->peers->port()));
      list.push_back(forwarder);
    }
    relay.relay().SetForwarders(list);
  }

  uint64_t Count(const std::string& name) {
    return relay.metrics().CounterValue(name);
  }

  std::string ip;
  std::unique_ptr<peer::PeerTransport> peers;
  RelayFixture relay;
};

}  // namespace hawthorn::relay

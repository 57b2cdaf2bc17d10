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

/// The path of calls to one upstream, directly or through another instance.
class CallPath {
 public:
  CallPath(const ScriptedUpstream& upstream, bool is_forwarded) {
    if (!is_forwarded) {
      direct_ = std::make_unique<RelayFixture>();
      direct_->AddUpstream("u1", upstream.address());
      return;
    }
    cut_ = std::make_unique<Instance>("127.0.0.25");
    whole_ = std::make_unique<Instance>("127.0.0.26");
    cut_->SetForwarders({whole_.get()});
    ScriptedUpstream closed(
        [](const std::string&) { return ScriptedUpstream::Step{}; });
    closed.StopListening();
    cut_->relay.AddUpstream("u1", closed.address());
    whole_->relay.AddUpstream("u1", upstream.address());
  }

  /// The relay that callers are connected to.
  RelayFixture& relay() { return direct_ ? *direct_ : cut_->relay; }
  uint16_t port() { return relay().port(); }

 private:
  std::unique_ptr<RelayFixture> direct_;
  std::unique_ptr<Instance> cut_;
  std::unique_ptr<Instance> whole_;
};

}  // namespace hawthorn::relay

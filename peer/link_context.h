#pragma once

#include <functional>
#include <set>
#include <string>

#include "core/id.h"
#include "peer/peer_options.h"
#include "peer/replier.h"
#include "schema/generated/peer.pb.h"

namespace hawthorn::peer::detail {

/// State that all links of a transport share. Outlives the links.
struct LinkContext {
  PeerOptions options;
  PeerCounters counters;
  /// Instances that SetPeer named.
  std::set<core::InstanceId> known_peers;
  /// Instances that CutLinks cuts off.
  std::set<core::InstanceId> cut_peers;
  std::function<void(schema::PeerMessage, Replier)> handler;
  /// Runs a function in a later iteration of the event loop.
  std::function<void(std::function<void()>)> defer;
};

/// Returns a nonce from the system's random source.
std::string NewNonce();

}  // namespace hawthorn::peer::detail

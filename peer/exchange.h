#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "core/clock.h"
#include "core/error.h"
#include "peer/reply_codec.h"
#include "schema/generated/peer.pb.h"

namespace hawthorn::peer::detail {

/// A message on its way to a peer and, for a request, the reply on its way
/// back.
struct Exchange {
  uint64_t number = 0;
  std::string body;
  bool expects_reply = false;
  /// One reply chunk ends the exchange.
  bool single_reply = false;
  /// Longest time until the reply, or between two of its pieces.
  std::chrono::milliseconds timeout{0};
  core::TimePoint deadline;
  std::function<void(const schema::PeerMessage&)> on_chunk;
  std::function<void(const core::Status&)> on_end;
  ChunkReader reader{0};
};

}  // namespace hawthorn::peer::detail

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

/// Message that is queued for or sent to a peer and, for a request, the reply
/// to it.
struct Exchange {
  uint64_t number = 0;
  std::string body;
  bool expects_reply = false;
  /// The first chunk of the reply ends the exchange.
  bool single_reply = false;
  /// Timeout until the reply, or between two of its chunks; 0 means none.
  std::chrono::milliseconds timeout{0};
  core::TimePoint deadline;
  std::function<void(const schema::PeerMessage&)> on_chunk;
  std::function<void(const core::Status&)> on_end;
  ChunkReader reader{0};
};

}  // namespace hawthorn::peer::detail

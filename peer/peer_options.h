#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/id.h"

// Settings and counters of the links between instances.
namespace hawthorn::peer {

/// Settings of the links of one instance.
struct PeerOptions {
  core::InstanceId self;
  /// IP number and port to listen on; port 0 takes a free one.
  std::string listen_address;
  /// Secret that all instances of the deployment share; at least 16 bytes.
  std::string key;
  /// Accepts links from instances that were not named by SetPeer but prove
  /// the key. Only named ones can be dialled.
  bool accept_unnamed = false;
  /// Largest message in bytes, in either direction.
  size_t max_message_bytes = size_t{8} * 1024 * 1024;
  /// Bytes that may wait for one peer.
  size_t max_queued_bytes = size_t{16} * 1024 * 1024;
  /// Bytes of reply pieces that may wait on one stream.
  size_t max_stream_queued_bytes = size_t{1} * 1024 * 1024;
  /// Requests from one peer that may be open at once.
  uint32_t max_open_streams = 4096;
  /// Connections that may be in their handshake at once.
  size_t max_handshakes = 64;
  std::chrono::milliseconds handshake_timeout{3000};
  /// First wait before a connection is tried again; it doubles up to the
  /// longest one, and half of each wait is random.
  std::chrono::milliseconds first_backoff{50};
  std::chrono::milliseconds longest_backoff{2000};
  /// Time without a byte received after which a ping is sent.
  std::chrono::milliseconds ping_after{2000};
  /// Time without a byte received after which a link is closed.
  std::chrono::milliseconds silence_limit{6000};
  /// Time without a message after which an outgoing link is closed.
  std::chrono::milliseconds idle_timeout{60000};
  /// Seed of the random part of the waits.
  uint64_t seed = 1;
};

/// Counters of all links since the start.
struct PeerCounters {
  uint64_t messages_in = 0;
  uint64_t messages_out = 0;
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  uint64_t links_opened = 0;
  uint64_t links_closed = 0;
  /// Connections refused because the other side did not prove the key.
  uint64_t refused_handshakes = 0;
  /// Connections closed for bytes that are no valid HTTP/2.
  uint64_t protocol_errors = 0;
  /// Messages refused because a queue was full or the message too large.
  uint64_t refused_messages = 0;
  /// Messages and connections stopped by CutLinks.
  uint64_t cut = 0;

  bool operator==(const PeerCounters&) const = default;
};

}  // namespace hawthorn::peer

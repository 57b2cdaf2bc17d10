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
  /// IP address and port to listen on; port 0 chooses a free one.
  std::string listen_address;
  /// Secret that all instances of the deployment share; at least 16 bytes.
  std::string key;
  /// Accepts links also from instances that were not named by SetPeer, if they
  /// prove that they know the key. Links can be opened only to named instances.
  bool accept_unknown_peers = false;
  /// Size limit of a message in bytes, in both directions.
  size_t max_message_bytes = size_t{8} * 1024 * 1024;
  /// Limit of the bytes queued for one peer, or received from it in incomplete
  /// messages.
  size_t max_queued_bytes = size_t{16} * 1024 * 1024;
  /// Limit of the reply bytes queued on one stream.
  size_t max_stream_queued_bytes = size_t{1} * 1024 * 1024;
  /// Limit of the concurrent requests from one peer.
  uint32_t max_open_streams = 4096;
  /// Limit of the incoming connections that have not completed their handshake.
  size_t max_handshakes = 64;
  std::chrono::milliseconds handshake_timeout{3000};
  /// Backoff after the first failed connection. Doubles after each further
  /// failure up to max_backoff; half of it is random.
  std::chrono::milliseconds initial_backoff{50};
  std::chrono::milliseconds max_backoff{2000};
  /// Time without a received byte after which a ping is sent.
  std::chrono::milliseconds ping_after{2000};
  /// Time without a received byte after which a link is closed.
  std::chrono::milliseconds receive_timeout{6000};
  /// Time without a message after which an outgoing link is closed.
  std::chrono::milliseconds idle_timeout{60000};
  /// Seed of the random part of the backoff.
  uint64_t seed = 1;
};

/// Counters of all links since the process started.
struct PeerCounters {
  uint64_t messages_in = 0;
  uint64_t messages_out = 0;
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  uint64_t links_opened = 0;
  uint64_t links_closed = 0;
  /// Connections refused because the peer is unknown or did not authenticate,
  /// or because of max_handshakes.
  uint64_t refused_handshakes = 0;
  /// Connections closed for invalid HTTP/2, and messages that cannot be parsed.
  uint64_t protocol_errors = 0;
  /// Messages refused because they are too large or a queue was full, and
  /// one-way messages that were not sent.
  uint64_t refused_messages = 0;
  /// Connections that CutLinks froze.
  uint64_t cut = 0;

  bool operator==(const PeerCounters&) const = default;
};

}  // namespace hawthorn::peer

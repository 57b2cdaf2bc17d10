#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "schema/generated/peer.pb.h"

// Pieces of a reply within the body of one HTTP/2 stream: each is a message
// after its length in four bytes, most significant first.
namespace hawthorn::peer::detail {

/// Path of a message without a reply.
inline constexpr const char* kOneWayPath = "/m";
/// Path of a request.
inline constexpr const char* kRequestPath = "/r";

/// Frames one piece.
std::string FrameChunk(const schema::PeerMessage& chunk);

/// Cuts pieces out of the bytes of a reply.
class ChunkReader {
 public:
  explicit ChunkReader(size_t max_bytes) : max_bytes_(max_bytes) {}

  void Append(std::string_view bytes) { buffer_.append(bytes); }
  /// Next whole piece, nothing if more bytes are needed, or an error.
  core::Result<std::optional<schema::PeerMessage>> Next();
  /// Returns whether no part of a piece is left.
  bool empty() const { return buffer_.empty(); }

 private:
  size_t max_bytes_;
  std::string buffer_;
};

}  // namespace hawthorn::peer::detail

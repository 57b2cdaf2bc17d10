#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "schema/generated/peer.pb.h"

// Framing of the chunks of a reply in the body of an HTTP/2 stream. Each chunk
// is a message, preceded by its length in four bytes, most significant first.
namespace hawthorn::peer::detail {

/// Path of a one-way message.
inline constexpr const char* kOneWayPath = "/m";
/// Path of a request.
inline constexpr const char* kRequestPath = "/r";

/// Serializes one chunk with its frame.
std::string FrameChunk(const schema::PeerMessage& chunk);

/// Reads chunks from the bytes of a reply.
class ChunkReader {
 public:
  explicit ChunkReader(size_t max_bytes) : max_bytes_(max_bytes) {}

  void Append(std::string_view bytes) { buffer_.append(bytes); }
  /// Returns the next complete chunk, nothing if more bytes are needed, or an
  /// error.
  core::Result<std::optional<schema::PeerMessage>> Next();
  /// Returns whether no bytes of an incomplete chunk are left.
  bool empty() const { return buffer_.empty(); }

 private:
  size_t max_bytes_;
  std::string buffer_;
};

}  // namespace hawthorn::peer::detail

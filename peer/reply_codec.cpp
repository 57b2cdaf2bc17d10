#include "peer/reply_codec.h"

#include <QtEndian>
#include <utility>

#include "peer/errors.h"

namespace hawthorn::peer::detail {

namespace {

core::Error Malformed(const char* message) {
  return MakeError(core::ErrorCode::kInternal, message,
                   core::Execution::kUnknown);
}

}  // namespace

std::string FrameChunk(const schema::PeerMessage& chunk) {
  const std::string body = chunk.SerializeAsString();
  const auto size = qToBigEndian(static_cast<quint32>(body.size()));
  std::string frame(reinterpret_cast<const char*>(&size), sizeof(size));
  frame.append(body);
  return frame;
}

core::Result<std::optional<schema::PeerMessage>> ChunkReader::Next() {
  if (buffer_.size() < sizeof(quint32)) {
    return std::optional<schema::PeerMessage>();
  }
  const size_t size = qFromBigEndian<quint32>(buffer_.data());
  if (size > max_bytes_) {
    return Malformed("a piece of the reply is too large");
  }
  if (buffer_.size() < sizeof(quint32) + size) {
    return std::optional<schema::PeerMessage>();
  }
  schema::PeerMessage message;
  if (!message.ParseFromArray(buffer_.data() + sizeof(quint32),
                              static_cast<int>(size))) {
    return Malformed("a piece of the reply is malformed");
  }
  buffer_.erase(0, sizeof(quint32) + size);
  return std::optional(std::move(message));
}

}  // namespace hawthorn::peer::detail

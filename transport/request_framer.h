#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthorn::transport {

/// Size limits of a request.
struct FramingLimits {
  size_t max_head_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{8} * 1024 * 1024;

  bool operator==(const FramingLimits&) const = default;
};

/// Status and reason of a request that was refused for its framing.
struct FramingError {
  int status = 400;
  std::string reason;

  bool operator==(const FramingError&) const = default;
};

/// Finds the end of an HTTP/1.1 request in a byte stream. To prevent request
/// smuggling, refuses every framing that two implementations could interpret
/// differently (RFC 9112, sections 2.2, 5.1, 6.1 to 6.3 and 7.1).
class RequestFramer {
 public:
  enum class State { kHead, kBody, kComplete, kRefused };

  explicit RequestFramer(FramingLimits limits) : limits_(limits) {}

  /// Consumes bytes up to the end of the request and returns their number. The
  /// remaining bytes belong to the next request.
  size_t Feed(std::string_view bytes);

  State state() const { return state_; }
  /// Whether any byte of the request has arrived.
  bool started() const { return !message_.empty(); }
  /// The bytes of the request so far.
  const std::string& message() const { return message_; }
  /// Set in state kRefused.
  const FramingError& error() const { return error_; }
  /// Whether the client waits for "100 Continue" before it sends the body.
  bool expects_continue() const { return expects_continue_; }
  /// Whether the connection is to be closed after the response.
  bool wants_close() const { return wants_close_; }
  bool is_http_1_0() const { return is_http_1_0_; }

  /// Prepares for the next request.
  void Reset();

 private:
  enum class BodyKind { kNone, kLength, kChunked };
  enum class ChunkState { kSize, kData, kDataEnd, kTrailer };

  void Refuse(int status, std::string reason);
  bool AppendHeadByte(char c);
  void FinishHead();
  bool ParseRequestLine(std::string_view line);
  bool ParseField(std::string_view line);
  bool ParseFraming(const std::string& name, std::string_view value);
  size_t FeedLengthBody(std::string_view bytes);
  size_t FeedChunkedBody(std::string_view bytes);
  void HandleChunkLine();
  bool ParseChunkSize(std::string_view line);
  bool AddBodyBytes(uint64_t n);

  FramingLimits limits_;
  State state_ = State::kHead;
  std::string message_;
  FramingError error_;
  bool expects_continue_ = false;
  bool wants_close_ = false;
  bool is_http_1_0_ = false;
  bool has_host_ = false;
  bool has_transfer_encoding_ = false;
  std::optional<uint64_t> content_length_;
  uint64_t body_bytes_ = 0;
  uint64_t remaining_ = 0;
  ChunkState chunk_state_ = ChunkState::kSize;
  std::string chunk_line_;
};

}  // namespace hawthorn::transport

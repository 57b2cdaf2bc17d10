#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "transport/http_message.h"

namespace hawthorn::transport {

/// Whether a response may have a body.
enum class BodyRule {
  kAsFramed,  ///< As its header fields say.
  kNone,      ///< Never: the response to a HEAD request.
};

/// Incremental parser of one HTTP/1.1 response. Skips interim responses (1xx),
/// which only say that the response is still to come.
class ResponseReader {
 public:
  struct Events {
    /// The head is complete. `length` is absent if the body is chunked or ends
    /// when the connection closes.
    std::function<void(const ResponseHead&, std::optional<uint64_t> length)>
        on_head;
    std::function<void(std::string_view)> on_body;
  };

  /// Size limits; a larger response is an error.
  static constexpr uint32_t kMaxHeadBytes = uint32_t{32} * 1024;
  static constexpr uint64_t kMaxBodyBytes = uint64_t{64} * 1024 * 1024;
  /// Also the limit of a chunk header and of the trailer.
  static constexpr size_t kMaxBufferedBytes = kMaxHeadBytes;
  static constexpr int kMaxInterimResponses = 16;

  explicit ResponseReader(Events events,
                          BodyRule body_rule = BodyRule::kAsFramed);
  ~ResponseReader();

  /// Consumes bytes up to the end of the response and returns their number.
  /// Returns kInvalidArgument if they are not a valid response.
  core::Result<size_t> Feed(std::string_view bytes);

  /// Handles the orderly end of the connection. Returns an error if the
  /// response is incomplete.
  core::Status FeedEnd();

  bool has_head() const;
  bool complete() const;
  /// Whether the connection may carry another request after this response.
  bool keep_alive() const;
  /// Whether the body ends when the connection closes.
  bool ends_with_connection() const;

 private:
  class Parser;

  void StartParser();

  Events events_;
  BodyRule body_rule_;
  std::unique_ptr<Parser> parser_;
  int interim_responses_ = 0;
  std::string buffer_;
};

}  // namespace hawthorn::transport

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

/// Reads one HTTP/1.1 answer from bytes as they arrive.
class ResponseReader {
 public:
  struct Events {
    /// The head is complete; `length` is absent for chunked bodies and those
    /// that end with the connection.
    std::function<void(const ResponseHead&, std::optional<uint64_t> length)>
        on_head;
    std::function<void(std::string_view)> on_body;
  };

  /// Bounds of the head and the body; a larger answer is an error.
  static constexpr uint32_t kMaxHeadBytes = uint32_t{32} * 1024;
  static constexpr uint64_t kMaxBodyBytes = uint64_t{64} * 1024 * 1024;

  explicit ResponseReader(Events events);
  ~ResponseReader();

  /// Consumes bytes up to the end of the answer and returns how many.
  /// kInvalidArgument for bytes that are no answer.
  core::Result<size_t> Feed(std::string_view bytes);

  /// Takes the orderly end of the connection. An error if the answer is not
  /// complete by it.
  core::Status FeedEnd();

  bool has_head() const;
  bool complete() const;
  /// The connection may carry another request after this answer.
  bool keep_alive() const;
  /// The body ends with the connection.
  bool ends_with_connection() const;

 private:
  class Parser;

  std::unique_ptr<Parser> parser_;
  std::string buffer_;
};

}  // namespace hawthorn::transport

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthorn::relay {

/// One complete server-sent event, including the blank line that ends it.
struct StreamEvent {
  std::string bytes;
  std::optional<uint64_t> id;

  bool operator==(const StreamEvent&) const = default;
};

/// Splits a stream of server-sent events into complete events, so that another
/// upstream can continue after the last event that the caller received.
class EventFramer {
 public:
  /// Size limit of an event; a larger one ends the stream as malformed.
  static constexpr size_t kMaxEventBytes = size_t{1} * 1024 * 1024;

  /// Appends bytes and returns the events that they complete.
  std::vector<StreamEvent> Feed(std::string_view bytes);

  /// Bytes of the last, incomplete event.
  const std::string& rest() const { return buffer_; }
  bool overflowed() const { return buffer_.size() > kMaxEventBytes; }
  /// Discards the incomplete event of an interrupted stream.
  void Reset() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace hawthorn::relay

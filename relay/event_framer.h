#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthorn::relay {

/// One whole event of a stream, with its closing blank line.
struct StreamEvent {
  std::string bytes;
  std::optional<uint64_t> id;

  bool operator==(const StreamEvent&) const = default;
};

/// Splits a stream of server-sent events into whole events, so that another
/// upstream can go on after the last one that a caller received.
class EventFramer {
 public:
  /// Largest event; a larger one ends the stream as malformed.
  static constexpr size_t kMaxEventBytes = size_t{1} * 1024 * 1024;

  /// Takes bytes and returns the events that they complete.
  std::vector<StreamEvent> Feed(std::string_view bytes);

  /// Bytes of an event that is not complete.
  const std::string& rest() const { return buffer_; }
  bool overflowed() const { return buffer_.size() > kMaxEventBytes; }
  /// Forgets the incomplete event of a broken run.
  void Reset() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace hawthorn::relay

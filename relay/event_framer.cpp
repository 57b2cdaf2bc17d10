#include "relay/event_framer.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hawthorn::relay {

namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kCrlfBlank = "\r\n\r\n";

/// Returns the offset after the first event in `text` and its blank line, or
/// npos. The first `searched` bytes are known to end no event.
size_t EventEnd(std::string_view text, size_t searched) {
  const size_t from = searched - std::min(searched, kCrlfBlank.size() - 1);
  const size_t lf = text.find("\n\n", from);
  const size_t crlf = text.find(kCrlfBlank, from);
  const size_t lf_end = lf == std::string_view::npos ? lf : lf + 2;
  const size_t crlf_end = crlf == std::string_view::npos ? crlf : crlf + 4;
  return std::min(lf_end, crlf_end);
}

std::optional<uint64_t> ParseEventId(std::string_view event) {
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    uint64_t id = 0;
    const auto [rest, ec] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (ec != std::errc()) {
      return std::nullopt;
    }
    return id;
  }
  return std::nullopt;
}

}  // namespace

std::vector<StreamEvent> EventFramer::Feed(std::string_view bytes) {
  size_t searched = buffer_.size();
  buffer_.append(bytes);
  std::vector<StreamEvent> events;
  size_t start = 0;
  while (true) {
    const std::string_view whole(buffer_);
    const std::string_view rest = whole.substr(start);
    const size_t end = EventEnd(rest, std::exchange(searched, 0));
    if (end == std::string_view::npos) {
      break;
    }
    StreamEvent event;
    event.bytes = std::string(rest.substr(0, end));
    event.id = ParseEventId(event.bytes);
    events.push_back(std::move(event));
    start += end;
  }
  buffer_.erase(0, start);
  return events;
}

}  // namespace hawthorn::relay

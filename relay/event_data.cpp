#include "relay/event_data.h"

namespace hawthorn::relay {

namespace {

constexpr std::string_view kField = "data";

/// Removes the first line from `text` and returns it without its end, which is
/// a line feed, a carriage return, or both.
std::string_view TakeLine(std::string_view* text) {
  const size_t end = text->find_first_of("\r\n");
  const std::string_view line = text->substr(0, end);
  if (end == std::string_view::npos) {
    *text = {};
    return line;
  }
  const bool is_pair = text->substr(end, 2) == "\r\n";
  text->remove_prefix(end + (is_pair ? 2 : 1));
  return line;
}

}  // namespace

void AppendEventData(std::string_view event, std::string* out) {
  bool has_data = false;
  while (!event.empty()) {
    std::string_view line = TakeLine(&event);
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (!line.empty() && line.front() != ':') {
      // Another field whose name begins in the same way.
      continue;
    }
    line.remove_prefix(line.empty() ? 0 : 1);
    line.remove_prefix(line.starts_with(' ') ? 1 : 0);
    if (has_data) {
      out->push_back('\n');
    }
    has_data = true;
    out->append(line);
  }
  if (has_data) {
    out->push_back('\n');
  }
}

}  // namespace hawthorn::relay

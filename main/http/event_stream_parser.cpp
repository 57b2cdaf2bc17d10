#include "main/http/event_stream_parser.h"

#include <QByteArray>
#include <QJsonDocument>
#include <utility>

namespace hawthorn::main {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kDataField = "data";

}  // namespace

std::vector<QJsonObject> EventStreamParser::Feed(std::string_view bytes) {
  std::vector<QJsonObject> events;
  while (!bytes.empty() && !malformed_) {
    // The LF of a CR LF may arrive with later bytes than its CR.
    if (std::exchange(after_cr_, false) && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const size_t end = bytes.find_first_of("\r\n");
    line_ += bytes.substr(0, end);
    malformed_ = line_.size() > kMaxEventBytes;
    if (end == std::string_view::npos) {
      break;
    }
    after_cr_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    ParseLine(&events);
    line_.clear();
  }
  return events;
}

void EventStreamParser::ParseLine(std::vector<QJsonObject>* events) {
  std::string_view line = line_;
  if (std::exchange(at_start_, false) && line.starts_with(kByteOrderMark)) {
    line.remove_prefix(kByteOrderMark.size());
  }
  if (line.empty()) {
    EndEvent(events);
    return;
  }
  const size_t colon = line.find(':');
  if (line.substr(0, colon) != kDataField) {
    return;
  }
  std::string_view value;
  if (colon != std::string_view::npos) {
    value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
  }
  if (!data_) {
    data_.emplace();
  }
  data_->append(value).push_back('\n');
  malformed_ = malformed_ || data_->size() > kMaxEventBytes;
}

void EventStreamParser::EndEvent(std::vector<QJsonObject>* events) {
  const std::optional<std::string> data = std::exchange(data_, std::nullopt);
  if (!data) {
    return;
  }
  const QJsonDocument document =
      QJsonDocument::fromJson(QByteArray::fromStdString(*data));
  if (!document.isObject()) {
    malformed_ = true;
    return;
  }
  events->push_back(document.object());
}

}  // namespace hawthorn::main

#include "main/http/event_stream_parser.h"

#include <QJsonDocument>

namespace hawthorn::main {

std::vector<QJsonObject> EventStreamParser::Feed(const std::string& bytes) {
  std::vector<QJsonObject> events;
  pending_ += bytes;
  size_t begin = 0;
  for (size_t end = pending_.find("\n\n", begin); end != std::string::npos;
       end = pending_.find("\n\n", begin)) {
    ParseEvent(pending_.substr(begin, end - begin), &events);
    begin = end + 2;
  }
  pending_.erase(0, begin);
  malformed_ = malformed_ || pending_.size() > kMaxEventBytes;
  return events;
}

void EventStreamParser::ParseEvent(const std::string& event,
                                   std::vector<QJsonObject>* events) {
  constexpr char kData[] = "data:";
  const size_t data = event.rfind(kData);
  if (data == std::string::npos) {
    return;
  }
  const QJsonDocument document = QJsonDocument::fromJson(
      QByteArray::fromStdString(event.substr(data + sizeof kData - 1)));
  if (!document.isObject()) {
    malformed_ = true;
    return;
  }
  events->push_back(document.object());
}

}  // namespace hawthorn::main

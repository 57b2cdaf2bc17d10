#pragma once

#include <QJsonObject>
#include <string>
#include <vector>

namespace hawthorn::main {

/// Splits a stream of server-sent events into the JSON objects of its data
/// fields (HTML Standard, section 9.2). Events without such an object are
/// skipped.
class EventStreamParser {
 public:
  /// Maximum size of an event in bytes; a longer one makes the stream
  /// malformed.
  static constexpr size_t kMaxEventBytes = 1024 * 1024;

  /// Consumes bytes and returns the events that they complete.
  std::vector<QJsonObject> Feed(const std::string& bytes);

  /// Whether an event was too long or its data was not a JSON object.
  bool malformed() const { return malformed_; }

 private:
  void ParseEvent(const std::string& event, std::vector<QJsonObject>* events);

  std::string pending_;
  bool malformed_ = false;
};

}  // namespace hawthorn::main

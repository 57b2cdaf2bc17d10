#pragma once

#include <QJsonObject>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthorn::main {

/// Splits a stream of server-sent events into the JSON objects of its data
/// fields, by the rules of the HTML Standard, section 9.2.6: lines end with CR,
/// LF or both; the data lines of an event are joined with LF; comments and
/// other fields are ignored. Events without data are skipped.
class EventStreamParser {
 public:
  /// Maximum size of a line and of the data of an event in bytes; a longer one
  /// makes the stream malformed.
  static constexpr size_t kMaxEventBytes = 1024 * 1024;

  /// Consumes bytes and returns the events that they complete. Consumes nothing
  /// once the stream is malformed.
  std::vector<QJsonObject> Feed(std::string_view bytes);

  /// Whether an event was too long or its data was not a JSON object.
  bool malformed() const { return malformed_; }

 private:
  void ParseLine(std::vector<QJsonObject>* events);
  void EndEvent(std::vector<QJsonObject>* events);

  std::string line_;
  /// Data lines of the current event, each with an LF at its end; unset if it
  /// has none.
  std::optional<std::string> data_;
  bool at_start_ = true;
  bool after_cr_ = false;
  bool malformed_ = false;
};

}  // namespace hawthorn::main

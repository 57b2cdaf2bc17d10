#pragma once

#include <google/protobuf/message.h>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

// Checks of values against the rules of the schema, for messages from a file
// and from the network alike.
namespace hawthorn::settings {

/// One thing wrong with a message.
struct Problem {
  /// Path of the field in YAML terms, for example "instances[2].zone".
  std::string path;
  std::string message;
  std::string allowed;

  auto operator<=>(const Problem&) const = default;
};

/// Whether `text` is an id: 1 to 64 letters, digits, '.', '_' or '-'.
bool IsId(std::string_view text);

/// Whether `text` is an IP number and a port of at least `least_port`.
bool IsAddress(std::string_view text, int least_port);

/// Everything in `message` and its sub-messages that is missing, out of range
/// or of the wrong shape. `path` is put before the paths of the fields.
std::vector<Problem> CheckRules(const google::protobuf::Message& message,
                                const std::string& path = "");

}  // namespace hawthorn::settings

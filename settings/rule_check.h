#pragma once

#include <google/protobuf/message.h>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

// Checks of values against the rules of the schema, both for messages from
// files and for messages from the network.
namespace hawthorn::settings {

/// One error in a message.
struct Problem {
  /// Path of the field with its YAML keys, for example "instances[2].zone".
  std::string path;
  std::string message;
  std::string allowed;

  auto operator<=>(const Problem&) const = default;
};

/// Whether `text` is an id: 1 to 64 letters, digits, '.', '_' or '-'.
bool IsId(std::string_view text);

/// Whether `text` is an IP address and a port of at least `min_port`.
bool IsAddress(std::string_view text, int min_port);

/// Returns a problem for each field of `message` and its sub-messages that is
/// missing, out of range or malformed. `path` is the path of `message` and
/// becomes the prefix of the paths of the fields.
std::vector<Problem> CheckRules(const google::protobuf::Message& message,
                                const std::string& path = "");

}  // namespace hawthorn::settings

#pragma once

#include <google/protobuf/message.h>

#include <optional>
#include <string>

// Conversion between single YAML values and protobuf fields.
namespace hawthorn::settings {

/// Parses `text` and sets the single field, or adds to the list, of
/// `message`. Returns what is wrong with the text, or nothing on success.
std::optional<std::string> StoreScalar(
    const std::string& text, const google::protobuf::FieldDescriptor& field,
    google::protobuf::Message* message);

/// Text of a single value; `index` selects an element of a list and is
/// ignored for a single field.
std::string ScalarText(const google::protobuf::Message& message,
                       const google::protobuf::FieldDescriptor& field,
                       int index);

}  // namespace hawthorn::settings

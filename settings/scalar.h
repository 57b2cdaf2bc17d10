#pragma once

#include <google/protobuf/message.h>

#include <optional>
#include <string>

// Conversion between single YAML values and protobuf fields.
namespace hawthorn::settings {

/// Parses `text` and sets `field` of `message`, or appends to it if it is a
/// list. Returns an error message, or nullopt on success.
std::optional<std::string> StoreScalar(
    const std::string& text, const google::protobuf::FieldDescriptor& field,
    google::protobuf::Message* message);

/// Text of the value of `field`. `index` selects an element of a list and is
/// ignored for a singular field.
std::string ScalarText(const google::protobuf::Message& message,
                       const google::protobuf::FieldDescriptor& field,
                       int index);

}  // namespace hawthorn::settings

#pragma once

#include <google/protobuf/message.h>

#include <string>

namespace hawthorn::settings {

/// Formats `message` as YAML that ReadYaml parses to an equal message. Values
/// that equal their default are omitted.
std::string MessageToYaml(const google::protobuf::Message& message);

}  // namespace hawthorn::settings

#pragma once

#include <google/protobuf/message.h>

#include <string>

namespace hawthorn::settings {

/// Writes `message` as YAML that ReadYaml turns into an equal message. Values
/// that equal their default are left out.
std::string MessageToYaml(const google::protobuf::Message& message);

}  // namespace hawthorn::settings

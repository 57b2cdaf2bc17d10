#pragma once

#include <google/protobuf/message.h>

#include <string>

#include "options.pb.h"

// Access to the rules that the schema registers with each field.
namespace hawthorn::settings {

/// Rule of `field`; an empty rule if the schema defines none.
const schema::FieldRule& RuleOf(const google::protobuf::FieldDescriptor& field);

/// Key of `field` in YAML: its name without the suffix that names the unit.
std::string KeyOf(const google::protobuf::FieldDescriptor& field);

/// Text of an enum value in YAML: its name without the prefix of the type, in
/// lower case.
std::string KeyOf(const google::protobuf::EnumValueDescriptor& value);

/// Description of the type of `field`, for example "a list of texts".
std::string TypeOf(const google::protobuf::FieldDescriptor& field);

/// Description of the values that `field` allows: type, unit, bounds and texts.
std::string AllowedOf(const google::protobuf::FieldDescriptor& field);

/// Sets every field of `message` that has a default value, including those of
/// its singular sub-messages.
void SetDefaults(google::protobuf::Message* message);

/// Sets one field to the default value of its rule, if it has one.
void SetDefault(google::protobuf::Message* message,
                const google::protobuf::FieldDescriptor& field);

}  // namespace hawthorn::settings

#include "settings/yaml_writer.h"

#include <yaml-cpp/yaml.h>

#include <memory>

#include "settings/field_rule.h"
#include "settings/scalar.h"

namespace hawthorn::settings {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

class YamlWriter {
 public:
  void WriteGroup(const Message& message) {
    const std::unique_ptr<Message> defaults(message.New());
    SetDefaults(defaults.get());
    const Descriptor& type = *message.GetDescriptor();
    emitter_ << YAML::BeginMap;
    for (int i = 0; i < type.field_count(); ++i) {
      WriteField(message, *defaults, *type.field(i));
    }
    emitter_ << YAML::EndMap;
  }

  std::string TakeText() const { return std::string(emitter_.c_str()) + "\n"; }

 private:
  void WriteField(const Message& message, const Message& defaults,
                  const FieldDescriptor& field) {
    if (field.is_repeated()) {
      WriteList(message, field);
      return;
    }
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      const Message& group =
          message.GetReflection()->GetMessage(message, &field);
      const Message& group_defaults =
          defaults.GetReflection()->GetMessage(defaults, &field);
      if (group.SerializeAsString() != group_defaults.SerializeAsString()) {
        emitter_ << YAML::Key << KeyOf(field) << YAML::Value;
        WriteGroup(group);
      }
      return;
    }
    const std::string text = ScalarText(message, field, 0);
    if (text != ScalarText(defaults, field, 0)) {
      emitter_ << YAML::Key << KeyOf(field) << YAML::Value;
      WriteScalar(text, field);
    }
  }

  void WriteList(const Message& message, const FieldDescriptor& field) {
    const auto& reflection = *message.GetReflection();
    const int size = reflection.FieldSize(message, &field);
    if (size == 0) {
      return;
    }
    emitter_ << YAML::Key << KeyOf(field) << YAML::Value;
    const bool is_message =
        field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
    emitter_ << (is_message ? YAML::Block : YAML::Flow) << YAML::BeginSeq;
    for (int i = 0; i < size; ++i) {
      if (is_message) {
        WriteGroup(reflection.GetRepeatedMessage(message, &field, i));
      } else {
        WriteScalar(ScalarText(message, field, i), field);
      }
    }
    emitter_ << YAML::EndSeq;
  }

  void WriteScalar(const std::string& text, const FieldDescriptor& field) {
    // Texts that a YAML parser could read as another type are quoted. Numbers
    // with a unit and booleans are not.
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
      const bool is_plain = text.find_first_of("0123456789") != 0 &&
                            text != "true" && text != "false" &&
                            text != "null" && text != "~";
      emitter_ << (is_plain ? YAML::Auto : YAML::DoubleQuoted);
    }
    emitter_ << text;
  }

  YAML::Emitter emitter_;
};

}  // namespace

std::string MessageToYaml(const Message& message) {
  YamlWriter writer;
  writer.WriteGroup(message);
  return writer.TakeText();
}

}  // namespace hawthorn::settings

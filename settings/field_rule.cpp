#include "settings/field_rule.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/strip.h>

#include <vector>

#include "settings/quantity.h"
#include "settings/scalar.h"

namespace hawthorn::settings {
namespace {

using google::protobuf::EnumDescriptor;
using google::protobuf::EnumValueDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

std::string EnumTexts(const EnumDescriptor& type) {
  std::vector<std::string> texts;
  for (int i = 1; i < type.value_count(); ++i) {
    texts.push_back(KeyOf(*type.value(i)));
  }
  return absl::StrCat("one of ", absl::StrJoin(texts, ", "));
}

std::string FormatText(schema::Format format) {
  switch (format) {
    case schema::FORMAT_ID:
      return "1 to 64 letters, digits, '.', '_' or '-'";
    case schema::FORMAT_ADDRESS:
      return "an IP number and a port, such as 10.0.0.4:7300 or [fd00::4]:7300";
    case schema::FORMAT_LISTEN_ADDRESS:
      return "an IP number and a port, such as 0.0.0.0:8080; port 0 for any";
    case schema::FORMAT_PATH:
      return "a path, relative to the folder of this file";
    default:
      return "a text";
  }
}

std::string BoundsText(const schema::FieldRule& rule) {
  if (!rule.min().empty() && !rule.max().empty()) {
    return absl::StrCat(" from ", rule.min(), " to ", rule.max());
  }
  if (!rule.min().empty()) {
    return absl::StrCat(" of at least ", rule.min());
  }
  if (!rule.max().empty()) {
    return absl::StrCat(" of at most ", rule.max());
  }
  return "";
}

std::string ElementText(const FieldDescriptor& field) {
  const schema::FieldRule& rule = RuleOf(field);
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT64:
    case FieldDescriptor::CPPTYPE_UINT32:
      return absl::StrCat(QuantityExample(rule.unit()), BoundsText(rule));
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return absl::StrCat("a number", BoundsText(rule));
    case FieldDescriptor::CPPTYPE_BOOL:
      return "true or false";
    case FieldDescriptor::CPPTYPE_ENUM:
      return EnumTexts(*field.enum_type());
    case FieldDescriptor::CPPTYPE_STRING:
      if (field.type() == FieldDescriptor::TYPE_BYTES) {
        return "hexadecimal digits";
      }
      if (!rule.one_of().empty()) {
        return absl::StrCat("one of ", absl::StrJoin(rule.one_of(), ", "));
      }
      return FormatText(rule.format());
    default:
      return "a group of keys";
  }
}

}  // namespace

const schema::FieldRule& RuleOf(const FieldDescriptor& field) {
  return field.options().GetExtension(schema::rule);
}

std::string KeyOf(const FieldDescriptor& field) {
  switch (RuleOf(field).unit()) {
    case schema::UNIT_MILLISECONDS:
      return std::string(absl::StripSuffix(field.name(), "_ms"));
    case schema::UNIT_BYTES:
      return std::string(absl::StripSuffix(field.name(), "_bytes"));
    default:
      return field.name();
  }
}

std::string KeyOf(const EnumValueDescriptor& value) {
  // Values are prefixed with the name of the type in upper snake case.
  std::string prefix;
  for (const char c : value.type()->name()) {
    if (absl::ascii_isupper(static_cast<unsigned char>(c)) && !prefix.empty()) {
      prefix += '_';
    }
    prefix += absl::ascii_toupper(static_cast<unsigned char>(c));
  }
  prefix += '_';
  return absl::AsciiStrToLower(absl::StripPrefix(value.name(), prefix));
}

std::string TypeOf(const FieldDescriptor& field) {
  const bool is_message = field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
  if (field.is_repeated()) {
    return is_message ? "a list of groups" : "a list of texts";
  }
  return is_message ? "a group of keys" : ElementText(field);
}

std::string AllowedOf(const FieldDescriptor& field) {
  if (!field.is_repeated()) {
    return ElementText(field);
  }
  return absl::StrCat("a list, each element ", ElementText(field));
}

void SetDefault(Message* message, const FieldDescriptor& field) {
  const std::string& value = RuleOf(field).default_value();
  if (!value.empty() && !field.is_repeated()) {
    StoreScalar(value, field, message);
  }
}

void SetDefaults(Message* message) {
  const auto& type = *message->GetDescriptor();
  for (int i = 0; i < type.field_count(); ++i) {
    const FieldDescriptor& field = *type.field(i);
    if (field.is_repeated()) {
      continue;
    }
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      SetDefaults(message->GetReflection()->MutableMessage(message, &field));
    } else {
      SetDefault(message, field);
    }
  }
}

}  // namespace hawthorn::settings

#include "settings/scalar.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <system_error>
#include <variant>

#include "settings/field_rule.h"
#include "settings/quantity.h"

namespace hawthorn::settings {
namespace {

using google::protobuf::EnumDescriptor;
using google::protobuf::EnumValueDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;
using Problem = std::optional<std::string>;

// Sets a singular field or appends to a list.
#define HAWTHORN_STORE(Kind, value)               \
  if (field.is_repeated()) {                      \
    reflection.Add##Kind(message, &field, value); \
  } else {                                        \
    reflection.Set##Kind(message, &field, value); \
  }

Problem StoreInteger(const std::string& text, const FieldDescriptor& field,
                     Message* message) {
  const Reflection& reflection = *message->GetReflection();
  const schema::Unit unit = RuleOf(field).unit();
  const auto parsed = ParseQuantity(text, unit);
  if (const auto* error = std::get_if<QuantityError>(&parsed)) {
    switch (*error) {
      case QuantityError::kMissingUnit:
        return absl::StrCat("'", text, "' has no unit");
      case QuantityError::kUnknownUnit:
        return absl::StrCat("'", text, "' has an unknown unit");
      case QuantityError::kOutOfRange:
        return absl::StrCat("'", text, "' is out of range");
      default:
        return absl::StrCat("'", text, "' is not a whole number");
    }
  }
  const int64_t value = std::get<int64_t>(parsed);
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_INT64) {
    HAWTHORN_STORE(Int64, value)
    return std::nullopt;
  }
  if (value < 0 || value > std::numeric_limits<uint32_t>::max()) {
    return absl::StrCat("'", text, "' is out of range");
  }
  HAWTHORN_STORE(UInt32, static_cast<uint32_t>(value))
  return std::nullopt;
}

Problem StoreDouble(const std::string& text, const FieldDescriptor& field,
                    Message* message) {
  const Reflection& reflection = *message->GetReflection();
  double value = 0;
  if (!absl::SimpleAtod(text, &value) || !std::isfinite(value)) {
    return absl::StrCat("'", text, "' is not a number");
  }
  HAWTHORN_STORE(Double, value)
  return std::nullopt;
}

Problem StoreBool(const std::string& text, const FieldDescriptor& field,
                  Message* message) {
  const Reflection& reflection = *message->GetReflection();
  if (text != "true" && text != "false") {
    return absl::StrCat("'", text, "' is not a truth value");
  }
  HAWTHORN_STORE(Bool, text == "true")
  return std::nullopt;
}

Problem StoreEnum(const std::string& text, const FieldDescriptor& field,
                  Message* message) {
  const Reflection& reflection = *message->GetReflection();
  const EnumDescriptor& type = *field.enum_type();
  // The value 0 means unspecified and has no text in YAML.
  for (int i = 1; i < type.value_count(); ++i) {
    if (KeyOf(*type.value(i)) == text) {
      HAWTHORN_STORE(Enum, type.value(i))
      return std::nullopt;
    }
  }
  return absl::StrCat("'", text, "' is unknown");
}

Problem StoreBytes(const std::string& text, const FieldDescriptor& field,
                   Message* message) {
  const Reflection& reflection = *message->GetReflection();
  const bool is_hex = std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isxdigit(static_cast<unsigned char>(c));
  });
  if (!is_hex || text.size() % 2 != 0) {
    return "not an even number of hexadecimal digits";
  }
  HAWTHORN_STORE(String, absl::HexStringToBytes(text))
  return std::nullopt;
}

Problem StoreText(const std::string& text, const FieldDescriptor& field,
                  Message* message) {
  const Reflection& reflection = *message->GetReflection();
  if (text.find('\0') != std::string::npos) {
    return "the text holds a zero byte";
  }
  HAWTHORN_STORE(String, text)
  return std::nullopt;
}

#undef HAWTHORN_STORE

std::string IntegerText(const Message& message, const FieldDescriptor& field) {
  const Reflection& reflection = *message.GetReflection();
  const int64_t value = field.cpp_type() == FieldDescriptor::CPPTYPE_INT64
                            ? reflection.GetInt64(message, &field)
                            : reflection.GetUInt32(message, &field);
  return FormatQuantity(value, RuleOf(field).unit());
}

// Shortest text that parses as the same number.
std::string ShortestText(double value) {
  std::array<char, 32> buf{};
  const auto [end, ec] =
      std::to_chars(buf.data(), buf.data() + buf.size(), value);
  return ec == std::errc() ? std::string(buf.data(), end) : "0";
}

std::string StringText(const Message& message, const FieldDescriptor& field,
                       int index) {
  const Reflection& reflection = *message.GetReflection();
  std::string value = field.is_repeated()
                          ? reflection.GetRepeatedString(message, &field, index)
                          : reflection.GetString(message, &field);
  return field.type() == FieldDescriptor::TYPE_BYTES
             ? absl::BytesToHexString(value)
             : value;
}

}  // namespace

Problem StoreScalar(const std::string& text, const FieldDescriptor& field,
                    Message* message) {
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT64:
    case FieldDescriptor::CPPTYPE_UINT32:
      return StoreInteger(text, field, message);
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return StoreDouble(text, field, message);
    case FieldDescriptor::CPPTYPE_BOOL:
      return StoreBool(text, field, message);
    case FieldDescriptor::CPPTYPE_ENUM:
      return StoreEnum(text, field, message);
    case FieldDescriptor::CPPTYPE_STRING:
      return field.type() == FieldDescriptor::TYPE_BYTES
                 ? StoreBytes(text, field, message)
                 : StoreText(text, field, message);
    default:
      return "the field cannot be written in YAML";
  }
}

std::string ScalarText(const Message& message, const FieldDescriptor& field,
                       int index) {
  const Reflection& reflection = *message.GetReflection();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT64:
    case FieldDescriptor::CPPTYPE_UINT32:
      return IntegerText(message, field);
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return ShortestText(reflection.GetDouble(message, &field));
    case FieldDescriptor::CPPTYPE_BOOL:
      return reflection.GetBool(message, &field) ? "true" : "false";
    case FieldDescriptor::CPPTYPE_ENUM:
      return KeyOf(*reflection.GetEnum(message, &field));
    case FieldDescriptor::CPPTYPE_STRING:
      return StringText(message, field, index);
    default:
      return "";
  }
}

}  // namespace hawthorn::settings

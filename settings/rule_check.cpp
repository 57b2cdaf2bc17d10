#include "settings/rule_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>
#include <variant>

#include "settings/field_rule.h"
#include "settings/quantity.h"
#include "settings/scalar.h"

namespace hawthorn::settings {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr size_t kMaxIdBytes = 64;
constexpr size_t kMaxTextBytes = 1024;
constexpr int kMaxPort = 65535;

bool IsIpAddress(const std::string& text) {
  in_addr v4{};
  in6_addr v6{};
  return inet_pton(AF_INET, text.c_str(), &v4) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &v6) == 1;
}

bool FitsFormat(const std::string& text, schema::Format format) {
  switch (format) {
    case schema::FORMAT_ID:
      return IsId(text);
    case schema::FORMAT_ADDRESS:
      return IsAddress(text, 1);
    case schema::FORMAT_LISTEN_ADDRESS:
      return IsAddress(text, 0);
    default:
      return text.size() <= kMaxTextBytes;
  }
}

// Checks one message. Paths of fields are formatted only when there is a
// problem.
class RuleChecker {
 public:
  explicit RuleChecker(std::string path) : path_(std::move(path)) {}

  void Check(const Message& message) {
    const Descriptor& type = *message.GetDescriptor();
    for (int i = 0; i < type.field_count(); ++i) {
      const FieldDescriptor& field = *type.field(i);
      if (field.is_repeated()) {
        CheckList(message, field);
      } else {
        CheckSingle(message, field);
      }
    }
  }

  std::vector<Problem> TakeProblems() { return std::move(problems_); }

 private:
  std::string PathOf(const FieldDescriptor& field) const {
    return path_.empty() ? KeyOf(field)
                         : absl::StrCat(path_, ".", KeyOf(field));
  }

  void Add(const FieldDescriptor& field, const std::string& what,
           std::string path = "") {
    problems_.push_back({path.empty() ? PathOf(field) : std::move(path),
                         absl::StrCat("'", KeyOf(field), "' ", what),
                         AllowedOf(field)});
  }

  void CheckGroup(const Message& message, std::string path) {
    std::swap(path_, path);
    Check(message);
    std::swap(path_, path);
  }

  void CheckList(const Message& message, const FieldDescriptor& field) {
    const Reflection& reflection = *message.GetReflection();
    const schema::FieldRule& rule = RuleOf(field);
    const int size = reflection.FieldSize(message, &field);
    CheckSize(field, static_cast<uint32_t>(size));
    for (int i = 0; i < size; ++i) {
      if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        CheckGroup(reflection.GetRepeatedMessage(message, &field, i),
                   absl::StrCat(PathOf(field), "[", i, "]"));
        continue;
      }
      const std::string text = ScalarText(message, field, i);
      if (!FitsFormat(text, rule.format())) {
        Add(field, absl::StrCat("holds the wrong text '", text, "'"),
            absl::StrCat(PathOf(field), "[", i, "]"));
      }
    }
  }

  void CheckSize(const FieldDescriptor& field, uint32_t size) {
    const schema::FieldRule& rule = RuleOf(field);
    if (rule.min_items() > 0 && size < rule.min_items()) {
      Add(field, absl::StrCat("has ", size, " elements of at least ",
                              rule.min_items()));
    }
    if (rule.max_items() > 0 && size > rule.max_items()) {
      Add(field, absl::StrCat("has ", size, " elements of at most ",
                              rule.max_items()));
    }
  }

  void CheckSingle(const Message& message, const FieldDescriptor& field) {
    switch (field.cpp_type()) {
      case FieldDescriptor::CPPTYPE_MESSAGE:
        CheckGroup(message.GetReflection()->GetMessage(message, &field),
                   PathOf(field));
        return;
      case FieldDescriptor::CPPTYPE_INT64:
      case FieldDescriptor::CPPTYPE_UINT32:
        CheckInteger(message, field);
        return;
      case FieldDescriptor::CPPTYPE_DOUBLE:
        CheckDouble(message, field);
        return;
      case FieldDescriptor::CPPTYPE_ENUM:
        CheckEnum(message, field);
        return;
      case FieldDescriptor::CPPTYPE_STRING:
        CheckText(message, field);
        return;
      default:
        return;
    }
  }

  void CheckInteger(const Message& message, const FieldDescriptor& field) {
    const schema::FieldRule& rule = RuleOf(field);
    const Reflection& reflection = *message.GetReflection();
    const int64_t value = field.cpp_type() == FieldDescriptor::CPPTYPE_INT64
                              ? reflection.GetInt64(message, &field)
                              : reflection.GetUInt32(message, &field);
    const auto bound = [&](const std::string& text) {
      return std::get<int64_t>(ParseQuantity(text, rule.unit()));
    };
    const bool is_low = !rule.min().empty() && value < bound(rule.min());
    const bool is_high = !rule.max().empty() && value > bound(rule.max());
    if (is_low || is_high) {
      Add(field, absl::StrCat("is out of range: ",
                              FormatQuantity(value, rule.unit())));
    }
  }

  void CheckDouble(const Message& message, const FieldDescriptor& field) {
    const schema::FieldRule& rule = RuleOf(field);
    const double value = message.GetReflection()->GetDouble(message, &field);
    double low = 0;
    double high = 0;
    const bool is_low = absl::SimpleAtod(rule.min(), &low) && value < low;
    const bool is_high = absl::SimpleAtod(rule.max(), &high) && value > high;
    if (is_low || is_high || !std::isfinite(value)) {
      Add(field, absl::StrCat("is out of range: ", value));
    }
  }

  void CheckEnum(const Message& message, const FieldDescriptor& field) {
    const int value = message.GetReflection()->GetEnumValue(message, &field);
    if (value == 0 && RuleOf(field).required()) {
      Add(field, "is missing");
      return;
    }
    if (field.enum_type()->FindValueByNumber(value) == nullptr) {
      Add(field, absl::StrCat("is unknown: ", value));
    }
  }

  void CheckText(const Message& message, const FieldDescriptor& field) {
    const schema::FieldRule& rule = RuleOf(field);
    std::string scratch;
    const std::string& text =
        message.GetReflection()->GetStringReference(message, &field, &scratch);
    if (text.empty()) {
      if (rule.required()) {
        Add(field, "is missing");
      }
      return;
    }
    if (field.type() == FieldDescriptor::TYPE_BYTES) {
      return;
    }
    const auto& texts = rule.one_of();
    const bool is_listed =
        texts.empty() ||
        std::find(texts.begin(), texts.end(), text) != texts.end();
    if (!is_listed || !FitsFormat(text, rule.format())) {
      Add(field, absl::StrCat("has the wrong value '",
                              text.substr(0, kMaxIdBytes), "'"));
    }
  }

  std::string path_;
  std::vector<Problem> problems_;
};

}  // namespace

bool IsId(std::string_view text) {
  const auto is_allowed = [](unsigned char c) {
    return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= kMaxIdBytes &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

bool IsAddress(std::string_view text, int min_port) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::string host(text.substr(0, colon));
  const std::string port_text(text.substr(colon + 1));
  const bool is_bracketed =
      host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (is_bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  // An IPv6 address must be in brackets, and an IPv4 address must not be.
  if (is_bracketed != (host.find(':') != std::string::npos)) {
    return false;
  }
  int port = 0;
  const bool has_port =
      !port_text.empty() &&
      port_text.find_first_not_of("0123456789") == std::string::npos &&
      absl::SimpleAtoi(port_text, &port);
  return has_port && port >= min_port && port <= kMaxPort && IsIpAddress(host);
}

std::vector<Problem> CheckRules(const Message& message,
                                const std::string& path) {
  RuleChecker checker(path);
  checker.Check(message);
  return checker.TakeProblems();
}

}  // namespace hawthorn::settings

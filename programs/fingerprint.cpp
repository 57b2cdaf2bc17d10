#include "programs/fingerprint.h"

#include <absl/strings/ascii.h>
#include <xxhash.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QJsonValue>
#include <algorithm>
#include <array>
#include <cmath>
#include <string>

namespace hawthorn::programs {
namespace {

/// Replaces a word or number that looks like an identifier.
constexpr char kPlaceholder = '\x01';
constexpr size_t kMinDigitsOnly = 10;
constexpr size_t kMinIdentifier = 16;
constexpr size_t kMaxIdentifier = 64;
constexpr int kMinIdentifierDigits = 4;
/// Smallest number that counts as an identifier or a time.
constexpr double kMinNumericIdentifier = 1e9;

/// Members whose values differ from request to request. Names are in lower case
/// and without separators.
constexpr std::array<std::string_view, 16> kIdentifierNames = {
    "id",         "requestid",      "messageid",      "callid",
    "toolcallid", "traceid",        "spanid",         "correlationid",
    "sessionid",  "conversationid", "idempotencykey", "nonce",
    "timestamp",  "time",           "createdat",      "sentat"};

bool IsIdentifierName(const QString& name) {
  std::string plain;
  for (const char c : name.toStdString()) {
    if (c != '_' && c != '-') {
      plain += absl::ascii_tolower(static_cast<unsigned char>(c));
    }
  }
  return std::find(kIdentifierNames.begin(), kIdentifierNames.end(), plain) !=
         kIdentifierNames.end();
}

bool IsWordByte(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' ||
         c == '_' || c == ':' || c == '.' || c == '+';
}

bool IsIdentifier(std::string_view word) {
  const auto digits =
      std::count_if(word.begin(), word.end(),
                    [](unsigned char c) { return absl::ascii_isdigit(c); });
  if (static_cast<size_t>(digits) == word.size()) {
    return word.size() >= kMinDigitsOnly;
  }
  return word.size() >= kMinIdentifier && word.size() <= kMaxIdentifier &&
         digits >= kMinIdentifierDigits;
}

std::string NormaliseText(std::string_view text) {
  std::string out;
  size_t i = 0;
  while (i < text.size()) {
    if (absl::ascii_isspace(static_cast<unsigned char>(text[i]))) {
      if (!out.empty() && out.back() != ' ') {
        out += ' ';
      }
      ++i;
      continue;
    }
    size_t end = i;
    while (end < text.size() && IsWordByte(text[end])) {
      ++end;
    }
    if (end == i) {
      out += text[i++];
      continue;
    }
    const std::string_view word = text.substr(i, end - i);
    if (IsIdentifier(word)) {
      out += kPlaceholder;
    } else {
      out += word;
    }
    i = end;
  }
  while (!out.empty() && out.back() == ' ') {
    out.pop_back();
  }
  return out;
}

void AppendValue(const QJsonValue& value, std::string* out);

void AppendObject(const QJsonObject& object, std::string* out) {
  *out += '{';
  // A QJsonObject keeps its members in the order of their names.
  for (auto it = object.begin(); it != object.end(); ++it) {
    if (IsIdentifierName(it.key())) {
      continue;
    }
    *out += it.key().toStdString();
    *out += ':';
    AppendValue(it.value(), out);
    *out += ',';
  }
  *out += '}';
}

void AppendArray(const QJsonArray& array, std::string* out) {
  *out += '[';
  for (const auto& it : array) {
    AppendValue(it, out);
    *out += ',';
  }
  *out += ']';
}

void AppendNumber(double number, std::string* out) {
  if (std::abs(number) >= kMinNumericIdentifier) {
    *out += kPlaceholder;
    return;
  }
  *out += QByteArray::number(number, 'g', 17).toStdString();
}

void AppendValue(const QJsonValue& value, std::string* out) {
  switch (value.type()) {
    case QJsonValue::Object:
      return AppendObject(value.toObject(), out);
    case QJsonValue::Array:
      return AppendArray(value.toArray(), out);
    case QJsonValue::Double:
      return AppendNumber(value.toDouble(), out);
    case QJsonValue::String:
      *out += '"' + NormaliseText(value.toString().toStdString()) + '"';
      return;
    case QJsonValue::Bool:
      *out += value.toBool() ? "true" : "false";
      return;
    default:
      *out += "null";
  }
}

std::string Normalise(std::string_view messages) {
  const auto bytes = QByteArray::fromRawData(
      messages.data(), static_cast<qsizetype>(messages.size()));
  const QJsonDocument document = QJsonDocument::fromJson(bytes);
  if (document.isNull()) {
    return NormaliseText(messages);
  }
  std::string out;
  if (document.isArray()) {
    AppendArray(document.array(), &out);
  } else {
    AppendObject(document.object(), &out);
  }
  return out;
}

}  // namespace

uint64_t RequestFingerprint(std::string_view messages,
                            std::string_view service) {
  std::string text(service);
  text += '\0';
  text += Normalise(messages);
  const uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

}  // namespace hawthorn::programs

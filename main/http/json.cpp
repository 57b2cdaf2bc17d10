#include "main/http/json.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <utility>

namespace hawthorn::main {

namespace {

QString Text(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace

core::Result<QJsonObject> ParseObject(const std::string& text) {
  if (text.empty()) {
    return QJsonObject();
  }
  QJsonParseError error;
  const QJsonDocument document =
      QJsonDocument::fromJson(QByteArray::fromStdString(text), &error);
  if (error.error != QJsonParseError::NoError) {
    return NotRun(core::ErrorCode::kInvalidArgument,
                  "malformed JSON at byte " + std::to_string(error.offset) +
                      ": " + error.errorString().toStdString());
  }
  if (!document.isObject()) {
    return NotRun(core::ErrorCode::kInvalidArgument,
                  "the body must be a JSON object");
  }
  return document.object();
}

std::string ToJson(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::string ToJson(const QJsonValue& value) {
  const QJsonDocument document = value.isArray()
                                     ? QJsonDocument(value.toArray())
                                     : QJsonDocument(value.toObject());
  return document.toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject ErrorObject(const core::Error& error) {
  QJsonObject object{{"code", Text(core::ToString(error.code))},
                     {"message", Text(error.message)},
                     {"execution", Text(core::ToString(error.execution))}};
  if (error.retry_after) {
    object["retry_after_ms"] = static_cast<qint64>(error.retry_after->count());
  }
  return {{"error", object}};
}

int StatusOf(core::ErrorCode code) {
  switch (code) {
    case core::ErrorCode::kInvalidArgument:
      return 400;
    case core::ErrorCode::kUnauthenticated:
      return 401;
    case core::ErrorCode::kNotFound:
      return 404;
    case core::ErrorCode::kConflict:
    case core::ErrorCode::kOutOfOrder:
    case core::ErrorCode::kProgramEnded:
    case core::ErrorCode::kExpired:
    case core::ErrorCode::kPoisonous:
    case core::ErrorCode::kCancelled:
      return 409;
    case core::ErrorCode::kBudgetExceeded:
    case core::ErrorCode::kLimitExceeded:
      return 429;
    case core::ErrorCode::kOverloaded:
    case core::ErrorCode::kUnavailable:
    case core::ErrorCode::kNotLeader:
    case core::ErrorCode::kStorage:
      return 503;
    case core::ErrorCode::kDeadlineExceeded:
      return 504;
    case core::ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

transport::HeaderFields JsonHeaders() {
  return {{"Content-Type", "application/json"}};
}

transport::HeaderFields ErrorHeaders(const core::Error& error) {
  transport::HeaderFields headers = JsonHeaders();
  if (error.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count();
    headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  return headers;
}

core::Error NotRun(core::ErrorCode code, std::string message) {
  return core::Error{code, std::move(message), core::Execution::kNotRun, {}};
}

}  // namespace hawthorn::main

#pragma once

#include <QJsonObject>
#include <QJsonValue>
#include <string>

#include "core/error.h"
#include "transport/http_server.h"

// JSON helpers and error bodies of the HTTP APIs.
namespace hawthorn::main {

/// Parses an object; an empty text yields an empty object. For malformed JSON,
/// the error kInvalidArgument contains the offset.
core::Result<QJsonObject> ParseObject(const std::string& text);

/// Serializes without white space.
std::string ToJson(const QJsonObject& object);
/// Serializes an array or object without white space.
std::string ToJson(const QJsonValue& value);

/// Error body of all APIs: code, message, execution and retry_after_ms.
QJsonObject ErrorObject(const core::Error& error);

/// HTTP status for `code`.
int StatusOf(core::ErrorCode code);

/// Header fields of a JSON response.
transport::HeaderFields JsonHeaders();
/// The same, with Retry-After if `error` contains a retry delay.
transport::HeaderFields ErrorHeaders(const core::Error& error);

/// Makes an error with execution kNotRun, for work that was not started.
core::Error NotRun(core::ErrorCode code, std::string message);

}  // namespace hawthorn::main

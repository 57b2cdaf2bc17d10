#pragma once

#include <QJsonObject>
#include <QJsonValue>
#include <string>

#include "core/error.h"
#include "transport/http_server.h"

// JSON shapes of the HTTP interface.
namespace hawthorn::main {

/// Parses an object; an empty text is an empty object. Error
/// kInvalidArgument names the offset.
core::Result<QJsonObject> ParseObject(const std::string& text);

/// Serializes without white space.
std::string ToJson(const QJsonObject& object);
/// Serializes an array or object without white space.
std::string ToJson(const QJsonValue& value);

/// The one shape of errors: code, message, execution and retry_after_ms.
QJsonObject ErrorObject(const core::Error& error);

/// HTTP status that goes with `code`.
int StatusOf(core::ErrorCode code);

/// Header fields of a JSON answer; adds Retry-After for `error`.
transport::HeaderFields JsonHeaders();
transport::HeaderFields ErrorHeaders(const core::Error& error);

/// Shorthand for an error of kind `code` for work that was not started.
core::Error NotRun(core::ErrorCode code, std::string message);

}  // namespace hawthorn::main

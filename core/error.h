#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

// Typed errors and variant results. The decision modules do not throw.
namespace hawthorn::core {

/// Whether a request was executed.
enum class Execution {
  kRan,      ///< An upstream completed it.
  kNotRun,   ///< It is certain that it never started.
  kUnknown,  ///< It may have run; a non-idempotent call must not be retried.
};

/// Reason of an error. Its text form is part of the public interface.
enum class ErrorCode {
  kInvalidArgument,
  kUnauthenticated,
  kNotFound,
  kConflict,
  kOutOfOrder,
  kBudgetExceeded,
  kLimitExceeded,
  kOverloaded,
  kUnavailable,
  kNotLeader,
  kDeadlineExceeded,
  kProgramEnded,
  kPoisonous,
  kCancelled,
  kExpired,
  kStorage,
  kInternal,
};

/// Describes why a request or operation failed.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  Execution execution = Execution::kNotRun;
  /// Time after which a retry may succeed; absent when a retry cannot help.
  std::optional<std::chrono::milliseconds> retry_after;

  bool operator==(const Error&) const = default;
};

/// A value or the error that prevented it.
template <typename T>
using Result = std::variant<T, Error>;

/// Result of an operation that yields no value.
using Status = Result<std::monostate>;

/// Returns whether `result` holds a value.
template <typename T>
bool IsOk(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}

/// Returns the value; `result` must hold one.
template <typename T>
const T& Value(const Result<T>& result) {
  return std::get<T>(result);
}

/// Moves the value out; `result` must hold one.
template <typename T>
T TakeValue(Result<T>&& result) {
  return std::get<T>(std::move(result));
}

/// Returns the error; `result` must hold one.
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<Error>(result);
}

/// Text form of `code`, for example "budget_exceeded".
std::string_view ToString(ErrorCode code);

/// Code whose text form is `text`; kInternal if there is none.
ErrorCode ErrorCodeOf(std::string_view text);

/// Text form of `execution`: "ran", "not run" or "unknown".
std::string_view ToString(Execution execution);

}  // namespace hawthorn::core

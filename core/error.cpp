#include "core/error.h"

namespace hawthorn::core {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kUnauthenticated:
      return "unauthenticated";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kOutOfOrder:
      return "out_of_order";
    case ErrorCode::kBudgetExceeded:
      return "budget_exceeded";
    case ErrorCode::kLimitExceeded:
      return "limit_exceeded";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kNotLeader:
      return "not_leader";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kProgramEnded:
      return "program_ended";
    case ErrorCode::kPoisonous:
      return "poisonous";
    case ErrorCode::kCancelled:
      return "cancelled";
    case ErrorCode::kExpired:
      return "expired";
    case ErrorCode::kStorage:
      return "storage";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

ErrorCode ErrorCodeOf(std::string_view text) {
  for (int n = 0; n < static_cast<int>(ErrorCode::kInternal); ++n) {
    const auto code = static_cast<ErrorCode>(n);
    if (ToString(code) == text) {
      return code;
    }
  }
  return ErrorCode::kInternal;
}

std::string_view ToString(Execution execution) {
  switch (execution) {
    case Execution::kRan:
      return "ran";
    case Execution::kNotRun:
      return "not run";
    case Execution::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace hawthorn::core

#include "peer/errors.h"

#include <utility>

namespace hawthorn::peer {

core::Error MakeError(core::ErrorCode code, std::string message,
                      core::Execution execution) {
  core::Error error;
  error.code = code;
  error.message = std::move(message);
  error.execution = execution;
  return error;
}

schema::Failure ToFailure(const core::Error& error) {
  schema::Failure failure;
  failure.set_code(std::string(core::ToString(error.code)));
  failure.set_message(error.message);
  failure.set_execution(std::string(core::ToString(error.execution)));
  if (error.retry_after) {
    failure.set_retry_after_ms(error.retry_after->count());
  }
  return failure;
}

core::Error FromFailure(const schema::Failure& failure) {
  core::Error error = MakeError(core::ErrorCode::kInternal, failure.message(),
                                core::Execution::kUnknown);
  for (int n = 0; n <= static_cast<int>(core::ErrorCode::kInternal); ++n) {
    const auto code = static_cast<core::ErrorCode>(n);
    if (core::ToString(code) == failure.code()) {
      error.code = code;
    }
  }
  for (const core::Execution it :
       {core::Execution::kRan, core::Execution::kNotRun}) {
    if (core::ToString(it) == failure.execution()) {
      error.execution = it;
    }
  }
  if (failure.retry_after_ms() > 0) {
    error.retry_after = std::chrono::milliseconds(failure.retry_after_ms());
  }
  return error;
}

}  // namespace hawthorn::peer

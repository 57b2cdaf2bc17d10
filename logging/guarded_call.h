#pragma once

#include <cstdint>
#include <exception>
#include <string>
#include <utility>

namespace hawthorn::logging {

/// Number of calls of CallGuarded that ended with an exception.
uint64_t UnexpectedErrors();

namespace detail {

void ReportUnexpectedError(const char* place, const std::string& error);

}  // namespace detail

/// Calls `function` and returns whether it ended without an exception. Code
/// that handles foreign input runs within this, so that an unexpected error
/// ends the connection concerned instead of the process. `place` names the code
/// in the log record.
template <typename Function>
bool CallGuarded(const char* place, Function&& function) {
  try {
    std::forward<Function>(function)();
    return true;
  } catch (const std::exception& error) {
    detail::ReportUnexpectedError(place, error.what());
  } catch (...) {
    detail::ReportUnexpectedError(place, "unknown exception");
  }
  return false;
}

}  // namespace hawthorn::logging

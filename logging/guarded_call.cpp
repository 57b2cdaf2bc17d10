#include "logging/guarded_call.h"

#include <atomic>

#include "logging/log.h"

namespace hawthorn::logging {

namespace {

std::atomic<uint64_t> unexpected_errors{0};

}  // namespace

uint64_t UnexpectedErrors() { return unexpected_errors; }

void detail::ReportUnexpectedError(const char* place,
                                   const std::string& error) {
  ++unexpected_errors;
  Log(LogLevel::kError, "unexpected error",
      {{"place", place}, {"error", error}});
}

}  // namespace hawthorn::logging

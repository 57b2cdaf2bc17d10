#include <catch2/catch.hpp>

#include "logging/log.h"

namespace hawthorn::logging {
namespace {

TEST_CASE("A flood of routine records suppresses no failure") {
  LogRateLimiter limiter;
  uint64_t written = 0;
  for (int n = 0; n < 100000; ++n) {
    written += limiter.Admit(LogLevel::kInfo, 1) ? 1 : 0;
  }
  CHECK(written == LogRateLimiter::kMaxRoutinePerSecond);
  CHECK(limiter.Admit(LogLevel::kWarn, 1));
  CHECK(limiter.Admit(LogLevel::kError, 1));
  CHECK(limiter.TakeSuppressed() ==
        100000 - LogRateLimiter::kMaxRoutinePerSecond);
  CHECK(limiter.TakeSuppressed() == 0);
}

TEST_CASE("Failures are limited too, and each second starts a new count") {
  LogRateLimiter limiter;
  uint64_t written = 0;
  for (int n = 0; n < 100000; ++n) {
    written += limiter.Admit(LogLevel::kWarn, 1) ? 1 : 0;
  }
  CHECK(written == LogRateLimiter::kMaxFailuresPerSecond);
  CHECK(limiter.Admit(LogLevel::kWarn, 2));
  CHECK(limiter.Admit(LogLevel::kInfo, 2));
}

TEST_CASE("Only the names of levels are accepted") {
  for (const char* name : {"debug", "info", "warn", "error"}) {
    CHECK(IsLogLevel(name));
  }
  CHECK_FALSE(IsLogLevel("verbose"));
  CHECK_FALSE(IsLogLevel(""));
}

}  // namespace
}  // namespace hawthorn::logging

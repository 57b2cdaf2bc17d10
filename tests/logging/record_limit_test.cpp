#include <catch2/catch.hpp>

#include "logging/log.h"

namespace hawthorn::logging {
namespace {

TEST_CASE("A flood of ordinary records leaves no failure out") {
  RecordLimit limit;
  uint64_t written = 0;
  for (int n = 0; n < 100000; ++n) {
    written += limit.Admit(LogLevel::kInfo, 1) ? 1 : 0;
  }
  CHECK(written == RecordLimit::kRoutinePerSecond);
  CHECK(limit.Admit(LogLevel::kWarn, 1));
  CHECK(limit.Admit(LogLevel::kError, 1));
  CHECK(limit.TakeLeftOut() == 100000 - RecordLimit::kRoutinePerSecond);
  CHECK(limit.TakeLeftOut() == 0);
}

TEST_CASE("Failures are bounded too, and each second begins anew") {
  RecordLimit limit;
  uint64_t written = 0;
  for (int n = 0; n < 100000; ++n) {
    written += limit.Admit(LogLevel::kWarn, 1) ? 1 : 0;
  }
  CHECK(written == RecordLimit::kFailuresPerSecond);
  CHECK(limit.Admit(LogLevel::kWarn, 2));
  CHECK(limit.Admit(LogLevel::kInfo, 2));
}

TEST_CASE("Only the names of levels are levels") {
  for (const char* name : {"debug", "info", "warn", "error"}) {
    CHECK(IsLogLevel(name));
  }
  CHECK_FALSE(IsLogLevel("verbose"));
  CHECK_FALSE(IsLogLevel(""));
}

}  // namespace
}  // namespace hawthorn::logging

#include "logging/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

namespace hawthorn::logging {

namespace {

log4cxx::LoggerPtr Logger() {
  static const log4cxx::LoggerPtr logger =
      log4cxx::Logger::getLogger("hawthorn");
  return logger;
}

log4cxx::LevelPtr ToLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

}  // namespace

void StartLog(const LogOptions& options) {
  auto layout = std::make_shared<log4cxx::JSONLayout>();
  layout->setLocationInfo(false);
  log4cxx::AppenderPtr target;
  if (options.file.empty() || options.file == "-") {
    target = std::make_shared<log4cxx::ConsoleAppender>(
        layout, options.file.empty()
                    ? log4cxx::ConsoleAppender::getSystemErr()
                    : log4cxx::ConsoleAppender::getSystemOut());
  } else {
    target =
        std::make_shared<log4cxx::FileAppender>(layout, options.file, true);
  }
  auto async = std::make_shared<log4cxx::AsyncAppender>();
  async->setBlocking(options.blocking);
  async->addAppender(target);
  Logger()->addAppender(async);
  Logger()->setAdditivity(false);
  Logger()->setLevel(log4cxx::Level::toLevel(options.level));
  log4cxx::MDC::put("instance", options.instance);
}

void StopLog() { Logger()->removeAllAppenders(); }

bool IsLogLevel(std::string_view name) {
  return name == "debug" || name == "info" || name == "warn" || name == "error";
}

bool IsLogEnabled(LogLevel level) {
  return Logger()->isEnabledFor(ToLevel(level));
}

bool LogRateLimiter::Admit(LogLevel level, int64_t second) {
  const std::lock_guard lock(mutex_);
  if (second > second_) {
    second_ = second;
    routine_ = 0;
    failures_ = 0;
  }
  const bool failure = level == LogLevel::kWarn || level == LogLevel::kError;
  uint64_t& count = failure ? failures_ : routine_;
  const uint64_t limit = failure ? kMaxFailuresPerSecond : kMaxRoutinePerSecond;
  if (count >= limit) {
    ++suppressed_;
    return false;
  }
  ++count;
  return true;
}

uint64_t LogRateLimiter::TakeSuppressed() {
  const std::lock_guard lock(mutex_);
  return std::exchange(suppressed_, 0);
}

namespace {

void Write(const log4cxx::LevelPtr& severity, const std::string& message,
           LogFields fields) {
  std::vector<std::unique_ptr<log4cxx::MDC>> context;
  for (const auto& [name, value] : fields) {
    context.push_back(std::make_unique<log4cxx::MDC>(name, value));
  }
  Logger()->forcedLog(severity, message);
}

std::atomic<uint64_t> suppressed_records{0};

}  // namespace

uint64_t SuppressedLogRecords() { return suppressed_records.load(); }

void Log(LogLevel level, const std::string& message, LogFields fields) {
  static LogRateLimiter limiter;
  static std::atomic<int64_t> reported_second{0};
  const log4cxx::LevelPtr severity = ToLevel(level);
  if (!Logger()->isEnabledFor(severity)) {
    return;
  }
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count();
  if (reported_second.exchange(second) != second) {
    if (const uint64_t suppressed = limiter.TakeSuppressed(); suppressed > 0) {
      Write(log4cxx::Level::getWarn(),
            "log records suppressed by the rate limit",
            {{"count", std::to_string(suppressed)}});
    }
  }
  if (limiter.Admit(level, second)) {
    Write(severity, message, fields);
  } else {
    ++suppressed_records;
  }
}

}  // namespace hawthorn::logging

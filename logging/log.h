#pragma once

#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

// Log records in JSON, one per line, written by a dedicated thread.
namespace hawthorn::logging {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Fields of a record in addition to its message.
using LogFields = std::initializer_list<std::pair<const char*, std::string>>;

/// Level and destination of the log.
struct LogOptions {
  /// Name of the instance; added to every record.
  std::string instance;
  /// "debug", "info", "warn" or "error".
  std::string level = "info";
  /// Empty for standard error, "-" for standard output.
  std::string file;
  /// If true, Log waits while the queue of the writer is full; if false, the
  /// record is discarded. Must be false where a decision must not wait.
  bool blocking = true;
};

/// Sets the level and the destination; called once per process.
void StartLog(const LogOptions& options);

/// Writes the queued records and closes the log.
void StopLog();

/// Whether `name` is a valid LogOptions::level.
bool IsLogLevel(std::string_view name);

/// Whether records of `level` are written.
bool IsLogEnabled(LogLevel level);

/// Limits the number of records per second. Warnings and errors have a separate
/// limit, so that a flood of routine records never suppresses them.
/// Thread-safe.
class LogRateLimiter {
 public:
  /// Maximum number of debug and info records per second: about four times what
  /// an entry instance writes at its usual load.
  static constexpr uint64_t kMaxRoutinePerSecond = 400;
  /// Maximum number of warnings and errors per second.
  static constexpr uint64_t kMaxFailuresPerSecond = 1000;

  /// Whether a record may be written in the second `second`, which must never
  /// decrease.
  bool Admit(LogLevel level, int64_t second);
  /// Number of records suppressed since the last call.
  uint64_t TakeSuppressed();

 private:
  std::mutex mutex_;
  int64_t second_ = 0;
  uint64_t routine_ = 0;
  uint64_t failures_ = 0;
  uint64_t suppressed_ = 0;
};

/// Number of records that the rate limit has suppressed since the start of the
/// process. Thread-safe.
uint64_t SuppressedLogRecords();

/// Writes one record unless the rate limit of this second is reached. A later
/// record reports the number of suppressed records. Thread-safe; waits only if
/// LogOptions::blocking is set.
void Log(LogLevel level, const std::string& message, LogFields fields = {});

}  // namespace hawthorn::logging

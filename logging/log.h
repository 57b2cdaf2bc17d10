#pragma once

#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

// Log records in JSON, one a line, written by a thread of their own.
namespace hawthorn::logging {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Fields of a record beside its message.
using LogFields = std::initializer_list<std::pair<const char*, std::string>>;

/// Where records go.
struct LogOptions {
  /// Name of the process in every record.
  std::string instance;
  /// "debug", "info", "warn" or "error".
  std::string level = "info";
  /// Empty for standard error, "-" for standard output.
  std::string file;
  /// Records wait for room instead of being left out. Never set where a
  /// decision must not wait.
  bool blocking = true;
};

/// Sets level and destination up; called once per process.
void StartLog(const LogOptions& options);

/// Writes what is queued.
void StopLog();

/// Whether `name` is a level that LogOptions takes.
bool IsLogLevel(std::string_view name);

/// Whether records of `level` are written.
bool IsLogged(LogLevel level);

/// Bounds the records of each second. Failures have a share of their own, so
/// that a flood of ordinary records never leaves them out. Thread-safe.
class RecordLimit {
 public:
  /// Ordinary records a second: about what an entry instance writes at its
  /// usual load, four times over.
  static constexpr uint64_t kRoutinePerSecond = 400;
  /// Records of warnings and errors a second.
  static constexpr uint64_t kFailuresPerSecond = 1000;

  /// Whether a record may be written in the second `second`, which never goes
  /// back.
  bool Admit(LogLevel level, int64_t second);
  /// Records left out since the last call.
  uint64_t TakeLeftOut();

 private:
  std::mutex mutex_;
  int64_t second_ = 0;
  uint64_t routine_ = 0;
  uint64_t failures_ = 0;
  uint64_t left_out_ = 0;
};

/// Records left out since the start because of the limit. Thread-safe.
uint64_t RecordsLeftOut();

/// Writes one record, unless the limit of this second is reached; how many
/// were left out is said by a record of its own. Thread-safe, never waits.
void Log(LogLevel level, const std::string& message, LogFields fields = {});

}  // namespace hawthorn::logging

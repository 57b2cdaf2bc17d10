#pragma once

#include <initializer_list>
#include <string>
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

/// Whether records of `level` are written.
bool IsLogged(LogLevel level);

/// Writes one record. Thread-safe.
void Log(LogLevel level, const std::string& message, LogFields fields = {});

}  // namespace hawthorn::logging

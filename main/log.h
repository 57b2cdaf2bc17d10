#pragma once

#include <initializer_list>
#include <string>
#include <utility>

#include "settings.pb.h"

// Log records in JSON, written by a thread of their own.
namespace hawthorn::main {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Fields of a record beside its message.
using LogFields = std::initializer_list<std::pair<const char*, std::string>>;

/// Sets level and destination up; called once per process.
void StartLog(const schema::Settings& settings);

/// Writes one record. Thread-safe.
void Log(LogLevel level, const std::string& message, LogFields fields = {});

}  // namespace hawthorn::main

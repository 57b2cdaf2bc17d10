#pragma once

#include <functional>
#include <string>

namespace hawthorn::main {

/// Start options of a process on the users' platform.
struct PlatformOptions {
  /// Path of the settings file of this process.
  std::string settings_path;
  /// Port that serves the metrics; 0 disables it.
  uint16_t metrics_port = 0;
  std::string log_level = "info";
};

/// Runs one process on the users' platform until SIGTERM. Returns the exit
/// code: 0 drained, 2 faulty settings, 3 could not start.
int RunPlatformProcess(int argc, char** argv, const PlatformOptions& options);

}  // namespace hawthorn::main

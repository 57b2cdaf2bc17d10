#pragma once

#include <string>
#include <vector>

// The commands of hawthornctl.
namespace hawthorn::ctl {

/// Exit codes, part of the public interface.
enum ExitCode {
  kExitOk = 0,
  kExitUsage = 1,
  kExitFindings = 2,
  kExitUnreachable = 3,
  kExitRefused = 4,
  kExitConflict = 5,
  kExitTimeout = 6,
};

/// Command-line options, shared by all commands.
struct Options {
  /// Address of an instance, "IP:port".
  std::string instance;
  std::string key;
  bool json = false;
  std::string out;
  std::string author;
  std::string operation;
  /// Revision that a change is based on; -1 for the current one.
  long long expect = -1;
  std::string zone;
  std::string organisation;
  std::string traffic;
  std::vector<std::string> policies;
  long long seed = 1;
  int timeout_s = 30;
};

/// A command: its words, argument names, help text and function.
struct Command {
  std::vector<std::string> words;
  std::string arguments;
  std::string help;
  int (*run)(const Options& options, const std::vector<std::string>& arguments);
};

/// All commands in the order of the help text.
const std::vector<Command>& Commands();

/// Help text with all commands and exit codes.
std::string Usage();

/// Runs the command that `words` start with.
int Run(const Options& options, const std::vector<std::string>& words);

}  // namespace hawthorn::ctl

#pragma once

#include <string>
#include <vector>

// The verbs of hawthornctl.
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

/// Options that all verbs share.
struct Options {
  /// Address of an instance, "IP:port".
  std::string instance;
  std::string key;
  bool json = false;
  std::string out;
  std::string author;
  std::string operation;
  /// Revision that a change expects; -1 for the one in force.
  long long expect = -1;
  std::string zone;
  std::string organisation;
  std::string traffic;
  std::vector<std::string> policies;
  long long seed = 1;
  int timeout_s = 30;
};

/// One verb: words, arguments, help and action.
struct Command {
  std::vector<std::string> words;
  std::string arguments;
  std::string help;
  int (*run)(const Options& options, const std::vector<std::string>& arguments);
};

/// All verbs in the order of the help text.
const std::vector<Command>& Commands();

/// Help text of all verbs and exit codes.
std::string Usage();

/// Finds the verb that `words` start with and runs it.
int Run(const Options& options, const std::vector<std::string>& words);

}  // namespace hawthorn::ctl

#pragma once

#include <functional>
#include <string>

#include "core/error.h"

namespace hawthorn::main {

/// Access to the replicated groups, on whichever instance their leaders run.
/// Handlers run on the decision thread, possibly before the call returns.
class GroupClient {
 public:
  using ReplyHandler = std::function<void(core::Result<std::string>)>;

  virtual ~GroupClient() = default;

  /// Commits `command` in `group` and passes the state machine's reply to
  /// `on_reply`. Errors: kNotRun if the command was certainly not appended,
  /// kUnknown if it may still be committed. Every command is idempotent, so a
  /// command with an unknown outcome may be proposed again.
  virtual void Propose(const std::string& group, std::string command,
                       ReplyHandler on_reply) = 0;

  /// Reads the state of `group` linearizably.
  virtual void Query(const std::string& group, std::string query,
                     ReplyHandler on_reply) = 0;
};

/// Name of the group that replicates the configuration.
inline constexpr char kControlGroup[] = "control";

/// Name of the ledger group of `zone`.
inline std::string LedgerGroup(const std::string& zone) {
  return "ledger/" + zone;
}

}  // namespace hawthorn::main

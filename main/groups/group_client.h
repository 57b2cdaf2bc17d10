#pragma once

#include <functional>
#include <string>

#include "core/error.h"

namespace hawthorn::main {

/// Access to the replicated groups, wherever their leaders are. Handlers run
/// in the thread of decisions, possibly before the call returns.
class GroupClient {
 public:
  using ReplyHandler = std::function<void(core::Result<std::string>)>;

  virtual ~GroupClient() = default;

  /// Commits `command` in `group` and hands over the state machine's reply.
  /// Errors: kNotRun where the command was provably not appended, kUnknown
  /// where it may still commit. Every command is idempotent, so that an
  /// unknown one may be proposed again.
  virtual void Propose(const std::string& group, std::string command,
                       ReplyHandler on_reply) = 0;

  /// Reads the state of `group` linearizably.
  virtual void Query(const std::string& group, std::string query,
                     ReplyHandler on_reply) = 0;
};

/// Name of the group of the configuration.
inline constexpr char kControlGroup[] = "control";

/// Name of the ledger group of `zone`.
inline std::string LedgerGroup(const std::string& zone) {
  return "ledger/" + zone;
}

}  // namespace hawthorn::main

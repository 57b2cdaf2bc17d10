#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.pb.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/id.h"
#include "ledger.pb.h"
#include "main/calls/call.h"

// Builds the commands and queries that the daemon sends to a ledger, and parses
// the replies.
namespace hawthorn::main {

/// Run of an instance that dispatches an attempt, and the id of the dispatch.
struct Dispatcher {
  /// This run of the instance.
  std::string owner;
  /// Id of the dispatch. A command that is proposed again after a lost reply
  /// carries the same id and gets the same reply.
  uint64_t intent = 0;

  bool operator==(const Dispatcher&) const = default;
};

/// Empty command that carries the wall time at which it is proposed.
schema::LedgerCommand CommandAt(core::WallTime now);

/// `limits` is the organisation's entry in the current configuration, or null.
schema::LedgerCommand MakeBegin(const CallSubmission& submission,
                                const schema::Organisation* limits,
                                const std::string& digest,
                                const Dispatcher& dispatcher,
                                core::WallTime now);

/// Outcome and token use of a failed attempt.
struct FailedAttempt {
  uint32_t attempt = 0;
  schema::Outcome outcome = schema::OUTCOME_UNKNOWN;
  int64_t used_tokens = 0;

  bool operator==(const FailedAttempt&) const = default;
};

schema::LedgerCommand MakeRetry(const CallSubmission& submission,
                                const FailedAttempt& failed,
                                const Dispatcher& dispatcher,
                                core::WallTime now);

/// Grants this zone its slice of an organisation's daily limits. The command is
/// idempotent within a day.
schema::LedgerCommand MakeGrant(const schema::Organisation& organisation,
                                const std::string& zone, size_t zones,
                                core::WallTime now);

schema::LedgerCommand MakeCrashReport(const CallSubmission& submission,
                                      const core::UpstreamId& upstream,
                                      uint64_t incarnation,
                                      uint32_t running_together,
                                      core::WallTime now);

/// Serialized query for the history of a program.
std::string MakeHistoryQuery(const core::OrganisationId& organisation,
                             const core::ProgramId& program);

/// JSON array of all messages in a serialized LedgerQueryReply.
std::string HistoryMessages(const std::string& reply);

/// Error that corresponds to a verdict that refuses a command.
core::Error ErrorOfVerdict(const schema::LedgerReply& reply);

/// Digest of a call's content. It distinguishes a retry of a call from a
/// different call with the same number.
std::string DigestOf(const CallSubmission& submission);

/// Id of the prompt prefix that ends with the answer of call `number`.
uint64_t PrefixHash(const core::ProgramId& program, uint32_t number);

/// Maximum number of tokens in the answer of a model call: the requested one,
/// or the default. The same number is reserved in the budget and sent to the
/// engine.
int64_t MaxTokensOf(const CallSubmission& submission);

/// Estimates the number of tokens in a JSON text.
int64_t EstimateTokens(const std::string& text);

/// Content of an assistant message; empty for other answers.
std::string ContentOf(const std::string& answer);

/// JSON object of an assistant message that consists of `tokens`.
std::string AssistantMessage(const std::vector<std::string>& tokens);

}  // namespace hawthorn::main

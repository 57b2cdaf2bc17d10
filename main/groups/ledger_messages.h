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

// Commands and queries that the daemon sends to a ledger, and how it reads
// the replies.
namespace hawthorn::main {

/// Who dispatches an attempt.
struct Dispatcher {
  /// This run of the instance.
  std::string owner;
  /// Names the dispatch, so that a command proposed again after a lost reply
  /// is answered as the first time.
  uint64_t intent = 0;

  bool operator==(const Dispatcher&) const = default;
};

/// Empty command with the time of proposing.
schema::LedgerCommand CommandAt(core::WallTime now);

/// `limits` is the organisation in force, or null.
schema::LedgerCommand MakeBegin(const CallSubmission& submission,
                                const schema::Organisation* limits,
                                const std::string& digest,
                                const Dispatcher& dispatcher,
                                core::WallTime now);

/// Use of an attempt that failed.
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

/// Grant of this zone's slice of an organisation's daily limits. Proposing it
/// again changes nothing.
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

/// Error that goes with a refusing verdict.
core::Error ErrorOfVerdict(const schema::LedgerReply& reply);

/// Digest by which a repeated call is told from a conflicting one.
std::string DigestOf(const CallSubmission& submission);

/// Names the prompt prefix that ends with the answer of call `number`.
uint64_t PrefixHash(const core::ProgramId& program, uint32_t number);

/// Tokens that the answer of a model call may have: those asked for, or the
/// default. The budget reserves as many as the engine is allowed.
int64_t MaxTokensOf(const CallSubmission& submission);

/// Estimate of the tokens in a JSON text.
int64_t EstimateTokens(const std::string& text);

/// Text of an assistant's message; empty for other answers.
std::string ContentOf(const std::string& answer);

/// JSON object of an assistant's message made of `tokens`.
std::string AssistantMessage(const std::vector<std::string>& tokens);

}  // namespace hawthorn::main

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/id.h"
#include "ledger.pb.h"
#include "main/http/event_stream_parser.h"
#include "scheduling/call.h"
#include "transport/http_server.h"

namespace hawthorn::main {

/// Response format that the caller requested.
enum class ResponseFormat { kNative, kChatCompletion };

/// An HTTP exchange that waits for the result of a call.
struct Waiter {
  transport::ExchangeId exchange = 0;
  bool stream = false;
  ResponseFormat format = ResponseFormat::kNative;

  bool operator==(const Waiter&) const = default;
};

/// A call as requested by a caller.
struct CallSubmission {
  core::OrganisationId organisation;
  /// Empty for an idempotent call outside a program.
  core::ProgramId program;
  uint32_t number = 0;
  std::string service_class;
  core::ServiceId service;
  schema::CallKind kind = schema::CALL_KIND_MODEL;
  /// Path of a plain service's operation, with the leading slash.
  std::string operation;
  /// JSON array of new messages, or the body of a plain operation.
  std::string messages;
  int64_t max_tokens = 0;
  std::chrono::milliseconds timeout{0};
  Waiter waiter;

  bool operator==(const CallSubmission&) const = default;
};

/// A call that this instance is processing.
struct OpenCall {
  enum class State {
    kBeginning,  ///< The intent is being committed.
    kJoining,    ///< Another instance is processing the call.
    kReading,    ///< The program's history is being read.
    kQueued,     ///< Waiting in the scheduler's queue.
    kRunning,    ///< An upstream is processing the attempt.
    kRetrying,   ///< Waiting for the next attempt to be recorded.
    kFinishing,  ///< The outcome is being committed.
  };

  uint64_t id = 0;
  CallSubmission submission;
  std::string digest;
  State state = State::kBeginning;
  core::TimePoint started_at;
  core::TimePoint deadline;
  std::vector<Waiter> waiters;
  /// Whether the response streams of the waiters were started.
  bool streaming = false;
  /// Attempt number in the ledger; the first is 1.
  uint32_t attempt = 0;
  /// Id of the attempt in the scheduler and the upstream client.
  uint64_t attempt_id = 0;
  /// Id of the dispatch in the ledger.
  uint64_t intent = 0;
  core::Error last_error;
  bool slice_granted = false;
  scheduling::CallRequest request;
  core::UpstreamId upstream;
  uint64_t upstream_incarnation = 0;
  std::string history;
  /// Tokens of the model's answer so far; the next attempt resumes after them.
  std::vector<std::string> tokens;
  EventStreamParser parser;
  std::string body;
  bool model_done = false;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  schema::FinishCall outcome;
  /// Error returned to the callers if this instance failed the call.
  std::optional<core::Error> failure;
};

/// Key of an open call: program and number, or the id for a call outside any
/// program.
inline std::string CallKey(const CallSubmission& submission, uint64_t id) {
  if (submission.program.empty()) {
    return "#" + std::to_string(id);
  }
  return submission.program.text() + "#" + std::to_string(submission.number);
}

}  // namespace hawthorn::main

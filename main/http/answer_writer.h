#pragma once

#include <string>

#include "core/error.h"
#include "main/calls/call.h"
#include "main/threads/sinks.h"

namespace hawthorn::main {

/// Writes the answers of calls in the shape that each caller asked for.
class AnswerWriter {
 public:
  explicit AnswerWriter(HttpSink& http) : http_(http) {}

  /// Starts a stream where the waiter asked for one.
  void Begin(const Waiter& waiter);
  /// One token of a streamed answer.
  void Token(const Waiter& waiter, size_t offset, const std::string& token);
  /// The committed end of a call, whatever its outcome.
  void Finish(const Waiter& waiter, const CallSubmission& call,
              const schema::FinishCall& outcome);
  /// A refusal; ends the stream if one was started.
  void Refuse(const Waiter& waiter, const core::Error& error, bool streaming);

 private:
  void FinishStream(const Waiter& waiter, const CallSubmission& call,
                    const schema::FinishCall& outcome);

  HttpSink& http_;
};

/// Error that a recorded outcome tells the caller.
core::Error ErrorOfOutcome(const schema::FinishCall& outcome);

}  // namespace hawthorn::main

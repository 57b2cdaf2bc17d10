#pragma once

#include <string>

#include "core/error.h"
#include "main/calls/call.h"
#include "main/threads/sinks.h"

namespace hawthorn::main {

/// Writes the responses of calls in the format that each caller requested.
class ResponseWriter {
 public:
  explicit ResponseWriter(HttpSink& http) : http_(http) {}

  /// Starts the response stream if the waiter requested one.
  void Begin(const Waiter& waiter);
  /// Writes one token of a streamed answer.
  void Token(const Waiter& waiter, size_t offset, const std::string& token);
  /// Writes the committed outcome of a call and ends the response.
  void Finish(const Waiter& waiter, const CallSubmission& call,
              const schema::FinishCall& outcome);
  /// Writes an error and ends the response; `streaming` tells whether a stream
  /// was started.
  void Refuse(const Waiter& waiter, const core::Error& error, bool streaming);

 private:
  void FinishStream(const Waiter& waiter, const CallSubmission& call,
                    const schema::FinishCall& outcome);

  HttpSink& http_;
};

/// Error that is returned to the caller for a recorded outcome.
core::Error ErrorOfOutcome(const schema::FinishCall& outcome);

}  // namespace hawthorn::main

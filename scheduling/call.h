#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "core/id.h"

// Types that describe a call to the scheduler: request, dispatch, refusal and
// result.
namespace hawthorn::scheduling {

/// Identifies a call within one instance; chosen by the caller, unique among
/// the calls that are queued or running.
using CallId = uint64_t;

/// Prefix of a prompt for which an engine may have the KV cache.
struct PrefixSegment {
  /// Digest of the prompt from its start to this point.
  uint64_t hash = 0;
  /// Tokens from the start of the prompt to this point.
  int64_t tokens = 0;

  auto operator<=>(const PrefixSegment&) const = default;
};

/// A call to be scheduled.
struct CallRequest {
  CallId id = 0;
  core::ProgramId program;
  core::OrganisationId organisation;
  std::string service_class;
  /// A user is waiting for the answer.
  bool interactive = false;
  /// Priority of the kind of call; 0 is the most urgent.
  uint32_t priority = 0;
  /// Weights for fair sharing; 0 counts as 1.
  uint32_t organisation_weight = 1;
  uint32_t class_weight = 1;
  core::ServiceId service;
  /// Model that the upstream must have loaded; empty for any.
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  /// Prefixes of the prompt that can be reused, the shortest first.
  std::vector<PrefixSegment> prefix;
  /// Tokens that the program and its sub-agents have been served so far.
  int64_t attained_tokens = 0;
  std::optional<core::TimePoint> deadline;
  /// When the program of the call should be finished.
  std::optional<core::TimePoint> program_deadline;
  /// Suspected of crashing upstreams: must be the only call on its upstream
  /// while it runs.
  bool isolate = false;
  /// Software version that the upstream must have; any if absent.
  std::optional<std::string> software_version;
  /// The call continues a stream, so that no other version can serve it.
  bool continues_stream = false;
  /// Upstreams that failed this call before.
  std::vector<core::UpstreamId> excluded;

  bool operator==(const CallRequest&) const = default;
};

/// Order to send a call to an upstream now.
struct Dispatch {
  CallId call = 0;
  core::UpstreamId upstream;
  /// The upstream is in another availability zone.
  bool crosses_zone = false;
  /// Prompt tokens that the upstream is expected to have cached.
  int64_t cached_tokens = 0;

  bool operator==(const Dispatch&) const = default;
};

/// A queued call that was refused; the error's execution is kNotRun.
struct Refusal {
  CallId call = 0;
  core::Error error;

  bool operator==(const Refusal&) const = default;
};

/// How an attempt at an upstream ended.
enum class CallOutcome {
  kSucceeded,
  /// The upstream answered with an error, broke the stream or timed out.
  kFailed,
  /// The connection could not be made; the call did not run.
  kUnreachable,
  /// The caller gave up; says nothing about the upstream.
  kCancelled,
};

/// End of a dispatched call.
struct CallResult {
  CallId call = 0;
  CallOutcome outcome = CallOutcome::kSucceeded;
  int64_t prompt_tokens = 0;
  /// Prompt tokens that the engine found in its cache.
  int64_t cached_tokens = 0;
  int64_t output_tokens = 0;
  /// Prefix that the engine has cached after the call: prompt and output.
  std::optional<PrefixSegment> produced;

  bool operator==(const CallResult&) const = default;
};

/// Asks whether a failed call may be retried.
struct RetryRequest {
  core::OrganisationId organisation;
  core::ServiceId service;
  /// Attempts made so far; at least 1.
  uint32_t attempts = 1;

  bool operator==(const RetryRequest&) const = default;
};

}  // namespace hawthorn::scheduling

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "transport/http_message.h"

// Interface between the relay and the HTTP header fields of a platform.
namespace hawthorn::relay {

/// A section of a prompt that requests may have in common, with its length.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

/// Header fields of a request from a caller, decoded.
struct CallHead {
  /// Id of this attempt; each retry has a new one.
  std::string request_id;
  /// How long the caller waits for the response, if it says so.
  std::optional<std::chrono::milliseconds> caller_timeout;
  /// Program that the call belongs to; empty if it belongs to none.
  std::string program;
  /// Tokens that all turns of the program together may generate.
  std::optional<int64_t> token_budget;
  int64_t prompt_tokens = 0;
  /// Maximum number of tokens that this call may generate.
  int64_t max_output_tokens = 0;
  /// Sections of the prompt in their order.
  std::vector<PromptPart> prompt_parts;
  std::string model;
  /// Id of the last event that the caller received, if it resumes a stream.
  std::optional<uint64_t> resume_after;
  /// Id of the request that brought the first event of the stream that the
  /// caller resumes; empty if it resumes none.
  std::string resumed_request;
  /// Request id of the turn that this one continues; empty for the first turn
  /// of a chain.
  std::string previous_turn;
  /// Line of turns within the program.
  std::string session;
  /// Key of the caller's organisation; empty if there is none or it cannot be
  /// one. Dropped once the organisation is known.
  std::string api_key = {};
  /// Time until the program should be finished, if the caller says so.
  std::optional<std::chrono::milliseconds> program_time_left;
  /// Why the request is malformed; empty if it is not.
  std::string fault = {};

  bool operator==(const CallHead&) const = default;
};

/// Status and header fields of a response from an upstream, decoded.
struct ResponseInfo {
  int status = 0;
  /// The response carries the signature of an upstream. Its value is not
  /// verified.
  bool has_signature = false;
  /// The upstream states that it did not run the call.
  bool not_run = false;
  /// The address now belongs to another upstream.
  bool wrong_upstream = false;
  /// The upstream that sent the response is draining.
  bool draining = false;
  /// Requests per second that the upstream takes from all instances together,
  /// if it names a limit.
  std::optional<double> request_limit;
  /// The upstream names a limit that cannot be read.
  bool has_malformed_limit = false;
  /// The body has a content encoding, such as compression.
  bool encoded = false;
  /// Id of the request that the response belongs to; empty if it is missing.
  std::string request_id;
  /// Running and waiting requests, if the upstream reports its load.
  std::optional<uint32_t> running;
  uint32_t waiting = 0;
  /// How long work takes at the upstream now, as a multiple of the usual time,
  /// if it says so.
  std::optional<double> slowdown;
  /// Idle time after which the upstream closes the connection.
  std::optional<std::chrono::milliseconds> idle_timeout;

  bool operator==(const ResponseInfo&) const = default;

  /// The upstream certainly did not run the request that this answers.
  bool IsRefusal() const { return not_run || wrong_upstream; }
  /// Whether this may answer the request with the id `expected`. A faulty
  /// upstream may send a response once more at the place of a later one, so
  /// that one without an id belongs to the request only if `is_first` on its
  /// connection.
  bool MayAnswer(std::string_view expected, bool is_first) const {
    return request_id.empty() ? is_first : request_id == expected;
  }
};

/// Header fields that the relay sets on a forwarded request.
struct ForwardHead {
  /// Upstream that the request is meant for.
  std::string upstream;
  std::chrono::milliseconds time_left{0};
  /// Id of the event after which the upstream continues the stream.
  std::optional<uint64_t> resume_after;
  /// The deployment has organisations, so that the fields of the caller's key
  /// and organisation are not passed on.
  bool has_organisations = false;
  /// Organisation of the caller; empty if it has none.
  std::string organisation = {};
  /// Turns before this one, which precede the body of the request.
  std::string_view history = {};

  bool operator==(const ForwardHead&) const = default;
};

/// Translates between the header fields of a platform and the types above.
class CallCodec {
 public:
  virtual ~CallCodec() = default;

  virtual CallHead DecodeCall(const transport::RelayRequest& request) const = 0;
  virtual ResponseInfo DecodeResponse(
      const transport::ResponseHead& head) const = 0;
  /// Serializes the request for the upstream.
  virtual std::string EncodeForward(const transport::RelayRequest& request,
                                    const ForwardHead& forward) const = 0;
  /// Serializes a request that every upstream answers at once without running
  /// it.
  virtual std::string EncodeProbe() const = 0;
  /// Returns the header fields of a response to forward to the caller.
  virtual transport::HeaderList ReturnedFields(
      const transport::ResponseHead& head) const = 0;
};

}  // namespace hawthorn::relay

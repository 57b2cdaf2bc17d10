#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "transport/http_message.h"

// What the relay needs to know of a call, apart from how a platform spells it.
namespace hawthorn::relay {

/// A part of a prompt that requests may share.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

/// What the caller says about one attempt of a call.
struct CallHead {
  /// Names this attempt; a repeated call has another one.
  std::string request_id;
  /// How long the caller waits; absent if it does not say.
  std::optional<std::chrono::milliseconds> caller_timeout;
  /// Program that the call belongs to; empty for a plain call.
  std::string program;
  /// Tokens that all turns of the program may generate.
  std::optional<int64_t> token_budget;
  int64_t prompt_tokens = 0;
  /// Most tokens that this call may generate.
  int64_t max_output_tokens = 0;
  /// In the order of the prompt.
  std::vector<PromptPart> prompt_parts;
  std::string model;
  /// The caller resumes a stream after this event.
  std::optional<uint64_t> resume_after;

  bool operator==(const CallHead&) const = default;
};

/// What an upstream says about its answer.
struct ResponseInfo {
  /// The upstream vouches for the answer.
  bool has_signature = false;
  /// The call provably did not run.
  bool not_run = false;
  /// Another upstream answers at this address.
  bool wrong_upstream = false;
  /// The body is not the upstream's own bytes.
  bool encoded = false;
  /// Request that the answer belongs to; empty if it does not say.
  std::string request_id;
  /// Running and waiting requests, if the upstream tells.
  std::optional<uint32_t> running;
  uint32_t waiting = 0;
  /// Idle time after which the upstream closes the connection.
  std::optional<std::chrono::milliseconds> idle_timeout;

  bool operator==(const ResponseInfo&) const = default;
};

/// How a call is handed to an upstream.
struct ForwardHead {
  std::string upstream;
  std::chrono::milliseconds time_left{0};
  /// The upstream goes on after this event.
  std::optional<uint64_t> resume_after;

  bool operator==(const ForwardHead&) const = default;
};

/// Translates between messages of a platform and the types above.
class CallCodec {
 public:
  virtual ~CallCodec() = default;

  virtual CallHead DecodeCall(const transport::RelayRequest& request) const = 0;
  virtual ResponseInfo DecodeResponse(
      const transport::ResponseHead& head) const = 0;
  /// The request as the upstream gets it, serialized.
  virtual std::string EncodeForward(const transport::RelayRequest& request,
                                    const ForwardHead& forward) const = 0;
  /// Fields of an answer to hand to the caller.
  virtual transport::HeaderList ReturnedFields(
      const transport::ResponseHead& head) const = 0;
};

}  // namespace hawthorn::relay

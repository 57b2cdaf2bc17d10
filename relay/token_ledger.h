#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "schema/generated/deployment.pb.h"

namespace hawthorn::relay {

/// Software version of the upstreams that may serve a stream.
struct StreamBinding {
  std::string version;
  /// Counts the choices of a version for one request.
  uint32_t round = 0;

  bool operator==(const StreamBinding&) const = default;
};

/// Claim of a turn on the token budget of its program.
struct TokenClaim {
  std::string program;
  std::string request_id;
  int64_t budget = 0;
  /// Maximum number of tokens that the turn may generate.
  int64_t tokens = 0;
  /// Version that the stream of the turn is to be bound to, if it may go on at
  /// another upstream.
  std::optional<StreamBinding> stream = {};
  /// The caller takes a stream up that an earlier request began.
  bool resumes = false;
  /// Request that began the stream, or one that took it up before, if the
  /// caller names it; the binding of that one holds. Empty otherwise.
  std::string resumed_request = {};
  /// Entry of the ledger that keeps the binding of this request's stream, and
  /// another one that may keep that of the resumed request.
  std::string stream_owner = {};
  std::string resumed_owner = {};
  /// Digest of what upstreams receive of the request.
  uint64_t content = 0;
  /// Services whose upstreams may have begun the stream.
  std::vector<std::string> services = {};
  /// How long the program may pause between two turns; the ledger keeps it for
  /// at least as long.
  std::chrono::milliseconds retention{0};

  bool operator==(const TokenClaim&) const = default;
};

/// Returns the claim as a command of the group, without settlements.
schema::TokenReservation ReservationOf(const TokenClaim& claim);

/// Result of a claim.
struct ClaimReply {
  /// False means that the budget is spent.
  bool granted = false;
  /// Tokens of the budget that are neither spent nor claimed.
  int64_t remaining = 0;
  /// Version that the stream is bound to; nullopt if it is not bound, or if it
  /// is uncertain which version began it.
  std::optional<StreamBinding> stream = {};

  bool operator==(const ClaimReply&) const = default;
};

/// Durable record of the tokens that programs have spent, and of the software
/// versions that their streams are bound to.
class TokenLedger {
 public:
  /// Receives the reply or an error.
  using ClaimCallback = std::function<void(const core::Result<ClaimReply>&)>;

  virtual ~TokenLedger() = default;

  /// Reserves the claimed tokens. `callback` is called exactly once, never from
  /// within this call and no later than after `timeout`. With an error of
  /// Execution::kNotRun nothing is reserved and nothing is to be settled.
  virtual void Claim(const TokenClaim& claim, std::chrono::milliseconds timeout,
                     ClaimCallback callback) = 0;
  /// Replaces a claim by the tokens that were sent to the caller. Retried until
  /// it is durable.
  virtual void Settle(const TokenClaim& claim, int64_t used) = 0;
};

}  // namespace hawthorn::relay

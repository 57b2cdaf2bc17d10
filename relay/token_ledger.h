#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "core/error.h"

namespace hawthorn::relay {

/// A turn's claim on its program's budget.
struct TokenClaim {
  std::string program;
  std::string request_id;
  int64_t budget = 0;
  /// Most tokens that the turn may generate.
  int64_t tokens = 0;

  bool operator==(const TokenClaim&) const = default;
};

/// What became of a claim.
struct ClaimAnswer {
  /// False means that the budget is spent.
  bool granted = false;
  /// Tokens of the budget that are neither spent nor claimed.
  int64_t remaining = 0;

  bool operator==(const ClaimAnswer&) const = default;
};

/// Where the spending of programs is kept durably.
class TokenLedger {
 public:
  /// The answer, or why there is none.
  using ClaimCallback = std::function<void(const core::Result<ClaimAnswer>&)>;

  virtual ~TokenLedger() = default;

  /// Reserves the claim. `callback` is called once, never inside this call,
  /// at the latest after `timeout`.
  virtual void Claim(const TokenClaim& claim, std::chrono::milliseconds timeout,
                     ClaimCallback callback) = 0;
  /// Replaces a claim by the tokens that the caller was handed. Repeated until
  /// it is durable.
  virtual void Settle(const TokenClaim& claim, int64_t used) = 0;
};

}  // namespace hawthorn::relay

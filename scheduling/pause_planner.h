#pragma once

#include <chrono>
#include <cstdint>

#include "scheduling/upstream.h"

namespace hawthorn::scheduling {

/// Inputs of a pause decision.
struct PauseInput {
  /// Length of the program's prefix in tokens.
  int64_t tokens = 0;
  std::chrono::milliseconds expected{0};
  /// Size of the engine's cache in tokens.
  int64_t cache_tokens = 0;
  /// Tokens written to that cache per second.
  double churn_tokens_per_second = 0;
  /// Tokens that holds already pin there.
  int64_t held_tokens = 0;
  /// Weight of program latency against wasted cache, 0 to 1.
  double latency_weight = 0.5;

  bool operator==(const PauseInput&) const = default;
};

/// Decides what to do with a program's cached prefix during a tool pause.
class PausePlanner {
 public:
  /// Fraction of an engine's cache that holds may pin.
  static constexpr double kMaxHeldShare = 0.4;
  /// Prefixes below this length are cheaper to prefill than to manage.
  static constexpr int64_t kMinTokens = 256;
  /// Longest hold.
  static constexpr std::chrono::minutes kMaxHold{10};

  /// Holds the prefix if the cache that the hold takes from other programs
  /// costs less than prefilling the prefix again. Otherwise exports it if that
  /// is cheaper, else drops it.
  static PauseAction Decide(const PauseInput& input);
  /// Lease of a hold for a pause that is expected to last `expected`.
  static std::chrono::milliseconds Lease(std::chrono::milliseconds expected);
};

}  // namespace hawthorn::scheduling

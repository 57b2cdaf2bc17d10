#pragma once

#include <chrono>
#include <cstdint>

#include "scheduling/upstream.h"

namespace hawthorn::scheduling {

/// What a pause decision weighs.
struct PauseInput {
  /// Length of the program's prefix.
  int64_t tokens = 0;
  std::chrono::milliseconds expected{0};
  /// Size of the engine's cache.
  int64_t cache_tokens = 0;
  /// Tokens that are written into that cache in a second.
  double churn_tokens_per_second = 0;
  /// Tokens that are pinned there already.
  int64_t held_tokens = 0;
  /// Weight of program latency against wasted cache, 0 to 1.
  double latency_weight = 0.5;

  bool operator==(const PauseInput&) const = default;
};

/// Chooses what happens to a prefix through a tool pause.
class PausePlanner {
 public:
  /// Part of an engine's cache that holds may pin.
  static constexpr double kMaxHeldShare = 0.4;
  /// Prefixes below this length are cheaper to prefill than to manage.
  static constexpr int64_t kMinTokens = 256;
  /// Longest hold.
  static constexpr std::chrono::minutes kMaxHold{10};

  /// Holds while the memory that the hold takes from others costs less than
  /// prefilling again; exports long pauses; drops the rest.
  static PauseAction Decide(const PauseInput& input);
  /// Lease of a hold for a pause of the expected length.
  static std::chrono::milliseconds Lease(std::chrono::milliseconds expected);
};

}  // namespace hawthorn::scheduling

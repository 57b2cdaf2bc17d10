#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "turns/turn_client.h"

namespace hawthorn::turns {

/// Enough chains for some to begin in each zone and be placed on any three
/// keepers.
inline constexpr size_t kChains = 60;
/// Longer than a test.
inline constexpr std::chrono::minutes kChainRetention{10};

/// Numbers of answers to reads.
struct Reads {
  size_t found = 0;
  size_t denied = 0;
  size_t uncertain = 0;

  bool operator==(const Reads&) const = default;
};

/// Requests of chains of turns through a client, all at once.
class ChainRequests {
 public:
  /// Runs events until `done` returns true, or for long enough.
  using Wait = std::function<void(const std::function<bool()>& done)>;

  ChainRequests(TurnClient& client, std::chrono::milliseconds timeout,
                Wait wait)
      : client_(client), timeout_(timeout), wait_(std::move(wait)) {}

  /// Writes the first turn of each chain; their ids begin with `prefix`.
  /// Returns the turns that were kept.
  std::vector<std::string> Write(const std::string& prefix = "t");
  Reads Read(const std::vector<std::string>& turns);

 private:
  TurnClient& client_;
  std::chrono::milliseconds timeout_;
  Wait wait_;
};

}  // namespace hawthorn::turns

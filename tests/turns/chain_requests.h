#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "tests/turns/turn_world.h"

namespace hawthorn::turns {

/// Time that a read or a write may take.
inline constexpr std::chrono::milliseconds kTimeout{1500};
inline constexpr std::chrono::milliseconds kRetention{60000};
/// Enough chains for some to begin in each zone and be placed on any three
/// keepers.
inline constexpr int kChains = 60;

/// Writes the first turn of each chain through a client; their ids begin with
/// `prefix`. Returns the turns that were kept.
std::vector<std::string> WriteChains(TurnWorld& world, size_t client,
                                     const std::string& prefix = "t");

/// Numbers of answers.
struct Reads {
  int found = 0;
  int denied = 0;
  int uncertain = 0;

  bool operator==(const Reads&) const = default;
};

/// Reads turns through a client, all at once.
Reads ReadAll(TurnWorld& world, size_t client,
              const std::vector<std::string>& turns);

}  // namespace hawthorn::turns

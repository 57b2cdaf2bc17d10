#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/compare/fake_engine.h"
#include "scheduling/compare/traffic.h"

namespace hawthorn::scheduling::compare {

/// Service of a profile and its upstreams.
struct ProfileService {
  std::string id;
  size_t upstreams = 0;
  EngineSettings engine;

  bool operator==(const ProfileService&) const = default;
};

/// A team's services and its mix of programs.
struct Profile {
  std::string name;
  /// Model service first.
  std::vector<ProfileService> services;
  /// Weight of program latency that suits the team.
  double latency_weight = 0.5;

  bool operator==(const Profile&) const = default;
};

/// Profiles that exist: "quetzal" and "peachtree".
std::vector<Profile> Profiles();

/// Programs of a profile that arrive at `programs_per_second` for `duration`
/// as a Poisson process; the same seed gives the same traffic.
Traffic GenerateTraffic(const Profile& profile, double programs_per_second,
                        std::chrono::milliseconds duration, uint64_t seed);

/// Adds brief drafting of one organisation at `programs_per_second` between
/// `begin` and `end`.
void AddDraftingFlood(Traffic& traffic, double programs_per_second,
                      std::chrono::milliseconds begin,
                      std::chrono::milliseconds end, uint64_t seed);

}  // namespace hawthorn::scheduling::compare

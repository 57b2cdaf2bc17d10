#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/compare/fake_engine.h"
#include "scheduling/compare/traffic.h"

namespace hawthorn::scheduling::compare {

/// A service of a profile, and the number and speed of its upstreams.
struct ProfileService {
  std::string id;
  size_t upstreams = 0;
  EngineSettings engine;

  bool operator==(const ProfileService&) const = default;
};

/// The services of a team. The name of the profile selects the mix of programs.
struct Profile {
  std::string name;
  /// The model service is the first.
  std::vector<ProfileService> services;
  /// Weight of program latency against wasted cache that the team chose.
  double latency_weight = 0.5;

  bool operator==(const Profile&) const = default;
};

/// All profiles: "quetzal" and "peachtree".
std::vector<Profile> Profiles();

/// Generates programs of a profile that arrive for `duration` as a Poisson
/// process with the rate `programs_per_second`. The same seed gives the same
/// traffic.
Traffic GenerateTraffic(const Profile& profile, double programs_per_second,
                        std::chrono::milliseconds duration, uint64_t seed);

/// Adds programs of one organisation that draft briefs, at the rate
/// `programs_per_second` between `begin` and `end`.
void AddDraftingFlood(Traffic& traffic, double programs_per_second,
                      std::chrono::milliseconds begin,
                      std::chrono::milliseconds end, uint64_t seed);

}  // namespace hawthorn::scheduling::compare

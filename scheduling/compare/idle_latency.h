#pragma once

#include <chrono>

#include "scheduling/compare/traffic_profile.h"

namespace hawthorn::scheduling::compare {

/// Latency of a program on an idle system: its pauses, and each call alone on
/// an engine that has cached its whole reusable prefix. This is a lower bound
/// for every policy.
std::chrono::duration<double> IdleLatency(const Traffic& traffic,
                                          const Profile& profile,
                                          size_t program);

}  // namespace hawthorn::scheduling::compare

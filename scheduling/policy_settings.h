#pragma once

#include <string>
#include <vector>

#include "core/error.h"

// Names and weights of the scheduling policies.
namespace hawthorn::scheduling {

/// Policies that a configuration can name.
enum class PolicyKind {
  kFcfs,      ///< "fcfs": order of arrival, least loaded upstream.
  kLas,       ///< "las": least attained service of the whole program.
  kFair,      ///< "fair": weighted shares of organisations and classes.
  kPrefix,    ///< "prefix": order of arrival, affinity to the cached prefix.
  kCombined,  ///< "combined": weighted combination of the others.
};

/// How the pool handles failing upstreams.
enum class HealthControl {
  kOutlierDetection,
  /// Feedback control of each upstream's share by its measured reliability.
  kFeedback,
};

/// Policy of one service.
struct PolicySettings {
  PolicyKind kind = PolicyKind::kFcfs;
  /// Weight of program latency against wasted cache, 0 to 1. Only kCombined
  /// uses it.
  double latency_weight = 0.5;
  HealthControl health = HealthControl::kOutlierDetection;

  bool operator==(const PolicySettings&) const = default;
};

/// Names of all policies.
std::vector<std::string> PolicyNames();

/// Text form of `kind`, for example "las".
std::string ToString(PolicyKind kind);

/// Parses a policy name, optionally followed by ":" and the latency weight
/// ("combined:0.8"). The message of kInvalidArgument lists what is allowed.
core::Result<PolicySettings> ParsePolicy(const std::string& text);

}  // namespace hawthorn::scheduling

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/compare/comparison_run.h"

namespace hawthorn::scheduling::compare {

/// What a comparison covers.
struct CompareOptions {
  /// Name of a profile, or empty when `traffic` holds a recording.
  std::string profile;
  /// Text of a traffic file; replayed as recorded, on the profile's engines
  /// if one is named, else on those of the profile that has its services.
  std::string traffic;
  /// Policies as ParsePolicy reads them; the first is the one that ratios
  /// refer to. A policy without a weight takes that of the profile.
  std::vector<std::string> policies = {"fcfs", "combined"};
  /// Use feedback control of reliability in place of outlier detection for
  /// the policies at these indexes.
  std::vector<size_t> feedback;
  /// Load as a part of the rate that `capacity_policy` sustains.
  std::vector<double> loads = {0.85};
  std::string capacity_policy = "fcfs";
  /// Programs a second at load 1; 0 to measure it.
  double capacity = 0;
  std::vector<uint64_t> seeds = {1};
  std::string fault = "none";
  std::chrono::milliseconds duration{900000};
  std::chrono::milliseconds warm_up{300000};
  /// Runs made at the same time.
  size_t threads = 1;
};

/// Mean and spread over the seeds.
struct Spread {
  double mean = 0;
  double min = 0;
  double max = 0;

  bool operator==(const Spread&) const = default;
};

/// Figures of one policy at one load, over all seeds.
struct CompareRow {
  double load = 0;
  std::string policy;
  Spread mean_seconds;
  Spread p95_seconds;
  /// Latency divided by that on an idle system: mean and p95.
  Spread mean_stretch;
  Spread p95_stretch;
  Spread goodput;
  Spread wasted_engine_seconds;
  Spread idle_token_seconds;
  Spread prefilled_again;
  Spread hit_rate;
  Spread failed_share;
  /// p95 of the classes that a person waits for on the line.
  Spread quote_p95_seconds;
  /// Ratios to the first policy, each within one seed.
  Spread mean_ratio;
  Spread p95_ratio;
  Spread waste_ratio;
  uint64_t programs = 0;
  uint64_t failed_attempts = 0;
  uint64_t fault_events = 0;
  uint64_t refused = 0;
  /// Latencies of all seeds in seconds, sorted.
  std::vector<double> latencies;
};

/// Result of a comparison.
struct CompareReport {
  std::string profile;
  std::string fault;
  double capacity = 0;
  std::vector<CompareRow> rows;
};

/// Runs every policy on the same traffic for each load and seed. Errors:
/// kInvalidArgument names the option that is wrong.
core::Result<CompareReport> RunComparison(const CompareOptions& options);

/// Highest rate of programs a second that the policy sustains: at least
/// nineteen in twenty of the arrivals end within the counted time.
double MeasureCapacity(const Profile& profile, const PolicySettings& policy);

}  // namespace hawthorn::scheduling::compare

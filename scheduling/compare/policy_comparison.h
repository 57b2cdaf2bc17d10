#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/compare/comparison_run.h"

namespace hawthorn::scheduling::compare {

/// Options of a comparison.
struct CompareOptions {
  /// Name of a profile, or empty when `traffic` holds a recording.
  std::string profile;
  /// Content of a traffic file, which is replayed as recorded. It runs on the
  /// engines of `profile`, or if that is empty, of the first profile that has
  /// all services of the recording.
  std::string traffic;
  /// Policies in the syntax of ParsePolicy. Ratios are relative to the first. A
  /// policy without a latency weight gets the weight of the profile.
  std::vector<std::string> policies = {"fcfs", "combined"};
  /// Indexes of the policies that use HealthControl::kFeedback in place of
  /// outlier detection.
  std::vector<size_t> feedback;
  /// Loads, as fractions of the rate that `capacity_policy` sustains.
  std::vector<double> loads = {0.85};
  std::string capacity_policy = "fcfs";
  /// Programs per second at load 1; 0 to measure it.
  double capacity = 0;
  std::vector<uint64_t> seeds = {1};
  std::string fault = "none";
  std::chrono::milliseconds duration{900000};
  std::chrono::milliseconds warm_up{300000};
  /// Number of runs executed in parallel.
  size_t threads = 1;
};

/// Mean, minimum and maximum over the seeds.
struct Spread {
  double mean = 0;
  double min = 0;
  double max = 0;

  bool operator==(const Spread&) const = default;
};

/// Results of one policy at one load, over all seeds.
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
  /// 95th percentile of the latencies of the class "quote".
  Spread quote_p95_seconds;
  /// Ratios to the first policy, computed for each seed.
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

/// Runs every policy on the same traffic for each load and seed. The message of
/// kInvalidArgument names the invalid option.
core::Result<CompareReport> RunComparison(const CompareOptions& options);

/// Highest rate in programs per second that the policy sustains, that is, at
/// which at least 95 % of the arriving programs end within the counted time.
double MeasureCapacity(const Profile& profile, const PolicySettings& policy);

}  // namespace hawthorn::scheduling::compare

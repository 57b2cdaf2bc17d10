#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "scheduling/compare/traffic_profile.h"
#include "scheduling/scheduler.h"

namespace hawthorn::scheduling::compare {

/// Fault injected during the middle third of a run.
enum class Fault {
  kNone,
  kUpstreamDies,   ///< "dies": the first model upstream fails every call.
  kSlowFailure,    ///< "slow-failure": its failure rate rises step by step.
  kSlowsDown,      ///< "slows-down": its steps take four times as long.
  kReportsStop,    ///< "reports-stop": no load report arrives.
  kCacheGap,       ///< "cache-gap": one cache event in ten is lost.
  kDraftingFlood,  ///< "flood": an additional shop drafts many briefs.
};

/// Names of all faults, in the order of the enumeration.
std::vector<std::string> FaultNames();
/// Parses the name of a fault.
core::Result<Fault> ParseFault(const std::string& text);

/// Options of one run.
struct RunOptions {
  Profile profile;
  PolicySettings policy;
  Fault fault = Fault::kNone;
  std::chrono::milliseconds duration{900000};
  /// Programs that start before this time are run but not counted.
  std::chrono::milliseconds warm_up{300000};
  /// Number of programs kept running at all times, regardless of their start
  /// times; 0 to start programs at their start times.
  size_t closed_loop = 0;
  uint64_t seed = 1;
};

/// Results of one run.
struct RunResult {
  /// Program latencies in seconds, sorted.
  std::vector<double> latencies;
  /// Latencies divided by the program's latency on an idle system, sorted.
  std::vector<double> stretches;
  /// Latencies by class, sorted.
  std::map<std::string, std::vector<double>> by_class;
  /// Programs per second that ended successfully within the counted time.
  double goodput = 0;
  uint64_t programs = 0;
  uint64_t failed_programs = 0;
  uint64_t failed_attempts = 0;
  /// Failed attempts, lost reports, lost cache events and slowdowns that the
  /// injected fault caused.
  uint64_t fault_events = 0;
  CacheWaste waste;
  /// Waste in engine seconds: time for which a whole cache was idle, plus time
  /// spent on prefilling again.
  double wasted_engine_seconds = 0;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  SchedulerCounters counters;
};

/// Replays traffic through a Scheduler in front of fake engines.
RunResult RunTraffic(const Traffic& traffic, const RunOptions& options);

/// Mean of sorted or unsorted samples; 0 without samples.
double Mean(const std::vector<double>& samples);
/// Quantile `q` of sorted samples; 0 without samples.
double Quantile(const std::vector<double>& sorted, double q);

}  // namespace hawthorn::scheduling::compare

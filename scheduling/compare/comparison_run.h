#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "scheduling/compare/traffic_profile.h"
#include "scheduling/scheduler.h"

namespace hawthorn::scheduling::compare {

/// Fault of a run. Each is in force during the middle third of the run.
enum class Fault {
  kNone,
  kUpstreamDies,   ///< "dies": the first model upstream fails every call.
  kSlowFailure,    ///< "slow-failure": its failures rise step by step.
  kSlowsDown,      ///< "slows-down": its steps take four times as long.
  kReportsStop,    ///< "reports-stop": no load report arrives.
  kCacheGap,       ///< "cache-gap": one cache event in ten is lost.
  kDraftingFlood,  ///< "flood": one more shop drafts many briefs.
};

/// Names of all faults, in the order of the enumeration.
std::vector<std::string> FaultNames();
/// Parses the name of a fault.
core::Result<Fault> ParseFault(const std::string& text);

/// What one run replays.
struct RunOptions {
  Profile profile;
  PolicySettings policy;
  Fault fault = Fault::kNone;
  std::chrono::milliseconds duration{900000};
  /// Programs that start before this are served but not counted.
  std::chrono::milliseconds warm_up{300000};
  /// Programs kept running at all times instead of their start times; 0 for
  /// the start times.
  size_t closed_loop = 0;
  uint64_t seed = 1;
};

/// Figures of one run.
struct RunResult {
  /// Program latencies in seconds, sorted.
  std::vector<double> latencies;
  /// The same divided by the program's latency on an idle system, sorted.
  std::vector<double> stretches;
  /// Sorted latencies by class.
  std::map<std::string, std::vector<double>> by_class;
  /// Programs that ended within the counted time, a second.
  double goodput = 0;
  uint64_t programs = 0;
  uint64_t failed_programs = 0;
  uint64_t failed_attempts = 0;
  /// Attempts that met the injected fault.
  uint64_t fault_events = 0;
  CacheWaste waste;
  /// Waste in engine seconds: memory seconds of a whole cache and compute
  /// seconds of prefilling.
  double wasted_engine_seconds = 0;
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  SchedulerCounters counters;
};

/// Replays traffic through a Scheduler before fake engines.
RunResult RunTraffic(const Traffic& traffic, const RunOptions& options);

/// Mean of sorted or unsorted samples; 0 without samples.
double Mean(const std::vector<double>& samples);
/// Quantile `q` of sorted samples; 0 without samples.
double Quantile(const std::vector<double>& sorted, double q);

}  // namespace hawthorn::scheduling::compare

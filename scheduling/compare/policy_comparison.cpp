#include "scheduling/compare/policy_comparison.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <optional>
#include <thread>
#include <utility>

namespace hawthorn::scheduling::compare {
namespace {

/// Seed of the traffic with which the capacity is measured.
constexpr uint64_t kCapacitySeed = 7;
constexpr double kFirstRate = 0.5;
constexpr double kRateStep = 1.05;
constexpr std::chrono::seconds kCapacityDuration{3600};
constexpr std::chrono::seconds kCapacityWarmUp{900};
constexpr double kMaxRate = 20;
constexpr double kSustainedShare = 0.95;
/// Rate of a drafting flood, as a fraction of the capacity.
constexpr double kFloodShare = 0.5;

core::Error InvalidOption(std::string message) {
  core::Error error;
  error.code = core::ErrorCode::kInvalidArgument;
  error.message = std::move(message);
  return error;
}

struct Plan {
  CompareOptions options;
  Profile profile;
  std::vector<PolicySettings> policies;
  Fault fault = Fault::kNone;
  double capacity = 0;
  std::optional<Traffic> recording;
};

std::optional<Profile> FindProfile(const std::string& name) {
  for (const Profile& profile : Profiles()) {
    if (profile.name == name) {
      return profile;
    }
  }
  return std::nullopt;
}

/// First profile that has all services of a recording.
std::optional<Profile> ProfileOf(const Traffic& traffic) {
  for (const Profile& profile : Profiles()) {
    const auto has_service = [&profile](const TrafficStep& step) {
      return std::any_of(
          profile.services.begin(), profile.services.end(),
          [&step](const auto& service) { return service.id == step.service; });
    };
    const bool fits =
        std::all_of(traffic.programs.begin(), traffic.programs.end(),
                    [&has_service](const TrafficProgram& program) {
                      return std::all_of(program.steps.begin(),
                                         program.steps.end(), has_service);
                    });
    if (fits) {
      return profile;
    }
  }
  return std::nullopt;
}

core::Result<PolicySettings> PolicyOf(const std::string& text,
                                      const Profile& profile) {
  auto parsed = ParsePolicy(text);
  if (!core::IsOk(parsed)) {
    return parsed;
  }
  PolicySettings settings = core::Value(parsed);
  if (text.find(':') == std::string::npos) {
    settings.latency_weight = profile.latency_weight;
  }
  return settings;
}

core::Status ResolveTraffic(Plan& plan) {
  if (!plan.options.traffic.empty()) {
    auto traffic = ParseTraffic(plan.options.traffic);
    if (!core::IsOk(traffic)) {
      return core::ErrorOf(traffic);
    }
    plan.recording = core::TakeValue(std::move(traffic));
    if (plan.recording->programs.empty()) {
      return InvalidOption("the traffic file contains no calls");
    }
  }
  const auto profile = plan.options.profile.empty() && plan.recording
                           ? ProfileOf(*plan.recording)
                           : FindProfile(plan.options.profile);
  if (!profile) {
    return InvalidOption(
        absl::StrCat("profile \"", plan.options.profile,
                     "\" is unknown, or none has all services of "
                     "the traffic; allowed: quetzal, peachtree"));
  }
  plan.profile = *profile;
  return std::monostate{};
}

core::Result<Plan> MakePlan(const CompareOptions& options) {
  Plan plan;
  plan.options = options;
  const core::Status status = ResolveTraffic(plan);
  if (!core::IsOk(status)) {
    return core::ErrorOf(status);
  }
  const auto fault = ParseFault(options.fault);
  if (!core::IsOk(fault)) {
    return core::ErrorOf(fault);
  }
  plan.fault = core::Value(fault);
  if (options.policies.empty() || options.seeds.empty() ||
      options.loads.empty() || options.warm_up >= options.duration) {
    return InvalidOption(
        "policies, seeds and loads must not be empty and the warm-up must be "
        "shorter than the duration");
  }
  for (size_t n = 0; n < options.policies.size(); ++n) {
    auto policy = PolicyOf(options.policies[n], plan.profile);
    if (!core::IsOk(policy)) {
      return core::ErrorOf(policy);
    }
    PolicySettings settings = core::Value(policy);
    if (std::count(options.feedback.begin(), options.feedback.end(), n) > 0) {
      settings.health = HealthControl::kFeedback;
    }
    plan.policies.push_back(settings);
  }
  const auto reference = PolicyOf(options.capacity_policy, plan.profile);
  if (!core::IsOk(reference)) {
    return core::ErrorOf(reference);
  }
  plan.capacity = options.capacity;
  if (plan.capacity <= 0 && !plan.recording) {
    plan.capacity = MeasureCapacity(plan.profile, core::Value(reference));
  }
  return plan;
}

RunResult RunOne(const Plan& plan, double load, size_t policy, uint64_t seed) {
  RunOptions run;
  run.profile = plan.profile;
  run.policy = plan.policies[policy];
  run.fault = plan.fault;
  run.duration = plan.options.duration;
  run.warm_up = plan.options.warm_up;
  run.seed = seed;
  if (plan.recording) {
    return RunTraffic(*plan.recording, run);
  }
  Traffic traffic =
      GenerateTraffic(plan.profile, plan.capacity * load, run.duration, seed);
  if (plan.fault == Fault::kDraftingFlood) {
    AddDraftingFlood(traffic, plan.capacity * kFloodShare, run.duration / 3,
                     2 * run.duration / 3, seed);
  }
  return RunTraffic(traffic, run);
}

void RunParallel(size_t threads, std::vector<std::function<void()>>& tasks) {
  std::atomic<size_t> next{0};
  const auto work = [&] {
    for (size_t n = next++; n < tasks.size(); n = next++) {
      tasks[n]();
    }
  };
  std::vector<std::thread> pool;
  for (size_t n = 1; n < threads; ++n) {
    pool.emplace_back(work);
  }
  work();
  for (std::thread& it : pool) {
    it.join();
  }
}

template <typename Figure>
Spread SpreadOf(const std::vector<RunResult>& runs, Figure figure) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (size_t n = 0; n < runs.size(); ++n) {
    values.push_back(figure(n));
  }
  const auto [low, high] = std::minmax_element(values.begin(), values.end());
  return {Mean(values), *low, *high};
}

double Ratio(double value, double base) { return base > 0 ? value / base : 0; }

double QuoteP95(const RunResult& run) {
  const auto it = run.by_class.find("quote");
  return it == run.by_class.end() ? 0 : Quantile(it->second, 0.95);
}

void AddTotals(const std::vector<RunResult>& runs, CompareRow& row) {
  for (const RunResult& run : runs) {
    row.programs += run.programs;
    row.failed_attempts += run.failed_attempts;
    row.fault_events += run.fault_events;
    row.refused += run.counters.refused_backlog + run.counters.refused_deadline;
    row.latencies.insert(row.latencies.end(), run.latencies.begin(),
                         run.latencies.end());
  }
  std::sort(row.latencies.begin(), row.latencies.end());
}

CompareRow MakeRow(const std::vector<RunResult>& runs,
                   const std::vector<RunResult>& base) {
  CompareRow row;
  const auto mean = [](const RunResult& run) { return Mean(run.latencies); };
  const auto p95 = [](const RunResult& run) {
    return Quantile(run.latencies, 0.95);
  };
  const auto spread = [&runs](auto figure) {
    return SpreadOf(runs, [&](size_t n) { return figure(runs[n]); });
  };
  const auto ratio = [&](auto figure) {
    return SpreadOf(runs, [&](size_t n) {
      return Ratio(figure(runs[n]), figure(base[n]));
    });
  };
  const auto waste = [](const RunResult& run) {
    return run.wasted_engine_seconds;
  };
  row.mean_seconds = spread(mean);
  row.p95_seconds = spread(p95);
  row.mean_stretch =
      spread([](const auto& run) { return Mean(run.stretches); });
  row.p95_stretch =
      spread([](const auto& run) { return Quantile(run.stretches, 0.95); });
  row.goodput = spread([](const auto& run) { return run.goodput; });
  row.wasted_engine_seconds = spread(waste);
  row.idle_token_seconds =
      spread([](const auto& run) { return run.waste.idle_token_seconds; });
  row.prefilled_again = spread([](const auto& run) {
    return static_cast<double>(run.waste.prefilled_again);
  });
  row.hit_rate = spread([](const auto& run) {
    return Ratio(static_cast<double>(run.cached_tokens),
                 static_cast<double>(run.prompt_tokens));
  });
  row.failed_share = spread([](const auto& run) {
    return Ratio(static_cast<double>(run.failed_programs),
                 static_cast<double>(run.programs));
  });
  row.quote_p95_seconds = spread(QuoteP95);
  row.mean_ratio = ratio(mean);
  row.p95_ratio = ratio(p95);
  row.waste_ratio = ratio(waste);
  AddTotals(runs, row);
  return row;
}

}  // namespace

double MeasureCapacity(const Profile& profile, const PolicySettings& policy) {
  double sustained = kFirstRate;
  for (double rate = kFirstRate; rate < kMaxRate; rate *= kRateStep) {
    RunOptions run;
    run.profile = profile;
    run.policy = policy;
    run.seed = kCapacitySeed;
    run.duration = kCapacityDuration;
    run.warm_up = kCapacityWarmUp;
    const Traffic traffic =
        GenerateTraffic(profile, rate, run.duration, run.seed);
    const auto arrived = std::count_if(
        traffic.programs.begin(), traffic.programs.end(),
        [&run](const TrafficProgram& program) {
          return !program.is_child && program.start >= run.warm_up;
        });
    const std::chrono::duration<double> counted = run.duration - run.warm_up;
    const double offered = static_cast<double>(arrived) / counted.count();
    const RunResult result = RunTraffic(traffic, run);
    if (result.goodput < kSustainedShare * offered) {
      break;
    }
    sustained = rate;
  }
  return sustained;
}

core::Result<CompareReport> RunComparison(const CompareOptions& options) {
  const core::Result<Plan> made = MakePlan(options);
  if (!core::IsOk(made)) {
    return core::ErrorOf(made);
  }
  const Plan& plan = core::Value(made);
  const size_t policies = plan.policies.size();
  const size_t seeds = options.seeds.size();
  const size_t loads = plan.recording ? 1 : options.loads.size();
  std::vector<std::vector<RunResult>> results(loads * policies,
                                              std::vector<RunResult>(seeds));
  std::vector<std::function<void()>> tasks;
  for (size_t n = 0; n < results.size() * seeds; ++n) {
    tasks.emplace_back([&, n] {
      const size_t cell = n / seeds;
      results[cell][n % seeds] =
          RunOne(plan, options.loads[cell / policies], cell % policies,
                 options.seeds[n % seeds]);
    });
  }
  RunParallel(options.threads, tasks);
  CompareReport report;
  report.profile = plan.profile.name;
  report.fault = options.fault;
  report.capacity = plan.capacity;
  for (size_t cell = 0; cell < results.size(); ++cell) {
    const size_t base = cell - cell % policies;
    CompareRow row = MakeRow(results[cell], results[base]);
    row.load = plan.recording ? 0 : options.loads[cell / policies];
    row.policy = options.policies[cell % policies];
    if (plan.policies[cell % policies].health == HealthControl::kFeedback) {
      row.policy += "+feedback";
    }
    report.rows.push_back(std::move(row));
  }
  return report;
}

}  // namespace hawthorn::scheduling::compare

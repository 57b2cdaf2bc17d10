#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "scheduling/scheduler.h"

// Measures the time of one decision with a full queue: a call ends, and the
// next one is chosen and dispatched. A new call keeps the queue at its size.
// Also measures the memory of a queued call.
namespace {

using hawthorn::core::TimePoint;
using hawthorn::scheduling::CallRequest;
using hawthorn::scheduling::CallResult;
using hawthorn::scheduling::PolicySettings;
using hawthorn::scheduling::Scheduler;
using hawthorn::scheduling::SchedulerSettings;
using hawthorn::scheduling::UpstreamState;
using std::chrono::microseconds;

constexpr int kDecisions = 20000;
constexpr size_t kOrganisations = 1000;
constexpr size_t kPrograms = 4000;

TimePoint Start() { return TimePoint(std::chrono::seconds(1000)); }

CallRequest MakeCall(uint64_t id, std::mt19937_64& random) {
  const uint64_t program = random() % kPrograms;
  CallRequest call;
  call.id = id;
  call.program =
      hawthorn::core::ProgramId("program-" + std::to_string(program));
  call.organisation = hawthorn::core::OrganisationId(
      "organisation-" + std::to_string(program % kOrganisations));
  call.service_class = program % 4 == 0 ? "draft" : "quote";
  call.interactive = program % 4 != 0;
  call.service = hawthorn::core::ServiceId("model-pool");
  call.prompt_tokens = 4000;
  call.max_output_tokens = 200;
  call.prefix = {{program % 30, 2000}, {100 + program, 3500}};
  call.attained_tokens = static_cast<int64_t>(random() % 50000);
  call.deadline = Start() + std::chrono::hours(1);
  return call;
}

std::unique_ptr<Scheduler> MakePool(size_t upstreams,
                                    const PolicySettings& policy) {
  SchedulerSettings settings;
  settings.zone = hawthorn::core::ZoneId("a");
  settings.max_queued_calls = 1000000;
  settings.max_queued_per_organisation = 1000000;
  settings.max_expected_wait = std::chrono::hours(1);
  auto scheduler = MakeScheduler(settings);
  scheduler->SetPolicy(hawthorn::core::ServiceId("model-pool"), policy,
                       Start());
  for (size_t n = 0; n < upstreams; ++n) {
    UpstreamState state;
    state.id = hawthorn::core::UpstreamId("upstream-" + std::to_string(n));
    state.service = hawthorn::core::ServiceId("model-pool");
    state.zone = hawthorn::core::ZoneId("a");
    state.max_running = 16;
    state.cache_tokens = 120000;
    scheduler->SetUpstream(state, Start());
  }
  return scheduler;
}

/// Resident memory of this process in bytes.
double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * 4096;
}

/// Measures the memory of a queued call. Returns the scheduler, so that the
/// next measurement cannot reuse its memory.
std::unique_ptr<Scheduler> MeasureMemory(size_t queued) {
  const auto parsed = hawthorn::scheduling::ParsePolicy("combined");
  auto scheduler = MakePool(1, hawthorn::core::Value(parsed));
  std::mt19937_64 random(1);
  const double before = ResidentBytes();
  for (uint64_t id = 1; id <= queued; ++id) {
    scheduler->Enqueue(MakeCall(id, random), Start());
  }
  const double bytes = ResidentBytes() - before;
  std::printf("memory: %zu queued, %.0f bytes a call\n", queued,
              bytes / static_cast<double>(queued));
  return scheduler;
}

void Measure(const char* name, size_t upstreams, size_t queued) {
  const auto parsed = hawthorn::scheduling::ParsePolicy(name);
  const auto scheduler = MakePool(upstreams, hawthorn::core::Value(parsed));
  std::mt19937_64 random(1);
  uint64_t next_id = 1;
  TimePoint now = Start();
  std::vector<uint64_t> running;
  std::vector<double> costs;
  const auto dispatch_all = [&] {
    for (const auto& dispatch : scheduler->Next(now)) {
      running.push_back(dispatch.call);
    }
  };
  while (scheduler->queued() < queued) {
    scheduler->Enqueue(MakeCall(next_id++, random), now);
    if (running.size() < 16 * upstreams) {
      dispatch_all();
    }
  }
  for (int n = 0; n < kDecisions; ++n) {
    now += microseconds(50);
    const size_t pick = random() % running.size();
    CallResult result;
    result.call = running[pick];
    running[pick] = running.back();
    running.pop_back();
    result.prompt_tokens = 4000;
    result.output_tokens = 100;
    result.produced = {100 + random() % kPrograms, 3500};
    scheduler->OnFinished(result, now);
    const auto begin = std::chrono::steady_clock::now();
    dispatch_all();
    const auto end = std::chrono::steady_clock::now();
    costs.push_back(
        std::chrono::duration<double, std::micro>(end - begin).count());
    scheduler->Enqueue(MakeCall(next_id++, random), now);
  }
  std::sort(costs.begin(), costs.end());
  double sum = 0;
  for (const double cost : costs) {
    sum += cost;
  }
  std::printf("%-10s %9zu %8zu %10.2f %10.2f %10.2f\n", name, upstreams, queued,
              sum / kDecisions, costs[costs.size() / 2],
              costs[costs.size() * 99 / 100]);
}

}  // namespace

int main() {
  std::vector<std::unique_ptr<Scheduler>> filled;
  for (const size_t queued : {10000, 50000, 200000}) {
    filled.push_back(MeasureMemory(queued));
  }
  filled.clear();
  std::printf("%-10s %9s %8s %10s %10s %10s\n", "policy", "upstreams", "queued",
              "mean us", "p50 us", "p99 us");
  for (const char* name : {"fcfs", "fair", "combined"}) {
    for (const size_t queued : {100, 1000, 10000, 100000}) {
      Measure(name, 390, queued);
    }
    for (const size_t upstreams : {9, 60, 390}) {
      Measure(name, upstreams, 10000);
    }
  }
  return 0;
}

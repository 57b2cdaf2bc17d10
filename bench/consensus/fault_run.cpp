// Runs random fault plans for many seeds and prints event counts.
// Usage: consensus_fault_run RUNS [FIRST_SEED [SECONDS]]
// No run is started after SECONDS of real time.
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "tests/consensus/simulation.h"

namespace {

using hawthorn::consensus::Counts;
using hawthorn::consensus::kFaultKinds;
using hawthorn::consensus::kSetups;
using hawthorn::consensus::RandomPlanOptions;
using hawthorn::consensus::Simulation;

constexpr const char* kSetupNames[kSetups] = {
    "  3 with disks", "  5 with disks", "  3 with one disk, durable copy",
    "  5 with two disks, durable copy"};

bool RunSeed(uint64_t seed, Counts* sum) {
  Simulation simulation(RandomPlanOptions(seed));
  simulation.RunRandomPlan(seed);
  const Counts& counts = simulation.counts();
  for (size_t kind = 0; kind < kFaultKinds; ++kind) {
    sum->faults[kind] += counts.faults[kind];
  }
  sum->lost += counts.lost;
  sum->duplicated += counts.duplicated;
  sum->delayed += counts.delayed;
  sum->cut += counts.cut;
  sum->failed_writes += counts.failed_writes;
  sum->unsynced_batches_lost += counts.unsynced_batches_lost;
  sum->synced_without_report += counts.synced_without_report;
  sum->snapshots_installed += counts.snapshots_installed;
  sum->acknowledged += counts.acknowledged;
  sum->reads += counts.reads;
  sum->unknown += counts.unknown;
  if (!simulation.violation().empty()) {
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
                simulation.violation().c_str());
    std::fflush(stdout);
  }
  return simulation.violation().empty();
}

void Print(const char* name, uint64_t count) {
  std::printf("%-34s %llu\n", name, static_cast<unsigned long long>(count));
}

}  // namespace

int main(int argc, char** argv) {
  const uint64_t runs = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 100;
  const uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  const std::chrono::seconds limit(argc > 3 ? std::atoi(argv[3]) : 3600);
  const auto start = std::chrono::steady_clock::now();
  Counts sum;
  uint64_t done = 0;
  uint64_t violations = 0;
  std::array<uint64_t, kSetups> by_setup{};
  while (done < runs && std::chrono::steady_clock::now() - start < limit) {
    if (!RunSeed(first + done, &sum)) {
      ++violations;
      ++by_setup[(first + done) % kSetups];
    }
    ++done;
  }
  Print("first seed", first);
  Print("runs", done);
  Print("violations", violations);
  for (size_t i = 0; i < kSetups; ++i) {
    Print(kSetupNames[i], by_setup[i]);
  }
  static constexpr const char* kNames[kFaultKinds] = {
      "crashes",    "losses of state", "outgoing cuts",       "incoming cuts",
      "isolations", "failing disks",   "leadership transfers"};
  for (size_t kind = 0; kind < kFaultKinds; ++kind) {
    Print(kNames[kind], sum.faults[kind]);
  }
  Print("messages lost", sum.lost);
  Print("messages duplicated", sum.duplicated);
  Print("messages delayed", sum.delayed);
  Print("messages cut", sum.cut);
  Print("writes failed", sum.failed_writes);
  Print("unsynced batches lost", sum.unsynced_batches_lost);
  Print("synced but not reported", sum.synced_without_report);
  Print("snapshots installed", sum.snapshots_installed);
  Print("writes acknowledged", sum.acknowledged);
  Print("reads", sum.reads);
  Print("outcomes unknown", sum.unknown);
  return violations == 0 ? 0 : 1;
}

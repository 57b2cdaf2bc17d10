// Measures commits with real syncs, log recovery, and elections.
// Usage: consensus_bench commits|recovery|elections FOLDER
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

#include "bench/consensus/local_group.h"
#include "storage/memory_log_store.h"
#include "storage/segment_store.h"

namespace {

using hawthorn::consensus::LocalGroup;
using hawthorn::core::TimePoint;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace core = hawthorn::core;
namespace storage = hawthorn::storage;

constexpr size_t kVoters = 3;
constexpr size_t kCommandBytes = 128;
constexpr auto kCommitTime = std::chrono::seconds(4);
constexpr uint64_t kElections = 1000;
constexpr size_t kFillBatch = 64;
constexpr int kRecoveries = 21;
constexpr int kMaxSteps = 60000;

double MillisecondsSince(steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(steady_clock::now() - start)
      .count();
}

void PrintSamples(const char* name, std::vector<double> samples) {
  if (samples.empty()) {
    std::printf("%s: no samples\n", name);
    return;
  }
  std::sort(samples.begin(), samples.end());
  const size_t n = samples.size();
  std::printf("%s: n %zu, min %.3f, median %.3f, p99 %.3f, max %.3f ms\n", name,
              n, samples.front(), samples[n / 2], samples[n * 99 / 100],
              samples.back());
}

LocalGroup::StoreFactory StoresIn(const std::string& folder,
                                  storage::FileSystem* files) {
  return [folder, files](size_t node) {
    return core::TakeValue(storage::SegmentStore::Open(
        {folder + "/" + std::to_string(node)}, files));
  };
}

/// Advances simulated time until a voter leads; false if none does.
bool WaitForLeader(LocalGroup* group, TimePoint* now) {
  for (int i = 0; i < kMaxSteps && !group->Leader(); ++i) {
    *now += milliseconds(1);
    group->Step(*now);
  }
  return group->Leader().has_value();
}

/// Proposes `n` commands at once and steps until all are completed. Returns the
/// number of committed commands and appends their latencies to `latencies`.
size_t CommitBatch(LocalGroup* group, size_t n, TimePoint now,
                   std::vector<double>* latencies) {
  const auto leader = group->Leader();
  if (!leader) {
    return 0;
  }
  size_t completed = 0;
  size_t committed = 0;
  for (size_t i = 0; i < n; ++i) {
    const auto start = steady_clock::now();
    group->group(*leader).Propose(
        std::string(kCommandBytes, 'x'),
        [&, start](const core::Result<std::string>& result) {
          ++completed;
          if (core::IsOk(result)) {
            ++committed;
            latencies->push_back(MillisecondsSince(start));
          }
        },
        now);
  }
  while (completed < n) {
    group->Step(now);
  }
  return committed;
}

int MeasureCommits(const std::string& folder) {
  storage::PosixFileSystem files;
  for (const size_t batch : {size_t{1}, size_t{8}, size_t{64}}) {
    const std::string path = folder + "/commits-" + std::to_string(batch);
    TimePoint now = TimePoint() + milliseconds(1000);
    LocalGroup group(kVoters, 1, StoresIn(path, &files), now);
    if (!WaitForLeader(&group, &now)) {
      return 1;
    }
    std::vector<double> latencies;
    CommitBatch(&group, batch, now, &latencies);
    latencies.clear();
    const auto start = steady_clock::now();
    size_t committed = 0;
    while (steady_clock::now() - start < kCommitTime) {
      now += milliseconds(1);
      committed += CommitBatch(&group, batch, now, &latencies);
    }
    const double seconds = MillisecondsSince(start) / 1000;
    std::printf("batch %zu: %.0f commits a second\n", batch,
                static_cast<double>(committed) / seconds);
    PrintSamples("  latency", std::move(latencies));
  }
  return 0;
}

void Fill(const std::string& path, size_t entries, storage::FileSystem* files) {
  const TimePoint now = TimePoint() + milliseconds(1000);
  LocalGroup group(1, 1, StoresIn(path, files), now);
  group.Step(now);
  std::vector<double> ignored;
  for (size_t done = 0; done < entries; done += kFillBatch) {
    CommitBatch(&group, std::min(kFillBatch, entries - done), now, &ignored);
  }
}

int MeasureRecovery(const std::string& folder) {
  storage::PosixFileSystem files;
  for (const size_t entries : {size_t{1000}, size_t{10000}, size_t{100000}}) {
    const std::string path = folder + "/recovery-" + std::to_string(entries);
    Fill(path, entries, &files);
    std::vector<double> samples;
    for (int run = 0; run < kRecoveries; ++run) {
      const TimePoint now = TimePoint() + milliseconds(1000);
      const auto start = steady_clock::now();
      LocalGroup group(1, 1, StoresIn(path, &files), now);
      while (group.machine(0).count() < entries) {
        group.Step(now);
      }
      samples.push_back(MillisecondsSince(start));
    }
    std::printf("entries %zu\n", entries);
    PrintSamples("  open, load and replay", std::move(samples));
  }
  return 0;
}

LocalGroup InMemory(uint64_t seed, TimePoint now) {
  return LocalGroup(
      kVoters, seed,
      [](size_t node) {
        return std::make_unique<storage::MemoryLogStore>(node + 1);
      },
      now);
}

/// Simulated time from the event until another voter leads, and the part of it
/// without a leader.
struct Gap {
  double total_ms = 0;
  double leaderless_ms = 0;
};

Gap MeasureGap(LocalGroup* group, size_t old_leader, TimePoint now) {
  Gap gap;
  for (int i = 0; i < kMaxSteps; ++i) {
    const auto leader = group->Leader();
    if (leader && *leader != old_leader) {
      return gap;
    }
    gap.leaderless_ms += leader ? 0 : 1;
    gap.total_ms += 1;
    now += milliseconds(1);
    group->Step(now);
  }
  return gap;
}

int MeasureElections(bool transfer) {
  std::vector<double> total;
  std::vector<double> leaderless;
  for (uint64_t seed = 1; seed <= kElections; ++seed) {
    TimePoint now = TimePoint() + milliseconds(1000);
    LocalGroup group = InMemory(seed, now);
    if (!WaitForLeader(&group, &now)) {
      return 1;
    }
    // Vary the phase of the event within the heartbeat interval.
    const int settle = 1000 + static_cast<int>(seed % 120);
    for (int i = 0; i < settle; ++i) {
      now += milliseconds(1);
      group.Step(now);
    }
    const auto leader = group.Leader();
    if (!leader) {
      return 1;
    }
    if (!transfer) {
      group.Kill(*leader);
    } else if (!core::IsOk(group.group(*leader).TransferLeadership("", now))) {
      return 1;
    }
    const Gap gap = MeasureGap(&group, *leader, now);
    total.push_back(gap.total_ms);
    leaderless.push_back(gap.leaderless_ms);
  }
  PrintSamples(transfer ? "transfer, until the next leader"
                        : "kill, until the next leader",
               std::move(total));
  PrintSamples("  without a leader", std::move(leaderless));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr,
                 "usage: consensus_bench commits|recovery|elections FOLDER\n");
    return 2;
  }
  const std::string what = argv[1];
  const std::string folder = argv[2];
  if (std::filesystem::exists(folder)) {
    std::fprintf(stderr, "%s exists; name a new folder\n", folder.c_str());
    return 2;
  }
  if (what == "elections") {
    return MeasureElections(false) + MeasureElections(true);
  }
  std::filesystem::create_directories(folder);
  const int result =
      what == "commits" ? MeasureCommits(folder) : MeasureRecovery(folder);
  std::filesystem::remove_all(folder);
  return result;
}

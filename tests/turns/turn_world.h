#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "tests/turns/memory_files.h"
#include "turns/turn_client.h"
#include "turns/turn_store.h"

namespace hawthorn::turns {

/// Deployment in simulated time: stores with disks in memory, clients, and a
/// network that delays, duplicates, reorders and loses messages.
class TurnWorld {
 public:
  TurnWorld(uint64_t seed, size_t stores, size_t zones);
  ~TurnWorld();

  void Run(std::chrono::milliseconds time);
  void StartStore(size_t number, bool first_start);
  /// Ends a store; its disk loses what was not synced.
  void Crash(size_t number);
  void EraseDisk(size_t number);
  /// Whether every store runs, is complete and has all copies placed.
  bool IsHealthy() const;
  /// Adds a store with an empty disk; it does not start the deployment.
  /// Returns its number.
  size_t AddStore(const std::string& zone);
  /// Tells everyone but those in `behind` which instances there are, each after
  /// a delay up to `watch_delay`.
  void Announce();
  /// Replaces a client by one that remembers nothing. Its open reads and writes
  /// are never answered.
  void RestartClient(size_t number);
  /// Takes a store away for good, with its disk.
  void Remove(size_t number);
  bool IsRemoved(size_t number) const { return machines_.at(number)->removed; }

  std::string NameOf(size_t store) const { return "s" + std::to_string(store); }
  TurnClient& client(size_t number) { return *clients_.at(number); }
  size_t client_count() const { return clients_.size(); }
  TurnStore* store(size_t number) { return machines_.at(number)->store.get(); }
  MemoryFiles& files(size_t number) { return machines_.at(number)->files; }
  size_t store_count() const { return machines_.size(); }
  std::mt19937_64& random() { return random_; }
  const core::Clock& clock() const { return clock_; }

  /// Instances and clients that reach nobody.
  std::set<std::string> cut;
  std::set<std::string> retiring;
  /// Instances and clients whose watch stands still. Clients are "c0", "c1" and
  /// so on.
  std::set<std::string> behind;
  /// Whether the group confirms reads of its list.
  bool group_answers = true;
  std::chrono::milliseconds watch_delay{0};
  /// Lost and duplicated messages in 1000.
  uint64_t lost_per_mille = 0;
  uint64_t duplicated_per_mille = 0;

 private:
  friend class WorldLinks;
  friend class WorldDisk;

  struct Machine {
    std::string zone;
    MemoryFiles files;
    std::unique_ptr<PeerLinks> links;
    std::unique_ptr<TurnDisk> disk;
    std::unique_ptr<TurnStore> store;
    bool removed = false;
  };

  std::vector<schema::InstanceRecord> Records() const;
  void StartClient(size_t number);
  /// Hands a list to an instance or a client, after those before.
  void Tell(const std::string& name,
            const std::vector<schema::InstanceRecord>& records);
  /// Reads the list for an instance or a client.
  InstanceListReader ReaderFor(const std::string& name);
  void At(std::chrono::milliseconds delay, std::function<void()> event);
  std::chrono::milliseconds Delay();
  bool Reaches(const std::string& a, const std::string& b) const {
    return !cut.contains(a) && !cut.contains(b);
  }
  void Deliver(const std::string& from, const std::string& to,
               const schema::TurnMessage& message,
               const PeerLinks::ReplyCallback& reply);

  core::ManualClock clock_;
  core::Metrics metrics_;
  std::mt19937_64 random_;
  std::multimap<core::TimePoint, std::function<void()>> events_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::unique_ptr<PeerLinks>> client_links_;
  std::vector<std::unique_ptr<TurnClient>> clients_;
  std::vector<std::string> client_zones_;
  /// When each was told of its last list, or will be.
  std::map<std::string, core::TimePoint> told_at_;
};

/// Runs until the world is healthy, for up to five minutes. Returns whether it
/// is.
bool WaitHealthy(TurnWorld& world);

}  // namespace hawthorn::turns

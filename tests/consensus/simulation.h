#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/group.h"
#include "storage/log_store.h"
#include "tests/consensus/register_machine.h"

namespace hawthorn::consensus {

/// A disk in memory. A write takes effect atomically when it is synced.
class SimulatedDisk final : public storage::LogStore {
 public:
  SimulatedDisk(uint64_t incarnation, bool durable)
      : incarnation_(incarnation), durable_(durable) {}
  uint64_t incarnation() const override { return incarnation_; }
  bool durable() const override { return durable_; }
  core::Result<storage::StoredState> Load() override { return state_; }
  core::Status Write(const storage::LogBatch& batch) override;

 private:
  uint64_t incarnation_;
  bool durable_;
  storage::StoredState state_;
};

/// Kinds of faults in a plan.
enum class FaultKind {
  kCrash,               ///< The process crashes; a batch in flight may be lost.
  kLoseState,           ///< The process crashes and its stored state is lost.
  kCutOutgoing,         ///< Messages from the instance are lost.
  kCutIncoming,         ///< Messages to the instance are lost.
  kIsolate,             ///< Messages from and to the instance are lost.
  kFailWrites,          ///< Writes of the instance fail.
  kTransferLeadership,  ///< The leader transfers its leadership.
  kStallDisk,           ///< Syncs of the instance do not return.
  kPartition,  ///< Messages between the leader with the instance and all
               ///< others are lost, but those on their way arrive.
};
inline constexpr size_t kFaultKinds = 9;

/// One fault and how long it lasts before the next one begins.
struct Fault {
  FaultKind kind = FaultKind::kCrash;
  /// Instance number modulo the group size; 0 is always the leader if there is
  /// one.
  int target = 0;
  int duration_ms = 0;
};

struct SimulationOptions {
  size_t replicas = 3;
  /// Number of replicas with a disk; these come first.
  size_t with_disk = 3;
  bool require_durable_copy = false;
  uint64_t seed = 1;
  /// Rates of the faults of the network, each per 1000 messages.
  int lost = 20;
  int duplicated = 20;
  int delayed = 20;
  /// Leaders serve reads under a lease.
  bool lease_reads = true;
  /// Followers that are not needed for a commit get entries later, in batches.
  bool lazy = false;
  /// Messages with entries that a leader sends without an acknowledgement.
  size_t max_appends_in_flight = 32;
};

/// Number of group configurations; a random plan uses the one that its seed
/// selects.
inline constexpr size_t kSetups = 4;
/// Group configuration of the random plan of `seed`.
SimulationOptions RandomPlanOptions(uint64_t seed);

/// Event counts of one run.
struct Counts {
  std::array<uint64_t, kFaultKinds> faults{};
  uint64_t lost = 0;
  uint64_t duplicated = 0;
  uint64_t delayed = 0;
  uint64_t cut = 0;
  uint64_t failed_writes = 0;
  uint64_t unsynced_batches_lost = 0;
  uint64_t synced_without_report = 0;
  uint64_t stalled_syncs = 0;
  uint64_t snapshots_installed = 0;
  /// Steps of a follower whose state was known to be current half a second
  /// before, and of one whose state was not.
  uint64_t steps_current = 0;
  uint64_t steps_behind = 0;
  uint64_t acknowledged = 0;
  uint64_t reads = 0;
  uint64_t unknown = 0;
};

/// Simulates a group, its disks, a network and three callers in one thread on
/// an injected clock. Records the first violation of an invariant as text.
class Simulation {
 public:
  explicit Simulation(SimulationOptions options);

  /// Runs for `ms` milliseconds of simulated time.
  void Run(int ms);
  /// Runs one fault for its duration; false if it could not be applied.
  bool Apply(const Fault& fault);
  /// Ends all faults, waits until all instances are voters and checks the final
  /// state.
  void Finish();
  /// Waits up to `ms` until every instance is a voter under its current
  /// identity.
  bool WaitUntilAllVote(int ms);

  /// Waits until all instances are voters, applies a random plan of faults made
  /// from `seed`, and calls Finish().
  void RunRandomPlan(uint64_t seed);

  void Crash(size_t node, bool lose_state);
  void Restart(size_t node);
  std::optional<size_t> Leader() const;
  size_t size() const { return nodes_.size(); }
  const Counts& counts() const { return counts_; }
  /// First violation of an invariant; empty if there was none.
  const std::string& violation() const { return violation_; }

 private:
  /// A register that checks that all replicas apply the same command at each
  /// index.
  class Machine {
   public:
    Machine() = default;
    explicit Machine(Simulation* owner) : owner_(owner) {}
    std::string Apply(uint64_t index, std::string_view command);
    std::string Snapshot() const { return state_.Snapshot(); }
    core::Status Restore(std::string_view bytes);
    const RegisterMachine& state() const { return state_; }

   private:
    Simulation* owner_ = nullptr;
    RegisterMachine state_;
  };
  struct Node {
    std::unique_ptr<SimulatedDisk> disk;
    Machine machine;
    std::unique_ptr<Group<Machine>> group;
    uint64_t starts = 0;
    /// Clock error of this instance; positive if the clock runs fast, in parts
    /// per thousand.
    int drift = 0;
    std::optional<storage::LogBatch> writing;
    int64_t sync_at = 0;
    int64_t fail_writes_until = 0;
    int64_t stall_disk_until = 0;
    int64_t no_output_until = 0;
    int64_t partitioned_until = 0;
    int64_t no_input_until = 0;
    int64_t restart_at = -1;
  };
  struct Caller {
    std::optional<Operation> open;
    uint64_t request = 0;
    size_t target = 0;
    uint64_t version = 0;
  };
  struct QueuedMessage {
    schema::ConsensusMessage message;
    size_t to = 0;
  };

  void Open(size_t node);
  core::TimePoint NowOf(const Node& node) const;
  void StepNode(size_t node);
  void StepDisk(Node* node);
  void SendAll(size_t node);
  void Enqueue(size_t to, const schema::ConsensusMessage& message);
  void Deliver();
  void StepCaller(size_t caller);
  void Begin(size_t caller);
  void Complete(size_t caller, uint64_t request, bool is_write,
                const core::Result<std::string>& result);
  void CheckLeaders();
  /// Checks that no replica takes its state for more current than it is.
  void CheckCurrentState();
  void CheckFinalState();
  void ReportViolation(const std::string& what);
  bool AllInstancesVote() const;
  size_t ResolveTarget(int target);
  int RandomBelow(int below);
  /// Returns whether to apply a network fault to this message, given its rate
  /// and how often it was applied so far.
  bool ShouldInject(int per_mille, uint64_t injected);

  SimulationOptions options_;
  std::mt19937_64 random_;
  int64_t now_ms_ = 1000;
  uint64_t enqueued_ = 0;
  uint64_t last_incarnation_ = 0;
  std::vector<Node> nodes_;
  std::multimap<int64_t, QueuedMessage> network_;
  std::array<Caller, 3> callers_;
  uint64_t last_request_ = 0;
  std::vector<Operation> history_;
  std::vector<Operation> written_;
  std::map<uint64_t, std::string> applied_;
  std::map<uint64_t, ReplicaId> leaders_;
  /// Highest index that a leader had committed, by the time since when.
  std::map<int64_t, uint64_t> committed_since_;
  Counts counts_;
  std::string violation_;
};

}  // namespace hawthorn::consensus

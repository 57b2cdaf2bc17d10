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

/// What a disk holds; a write takes effect as a whole at its sync.
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

/// Kinds of faults that a plan can hold.
enum class FaultKind {
  kCrash,        ///< The process dies; a batch under way may be lost.
  kLoseState,    ///< The process dies and its disk or memory with it.
  kCutOutgoing,  ///< Nothing that the instance sends arrives.
  kCutIncoming,  ///< Nothing sent to the instance arrives.
  kIsolate,      ///< Both.
  kFailWrites,   ///< Writes of the instance fail.
  kHandOver,     ///< The leader hands over leadership.
};
inline constexpr size_t kFaultKinds = 7;

/// One fault and how long it lasts before the next one begins.
struct Fault {
  FaultKind kind = FaultKind::kCrash;
  /// Picks the instance; 0 always picks the leader.
  int target = 0;
  int duration_ms = 0;
};

struct SimulationOptions {
  size_t replicas = 3;
  /// The first ones have a disk.
  size_t with_disk = 3;
  bool require_durable_copy = false;
  uint64_t seed = 1;
  /// Of 1000 messages.
  int lost = 20;
  int doubled = 20;
  int late = 20;
  /// Leaders answer reads under a lease.
  bool lease_reads = true;
  /// Followers that no commit waits for get entries late.
  bool lazy = false;
};

/// Kinds of groups that drawn plans take in turn.
inline constexpr size_t kSetups = 4;
/// The group of a drawn plan.
SimulationOptions DrawnOptions(uint64_t seed);

/// Counts of what happened in a run.
struct Counts {
  std::array<uint64_t, kFaultKinds> faults{};
  uint64_t lost = 0;
  uint64_t doubled = 0;
  uint64_t late = 0;
  uint64_t cut = 0;
  uint64_t failed_writes = 0;
  uint64_t unsynced_batches_lost = 0;
  uint64_t synced_without_report = 0;
  uint64_t snapshots_installed = 0;
  uint64_t acknowledged = 0;
  uint64_t reads = 0;
  uint64_t unknown = 0;
};

/// A group, its disks, a network and three callers in one thread, under an
/// injected clock. Breaches of an invariant are collected as text.
class Simulation {
 public:
  explicit Simulation(SimulationOptions options);

  /// Runs for `ms` milliseconds of simulated time.
  void Run(int ms);
  /// Runs one fault for its duration; false if it could not be applied.
  bool Apply(const Fault& fault);
  /// Ends all faults, waits until the group is whole and checks all that must
  /// hold at the end.
  void Finish();
  /// Waits until every instance's current identity votes, up to `ms`.
  bool WaitUntilWhole(int ms);

  /// Runs a plan of faults drawn from `seed`, from a whole group to Finish().
  void RunDrawnPlan(uint64_t seed);

  void Crash(size_t node, bool lose_state);
  void Restart(size_t node);
  std::optional<size_t> Leader() const;
  size_t size() const { return nodes_.size(); }
  const Counts& counts() const { return counts_; }
  /// First breach of an invariant; empty if there was none.
  const std::string& breach() const { return breach_; }

 private:
  /// Also records what is applied at each index, over all replicas.
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
    uint64_t life = 0;
    /// Parts in a thousand by which this clock runs fast.
    int drift = 0;
    std::optional<storage::LogBatch> writing;
    int64_t sync_at = 0;
    int64_t fail_writes_until = 0;
    int64_t no_output_until = 0;
    int64_t no_input_until = 0;
    int64_t restart_at = -1;
  };
  struct Caller {
    std::optional<Operation> open;
    uint64_t request = 0;
    size_t target = 0;
    uint64_t version = 0;
  };
  struct Letter {
    schema::ConsensusMessage message;
    size_t to = 0;
  };

  void Open(size_t node);
  core::TimePoint NowOf(const Node& node) const;
  void StepNode(size_t node);
  void StepDisk(Node* node);
  void SendAll(size_t node);
  void Post(size_t to, const schema::ConsensusMessage& message);
  void Deliver();
  void StepCaller(size_t caller);
  void Begin(size_t caller);
  void Complete(size_t caller, uint64_t request, bool is_write,
                const core::Result<std::string>& result);
  void CheckLeaders();
  void CheckEnd();
  void Breach(const std::string& what);
  bool IsWhole() const;
  size_t Pick(int target);
  int Draw(int below);
  /// Whether a fault of the network hits this message.
  bool Strikes(int per_mille, uint64_t struck);

  SimulationOptions options_;
  std::mt19937_64 random_;
  int64_t now_ms_ = 1000;
  uint64_t posted_ = 0;
  uint64_t last_incarnation_ = 0;
  std::vector<Node> nodes_;
  std::multimap<int64_t, Letter> network_;
  std::array<Caller, 3> callers_;
  uint64_t last_request_ = 0;
  std::vector<Operation> history_;
  std::vector<Operation> written_;
  std::map<uint64_t, std::string> applied_;
  std::map<uint64_t, ReplicaId> leaders_;
  Counts counts_;
  std::string breach_;
};

}  // namespace hawthorn::consensus

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "cluster/deployment_client.h"
#include "cluster/deployment_host.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "peer/reply_sink.h"
#include "peer/transport.h"
#include "storage/journal_thread.h"
#include "tests/support/virtual_time.h"
#include "tests/turns/memory_files.h"

// A deployment in simulated time: the real clients and replicas, with messages,
// disks and processors that the test models.
namespace hawthorn::cluster {

/// Processor time that the work of an instance with a disk takes, on a whole
/// core.
struct WorkCosts {
  std::chrono::nanoseconds turn_of_loop = std::chrono::microseconds(20);
  std::chrono::nanoseconds message_in = std::chrono::microseconds(25);
  std::chrono::nanoseconds message_out = std::chrono::microseconds(15);
  std::chrono::nanoseconds kilobyte = std::chrono::microseconds(4);
  std::chrono::nanoseconds command = std::chrono::microseconds(12);
  std::chrono::nanoseconds claim = std::chrono::microseconds(10);
  std::chrono::nanoseconds settlement = std::chrono::microseconds(10);
};

/// What became of the programs that began in one second.
struct SecondOfLoad {
  int offered = 0;
  /// All their turns were granted.
  int served = 0;
  /// Refused claims, and how long the callers waited for the refusals.
  int refused = 0;
  std::chrono::milliseconds refusal_wait{0};
};

/// Five control instances and many entry instances whose callers run programs
/// of several turns. Each instance with a disk is one thread: it handles what
/// has arrived, then is busy for the time that this takes. Every delay and
/// every choice comes from the seed.
class DeploymentSimulation {
 public:
  /// How long a call waits for the reply to its claim.
  static constexpr std::chrono::milliseconds kClaimTimeout{1000};

  struct Options {
    uint64_t seed = 1;
    int entries = 200;
    /// Part of a core that each control instance has.
    double control_cores = 0.3;
    int turns_per_program = 3;
    WorkCosts costs = {};
  };

  /// `time` must be the event dispatcher of the application, with `clock`.
  DeploymentSimulation(Options options, test::VirtualTime& time,
                       core::ManualClock& clock);
  ~DeploymentSimulation();

  /// Starts the control instances, then the entry instances, and waits until
  /// all of these are current. Returns false if they are not in time.
  bool Start();
  /// Runs for `duration` with `programs_per_second` new programs.
  void Run(std::chrono::milliseconds duration, double programs_per_second);
  /// Freezes control instance `n` for `duration` from now on.
  void Freeze(size_t n, std::chrono::milliseconds duration);
  /// Slows control instance `n` down to `cores`.
  void SetCores(size_t n, double cores);
  /// Index of the control instance that leads; the number of them if none.
  size_t Leader() const;
  size_t control_count() const { return hosts_.size(); }

  /// What became of the programs, by second since the first Run.
  const std::vector<SecondOfLoad>& seconds() const { return seconds_; }
  /// Sum over the seconds in [from, to).
  SecondOfLoad Total(size_t from, size_t to) const;
  size_t second() const;
  /// One line for each second, for the output of a failed test.
  std::string Describe() const;

 private:
  class SimulatedTransport;
  class SimulatedReply;
  class SimulatedJournal;
  struct Exchange;

  struct Node {
    int owner = 0;
    std::string id;
    /// Part of a core; 0 for an instance whose work takes no time.
    double cores = 0;
    core::TimePoint busy_until;
    std::deque<std::function<void()>> inbox;
    /// What leaves when the current turn of the event loop has ended.
    std::vector<std::function<void()>> outbox;
    std::chrono::nanoseconds work{0};
    core::TimePoint wake_at = core::TimePoint::max();
    std::function<void(schema::PeerMessage, peer::Replier)> handler;
    control::ApplyCounts counted;
    std::unique_ptr<SimulatedTransport> transport;
    std::unique_ptr<turns::MemoryFiles> files;
    std::unique_ptr<DeploymentHost> host;
    std::unique_ptr<DeploymentClient> client;
  };
  struct Event {
    core::TimePoint at;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  struct Program {
    std::string id;
    size_t second = 0;
    int turns_left = 0;
    int tries_left = 0;
    uint64_t requests = 0;
    Node* entry = nullptr;
  };
  using ProgramPtr = std::shared_ptr<Program>;

  Node& AddNode(const std::string& id, double cores);
  void StartHost(Node* node);
  void StartClient(Node* node);
  void At(core::TimePoint time, std::function<void()> run);
  /// Runs `function` as work of `node`, when it is free.
  void Post(Node* node, std::function<void()> function);
  void WakeAt(Node* node, core::TimePoint time);
  void RunNode(Node* node);
  void ChargeApplied(Node* node);
  /// Processor time of a message of a size.
  std::chrono::nanoseconds CostOf(size_t bytes,
                                  std::chrono::nanoseconds message);
  void RunUntil(core::TimePoint time);
  void ScheduleArrival(core::TimePoint until, double per_second);
  void BeginProgram();
  void ClaimTurn(const ProgramPtr& program);
  void OnClaimed(const ProgramPtr& program, const relay::TokenClaim& claim,
                 core::TimePoint asked_at,
                 const core::Result<relay::ClaimReply>& reply);
  Node* FindNode(const std::string& id);

  Options options_;
  test::VirtualTime& time_;
  core::ManualClock& clock_;
  core::Metrics metrics_;
  std::mt19937_64 random_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::vector<Node*> hosts_;
  std::vector<Node*> entries_;
  Node* current_ = nullptr;
  std::priority_queue<Event> events_;
  uint64_t last_order_ = 0;
  uint64_t last_exchange_ = 0;
  core::TimePoint load_started_;
  uint64_t last_program_ = 0;
  std::vector<SecondOfLoad> seconds_;
};

}  // namespace hawthorn::cluster

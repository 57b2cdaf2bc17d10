#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "scheduling/compare/event_queue.h"
#include "scheduling/compare/fake_engine.h"
#include "scheduling/shared_scheduler.h"

namespace hawthorn::scheduling::compare {

/// Load on instances that share all upstreams. The defaults are the usual load
/// of the users' platform on a heavy day.
struct SharedLoad {
  size_t instances = 25;
  size_t upstreams = 48;
  uint32_t slots = 6;
  std::chrono::milliseconds duration{8000};
  /// Programs per second that start at a time since the start of the run.
  std::function<double(std::chrono::milliseconds)> rate = [](auto) {
    return 80.0;
  };
  /// When a third of the upstreams is lost, and until when.
  std::chrono::milliseconds lost_from{0};
  std::chrono::milliseconds lost_until{0};
  /// Number of priorities, each with the same share of the programs.
  uint32_t kinds = 1;
  /// Part of the programs that has nine turns instead of three.
  double long_share = 0.19;
  /// Part of the programs that starts sub-agents until its budget is spent.
  double endless_share = 0;
  /// New prompt tokens of each turn of a program with three turns, and the part
  /// of the programs whose turns read `long_prompt_tokens` instead.
  int64_t prompt_tokens = 650;
  double long_prompt_share = 0;
  int64_t long_prompt_tokens = 9000;
  /// Part of the calls that the last instance gets, as a multiple of its equal
  /// share.
  double last_instance_weight = 1;
  SharedScheduler::Settings scheduler;
  uint64_t seed = 1;
};

/// What became of the programs of one group.
struct SharedOutcome {
  size_t programs = 0;
  size_t on_time = 0;
  /// Ended within twice the target.
  size_t late = 0;
  size_t failed = 0;
  /// Programs that failed after a turn of theirs had been served.
  size_t lost = 0;

  /// Part of the possible credit that was earned.
  double Credit() const {
    return programs == 0 ? 0
                         : (static_cast<double>(on_time) +
                            static_cast<double>(late) / 3) /
                               static_cast<double>(programs);
  }
};

/// Result of a run. Programs count that started in the measured time.
struct SharedResult {
  SharedOutcome all;
  std::map<uint32_t, SharedOutcome> by_kind;
  SharedOutcome long_prompts;
  SharedOutcome short_prompts;
  SharedOutcome at_last_instance;
  size_t first_refusals = 0;
  size_t turn_refusals = 0;
  /// Refusals of first calls in each 10 ms of the time when their callers were
  /// told to come back.
  std::map<int64_t, size_t> returns;
};

/// Discrete-event simulation of programs that call many SharedSchedulers, with
/// fake engines and simulated time. Callers repeat a failed turn twice.
class SharedSimulation {
 public:
  explicit SharedSimulation(SharedLoad load);

  /// Runs the load; counts the programs that start from `from` to `until`.
  SharedResult Run(std::chrono::milliseconds from,
                   std::chrono::milliseconds until);

 private:
  struct Program {
    core::TimePoint started;
    core::TimePoint target;
    core::TimePoint last_credit;
    uint32_t kind = 0;
    int turns = 3;
    int turns_done = 0;
    int attempts = 0;
    int64_t new_tokens = 650;
    std::vector<PrefixSegment> prefix;
    int64_t prompt_tokens = 0;
    size_t first_instance = 0;
    bool is_endless = false;
    bool has_long_prompts = false;
  };
  struct Instance {
    SharedScheduler scheduler;
    core::TimePoint wake_up;
  };
  struct Call {
    size_t program = 0;
    size_t instance = 0;
    size_t upstream = 0;
    core::TimePoint deadline;
  };

  void StartProgram();
  void ScheduleNextStart();
  void SendTurn(size_t program);
  void Pump(size_t instance);
  void Send(const Dispatch& dispatch);
  void StepEngine(size_t upstream);
  void OnDone(const EngineDone& done);
  void OnFailed(size_t program, std::chrono::milliseconds retry_after);
  void FailCall(CallId id, CallOutcome outcome);
  void EndProgram(size_t program, bool success);
  void CheckSuspended();
  void LoseUpstreams();
  bool IsLost(size_t upstream) const;
  size_t PickInstance();
  double Chance();
  std::chrono::milliseconds Since() const {
    return core::MillisecondsBetween(start_, now_);
  }

  SharedLoad load_;
  EventQueue events_;
  std::vector<std::unique_ptr<FakeEngine>> engines_;
  std::vector<Instance> instances_;
  std::vector<Program> programs_;
  std::unordered_map<CallId, Call> calls_;
  std::mt19937_64 random_;
  core::TimePoint start_;
  core::TimePoint now_;
  std::chrono::milliseconds from_{0};
  std::chrono::milliseconds until_{0};
  CallId next_call_ = 1;
  SharedResult result_;
};

}  // namespace hawthorn::scheduling::compare

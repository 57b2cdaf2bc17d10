#pragma once

#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduling/compare/comparison_run.h"
#include "scheduling/compare/event_queue.h"
#include "scheduling/compare/fake_engine.h"
#include "scheduling/scheduler.h"

namespace hawthorn::scheduling::compare {

/// Discrete-event simulation of one run: programs, a Scheduler and fake engines
/// with simulated time.
class Simulation {
 public:
  Simulation(const Traffic& traffic, const RunOptions& options);

  RunResult Run();

 private:
  struct Upstream {
    Upstream(core::UpstreamId upstream, core::ServiceId of,
             const EngineSettings& settings)
        : id(std::move(upstream)), service(std::move(of)), engine(settings) {}

    core::UpstreamId id;
    core::ServiceId service;
    FakeEngine engine;
  };
  struct Program {
    core::TimePoint started;
    size_t step = 0;
    int64_t history_tokens = 0;
    /// Prefixes of the history that an engine may have cached, oldest first.
    std::vector<PrefixSegment> history;
    int64_t attained = 0;
    size_t parent = 0;
    bool has_parent = false;
    size_t open_children = 0;
    uint32_t attempts = 0;
    uint32_t refusals = 0;
    bool ended = false;
    std::vector<core::UpstreamId> excluded;
  };
  struct Call {
    size_t program = 0;
    size_t upstream = 0;
    bool sent = false;
  };

  void AddUpstreams();
  void ScheduleStarts();
  void ScheduleReports();
  void StartProgram(size_t index);
  void StartNextClosedLoopProgram();
  void EnqueueCall(size_t index);
  CallRequest MakeRequest(size_t index, CallId id) const;
  void OnRefused(size_t index, const core::Error& error);
  void RunScheduler();
  void Send(const Dispatch& dispatch);
  bool FailsByFault(size_t upstream);
  void StepEngine(size_t upstream);
  void OnDone(const EngineDone& done);
  void FailCall(CallId id);
  void AdvanceProgram(size_t index);
  void ContinueAfterChildren(size_t index);
  void EndProgram(size_t index, bool success);
  void ReportLoad(size_t upstream);
  void DeliverCacheEvents(size_t upstream);
  void SendCacheEvents(size_t upstream);
  void BeginFault();
  bool FaultActive() const;
  const TrafficStep& StepOf(size_t index) const;
  RunResult Collect();

  const Traffic& traffic_;
  RunOptions options_;
  std::unique_ptr<Scheduler> scheduler_;
  EventQueue events_;
  std::vector<Upstream> upstreams_;
  std::unordered_map<core::UpstreamId, size_t> upstream_index_;
  std::vector<Program> programs_;
  std::unordered_map<CallId, Call> calls_;
  std::mt19937_64 random_;
  core::TimePoint start_;
  core::TimePoint now_;
  core::TimePoint wake_up_;
  CallId next_call_ = 1;
  size_t next_program_ = 0;
  size_t open_programs_ = 0;
  RunResult result_;
};

}  // namespace hawthorn::scheduling::compare

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "core/metrics.h"
#include "main/calls/call.h"
#include "main/calls/catalog.h"
#include "main/groups/group_client.h"
#include "main/http/response_writer.h"
#include "main/threads/sinks.h"
#include "main/threads/timers.h"
#include "scheduling/scheduler.h"

namespace hawthorn::main {

/// Where to send a call: address and incarnation of an upstream.
struct UpstreamTarget {
  std::string address;
  uint64_t incarnation = 0;

  bool operator==(const UpstreamTarget&) const = default;
};

/// State machine of the calls of this instance: commits the intent, queues and
/// dispatches the call, commits the outcome and responds to the callers. Runs
/// on the decision thread.
class CallController {
 public:
  /// Dependencies; all must outlive the controller.
  struct Parts {
    const core::Clock& clock;
    core::Metrics& metrics;
    GroupClient& groups;
    scheduling::Scheduler& scheduler;
    HttpSink& http;
    UpstreamSink& upstreams;
    Timers& timers;
    /// Generates the ids of dispatches.
    std::function<uint64_t()> random;
  };
  using CatalogSource = std::function<std::shared_ptr<const Catalog>()>;
  using TargetSource =
      std::function<std::optional<UpstreamTarget>(const core::UpstreamId&)>;

  /// `owner` identifies this run of the instance in the ledger; `zones` is the
  /// number of zones that share the daily limits of organisations.
  CallController(Parts parts, std::string owner, size_t zones,
                 CatalogSource catalog, TargetSource target);

  /// Starts a call. If the same call is already open, adds its exchange to
  /// that call's waiters.
  void Submit(const CallSubmission& submission);

  /// Removes the exchange of a client that disconnected. A queued call or a
  /// running model call without waiters is cancelled.
  void OnClientDisconnected(transport::ExchangeId exchange);
  void OnUpstreamChunk(uint64_t attempt, const std::string& bytes);
  void OnUpstreamEnded(uint64_t attempt,
                       const transport::ClientResponse& response);

  /// Dispatches the calls that the scheduler released and fails those that it
  /// refused.
  void Pump();

  /// Ends the queued calls and running model calls of a program that ended.
  void OnProgramEnded(const core::ProgramId& program);

  /// Ends the queued calls and the running ones, since the instance stops.
  /// Their callers are answered once the outcome is recorded.
  void EndAll();
  /// Answers the callers that still wait without waiting for an outcome.
  void RefuseOpenCalls();

  size_t open_calls() const { return calls_.size(); }
  /// Calls that are queued in the scheduler or running at an upstream.
  size_t running_calls() const { return by_attempt_.size(); }

 private:
  using CallPtr = std::shared_ptr<OpenCall>;

  bool Join(const CallPtr& call, const CallSubmission& submission);
  void Begin(const CallPtr& call);
  void OnBegun(const CallPtr& call, const core::Result<std::string>& result);
  void OnRefused(const CallPtr& call, const schema::LedgerReply& reply);
  void GrantSlice(const CallPtr& call);
  void OnAccepted(const CallPtr& call, const schema::LedgerReply& reply);
  void ReadHistory(const CallPtr& call);
  void OpenNextAttempt(const CallPtr& call);
  void Enqueue(const CallPtr& call);
  scheduling::CallRequest MakeRequest(const OpenCall& call) const;
  void Launch(const scheduling::Dispatch& dispatch);
  transport::ClientRequest MakeUpstreamRequest(const OpenCall& call,
                                               const UpstreamTarget& to) const;
  std::string ModelBody(const OpenCall& call) const;
  void OnModelEvent(const CallPtr& call, const QJsonObject& event);
  void OnAttemptEnded(const CallPtr& call,
                      const transport::ClientResponse& response);
  void ReportResult(const OpenCall& call, scheduling::CallOutcome outcome);
  void ReportCrash(const OpenCall& call);
  void Retry(const CallPtr& call, const core::Error& error);
  void OnRetryOpened(const CallPtr& call,
                     const core::Result<std::string>& result);
  void Succeed(const CallPtr& call, int upstream_status);
  void Fail(const CallPtr& call, schema::Outcome outcome,
            const core::Error& error);
  /// Ends a call that is queued or running.
  void Stop(const CallPtr& call, const core::Error& error);
  void CommitOutcome(const CallPtr& call);
  void OnOutcomeCommitted(const CallPtr& call,
                          const core::Result<std::string>& result);
  void RespondAll(const CallPtr& call);
  void RefuseAll(const CallPtr& call, const core::Error& error);
  void Close(const CallPtr& call);
  void ReleaseAttempt(const CallPtr& call);
  void Propose(const CallPtr& call, const schema::LedgerCommand& command,
               void (CallController::*next)(const CallPtr&,
                                            const core::Result<std::string>&));
  void RunAfter(std::chrono::milliseconds delay, const CallPtr& call,
                void (CallController::*next)(const CallPtr&));
  std::string GroupOf(const OpenCall& call) const;
  bool IsModel(const OpenCall& call) const;

  Parts parts_;
  std::string owner_;
  size_t zones_;
  CatalogSource catalog_;
  TargetSource target_;
  ResponseWriter responses_;
  uint64_t last_id_ = 0;
  std::map<std::string, CallPtr> calls_;
  std::unordered_map<uint64_t, CallPtr> by_attempt_;
  std::unordered_map<transport::ExchangeId, CallPtr> by_exchange_;
};

/// Home zone encoded in a program id.
std::string HomeZoneOf(const core::ProgramId& program);

}  // namespace hawthorn::main

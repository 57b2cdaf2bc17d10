#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "relay/call_codec.h"
#include "relay/event_framer.h"
#include "relay/route_table.h"
#include "relay/token_ledger.h"
#include "relay/upstream_link.h"
#include "scheduling/call.h"
#include "transport/http_session.h"

namespace hawthorn::relay {

class RelayCall;

/// What a call asks of its relay.
class CallHost {
 public:
  virtual ~CallHost() = default;
  virtual const core::Clock& clock() const = 0;
  /// When the process ends at the latest, if that is known.
  virtual std::optional<core::TimePoint> shutdown_deadline() const = 0;
  virtual const CallCodec& codec() const = 0;
  virtual TokenLedger& ledger() = 0;
  /// Queues the call; Dispatch or RefuseQueued follows, never inside this.
  virtual core::Status Enqueue(RelayCall& call) = 0;
  /// Takes the call out of the queue.
  virtual void Dequeue(RelayCall& call) = 0;
  /// Ends the call's place at its upstream.
  virtual void FinishAttempt(RelayCall& call,
                             scheduling::CallOutcome outcome) = 0;
  /// An answer began, with what the upstream says about its load.
  virtual void OnResponseHead(const std::string& upstream,
                              const ResponseInfo& response) = 0;
  virtual UpstreamLink* OpenLink(const std::string& upstream,
                                 bool must_be_fresh) = 0;
  virtual void CloseLink(const std::string& upstream, UpstreamLink* link,
                         const ResponseInfo& response) = 0;
  /// Tells whether the upstream can be reached; never inside this call. One
  /// that has left cannot be checked, which proves nothing against it.
  virtual void CheckUpstream(const std::string& upstream,
                             std::function<void(bool)> on_checked) = 0;
  /// The upstream broke an answer off; it may have ended.
  virtual void OnConnectionBroken(const RelayCall& call,
                                  const std::string& upstream) = 0;
  /// Another upstream answers at the address of this one.
  virtual void OnWrongUpstream(const std::string& upstream) = 0;
  /// Records a decision about a call that is not over.
  virtual void OnDecision(const RelayCall& call, const char* decision,
                          const std::string& reason) = 0;
  /// The call is over; it will be deleted.
  virtual void OnCallEnded(RelayCall& call) = 0;
};

/// What a call led to, for logs and metrics.
struct CallSummary {
  int status = 0;
  /// Why the relay itself ended the call; empty if an upstream answered.
  std::string reason;
  /// Attempts that reached an upstream.
  int attempts = 0;
  std::string last_upstream;
  std::chrono::milliseconds queued{0};
  std::chrono::milliseconds time_to_first_event{0};
  /// Longest wait between two events that were handed to the caller.
  std::chrono::milliseconds longest_pause{0};
  std::chrono::milliseconds total{0};
  uint64_t events = 0;
  /// Tokens of the program's budget that were left at the claim; -1 without a
  /// claim.
  int64_t budget_remaining = -1;
  /// An upstream may have run the call.
  bool may_have_run = false;
  /// Upstreams that ended while they ran the call.
  int crashes = 0;

  bool operator==(const CallSummary&) const = default;
};

/// One attempt of a caller, from its request to its answer.
class RelayCall final : public QObject {
  Q_OBJECT

 public:
  /// Attempts at upstreams for one request, resumptions included.
  static constexpr int kMaxAttempts = 4;
  /// Refusals of upstreams that a call survives.
  static constexpr int kMaxNotRunAttempts = 4;
  /// Bodies up to this size are checked whole before the caller sees a byte.
  static constexpr size_t kMaxBufferedBodyBytes = size_t{256} * 1024;
  /// Bytes that wait for a slow caller before its upstream is paused.
  static constexpr size_t kCallerHighWater = size_t{128} * 1024;
  /// Silence of an upstream after which it is checked. Engines make an event
  /// every 40 ms or so; a cut connection is told by nothing else.
  static constexpr std::chrono::milliseconds kFirstIdleTimeout{250};
  /// Silence after an upstream was found reachable.
  static constexpr std::chrono::milliseconds kNextIdleTimeout{600};
  /// Time left below which no further attempt is made.
  static constexpr std::chrono::milliseconds kMinTimeLeft{20};
  /// Part of the time left up to which callers follow a suggested wait.
  static constexpr int kRetryAfterDivisor = 3;
  /// Suggested wait after a refusal without a better estimate.
  static constexpr std::chrono::milliseconds kRetryAfter{100};

  struct Parts {
    CallHost& host;
    transport::HttpSession& session;
    transport::RelayRequest request;
    CallHead head;
    /// Points of the prompt up to which an engine may hold it.
    std::vector<scheduling::PrefixSegment> segments;
    Route route;
    std::string service;
    int64_t tokens_per_event = 1;
  };

  RelayCall(Parts parts, QObject* parent);

  void Start();
  /// The scheduler chose an upstream.
  void Dispatch(const std::string& upstream);
  /// The scheduler gave the call up.
  void RefuseQueued(const core::Error& error);

  const CallHead& head() const { return parts_.head; }
  const std::vector<scheduling::PrefixSegment>& segments() const {
    return parts_.segments;
  }
  const Route& route() const { return parts_.route; }
  const std::string& service() const { return parts_.service; }
  const transport::RelayRequest& request() const { return parts_.request; }
  core::TimePoint started() const { return started_; }
  core::TimePoint deadline() const { return deadline_; }
  const std::vector<core::UpstreamId>& excluded() const { return excluded_; }
  const CallSummary& summary() const { return summary_; }
  /// Id under which the scheduler knows the present attempt.
  scheduling::CallId schedule_id() const { return schedule_id_; }
  void set_schedule_id(scheduling::CallId id) { schedule_id_ = id; }
  int64_t generated_tokens() const;

 private:
  enum class State { kClaiming, kQueued, kRunning, kEnded };

  void OnClaimed(const core::Result<ClaimAnswer>& reply);
  void EnterQueue();
  void BeginExchange(bool must_be_fresh);
  void OnHead(const transport::ResponseHead& head,
              std::optional<uint64_t> length);
  void OnBody(std::string_view bytes);
  void OnComplete();
  void OnFailed(LinkFailure failure);
  void OnNotRun();
  void OnUpstreamIdle();
  void OnChecked(const std::string& upstream, bool reachable);
  void ForwardEvents(std::string_view bytes);
  void BeginResponse();
  void ReleaseUpstream(scheduling::CallOutcome outcome);
  /// Leaves an upstream that did not run the call, or will not have, and queues
  /// the call for another one; false if it has no tries or time left.
  bool TryAnotherUpstream(scheduling::CallOutcome outcome);
  /// Tries again where the kind of call allows it; false if it does not.
  bool Retry();
  void OnCallerDisconnected();
  void OnDeadline();
  void Refuse(int status, std::string reason,
              std::optional<std::chrono::milliseconds> retry_after);
  void Fail(int status, std::string reason);
  void End();
  std::chrono::milliseconds TimeLeft() const;

  Parts parts_;
  core::TimePoint started_;
  core::TimePoint deadline_;
  core::TimePoint queued_at_;
  QTimer deadline_timer_;
  QTimer idle_timer_;
  State state_ = State::kClaiming;
  scheduling::CallId schedule_id_ = 0;
  std::string upstream_;
  UpstreamLink* link_ = nullptr;
  std::vector<core::UpstreamId> excluded_;
  std::optional<TokenClaim> claim_;
  /// Upstreams that may have run the call and still live.
  std::set<std::string> ran_at_;
  int not_run_attempts_ = 0;
  transport::ResponseHead response_;
  ResponseInfo response_info_;
  bool streaming_ = false;
  bool response_started_ = false;
  bool ignore_body_ = false;
  std::string buffered_body_;
  EventFramer framer_;
  std::optional<uint64_t> last_event_;
  core::TimePoint last_event_at_;
  CallSummary summary_;
};

}  // namespace hawthorn::relay

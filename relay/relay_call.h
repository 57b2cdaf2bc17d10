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
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "relay/call_codec.h"
#include "relay/event_framer.h"
#include "relay/exchange_link.h"
#include "relay/quota_source.h"
#include "relay/route_table.h"
#include "relay/token_ledger.h"
#include "relay/turn_history.h"
#include "scheduling/call.h"
#include "transport/buffer_budget.h"
#include "transport/http_session.h"

namespace hawthorn::relay {

class RelayCall;

/// Result of a check whether an upstream can be reached.
enum class ReachCheck {
  kReachable,
  kUnreachable,
  /// The connection is accepted and not answered, while another instance gets
  /// answers: what is sent there is lost.
  kHalfOpen,
  /// It accepts connections and answers nobody: it pauses.
  kSilent,
  /// The check failed for another reason than the upstream: the instance that
  /// was asked did not respond, or it cannot tell.
  kUnknown,
};

/// Functions of the relay that a call uses.
class CallHost {
 public:
  virtual ~CallHost() = default;
  virtual const core::Clock& clock() const = 0;
  /// Time by which calls must have ended, if the instance is shutting down.
  virtual std::optional<core::TimePoint> shutdown_deadline() const = 0;
  virtual const CallCodec& codec() const = 0;
  virtual TokenLedger& ledger() = 0;
  /// Null if request limits of organisations are not enforced.
  virtual QuotaSource* quota() = 0;
  /// Turns of conversations; null if this instance cannot reach any.
  virtual TurnHistory* history() = 0;
  /// Queues the call. Dispatch or RefuseQueued is called later, never from
  /// within this call.
  virtual core::Status Enqueue(RelayCall& call) = 0;
  /// Software version that the stream of the call is best bound to.
  virtual std::string ProposeVersion(const RelayCall& call) = 0;
  /// Removes the call from the queue.
  virtual void Dequeue(RelayCall& call) = 0;
  /// Reports the outcome of an attempt and frees its slot at the upstream.
  virtual void FinishAttempt(RelayCall& call,
                             scheduling::CallOutcome outcome) = 0;
  /// Start time of the upstream as it announced it; 0 if it is not known.
  virtual uint64_t StartTimeOf(const std::string& upstream) const = 0;
  /// Whether the request limit of the call's upstream allows to send it the
  /// call once more now; counts the request if so.
  virtual bool TakeRepeat(const RelayCall& call) = 0;
  /// The call is sent on a connection to its upstream.
  virtual void OnSent(const RelayCall& call) = 0;
  /// Software version of an upstream as it announced it; empty if unknown.
  virtual std::string VersionOf(const std::string& upstream) const = 0;
  /// Takes load, draining and request limit of the call's upstream from a
  /// response head.
  virtual void OnResponseHead(const RelayCall& call,
                              const ResponseInfo& response) = 0;
  /// Whether the incarnation of the upstream that ran the call last is
  /// draining.
  virtual bool IsDraining(const RelayCall& call) const = 0;
  /// Opens a link to the upstream of the call: an own connection or, if this
  /// instance cannot reach the upstream, through another instance that the call
  /// has not tried yet. A failure says why there is none.
  virtual std::variant<ExchangeLink*, LinkFailure> OpenLink(
      const RelayCall& call, bool must_be_fresh) = 0;
  /// Keeps the connection of the call for reuse, or closes it.
  virtual void CloseLink(const RelayCall& call, ExchangeLink* link,
                         const ResponseInfo& response) = 0;
  /// Tests whether the upstream can be reached in the way that the link of the
  /// call uses; `on_checked` is never called from within this call. A removed
  /// upstream cannot be tested and counts as reachable.
  virtual void CheckLink(const RelayCall& call,
                         std::function<void(ReachCheck)> on_checked) = 0;
  /// Tests whether the upstream has ended: no instance that reaches others
  /// reaches it. Otherwise as CheckLink.
  virtual void CheckAlive(const std::string& upstream,
                          std::function<void(bool)> on_checked) = 0;
  /// The connection to the upstream failed before the response was complete.
  /// The upstream may have crashed.
  virtual void OnConnectionBroken(const RelayCall& call,
                                  const std::string& upstream) = 0;
  /// The address of the upstream now belongs to another one.
  virtual void OnWrongUpstream(const std::string& upstream) = 0;
  /// Logs and counts a decision about a call that continues.
  virtual void OnDecision(const RelayCall& call, const char* decision,
                          const std::string& reason) = 0;
  /// The call has ended. The host deletes it.
  virtual void OnCallEnded(RelayCall& call) = 0;
};

/// Organisation of the caller, by the configuration in force when the request
/// was read.
struct CallOrganisation {
  /// The configuration has organisations.
  bool has_organisations = false;
  /// Empty if the caller belongs to none.
  std::string name;
  /// Its requests need credit.
  bool is_limited = false;
  /// Replaces the priority of the route.
  std::optional<uint32_t> priority;

  bool operator==(const CallOrganisation&) const = default;
};

/// Result of a call, for logs and metrics.
struct CallSummary {
  int status = 0;
  /// Why the relay ended the call; empty if an upstream responded.
  std::string reason;
  /// Attempts that were started on a connection, including those that could not
  /// connect.
  int attempts = 0;
  std::string last_upstream;
  /// Instance that carried out the last attempt for this one; empty if none
  /// did.
  std::string forwarder;
  std::chrono::milliseconds queued{0};
  std::chrono::milliseconds time_to_first_event{0};
  /// Longest time between two events that were sent to the caller.
  std::chrono::milliseconds longest_pause{0};
  std::chrono::milliseconds total{0};
  uint64_t events = 0;
  /// Software version of the upstream that sent the first of these events.
  std::string stream_version;
  /// Tokens of the program's budget that were left at the claim; -1 without a
  /// claim.
  int64_t budget_remaining = -1;
  /// An upstream may have run the call.
  bool may_have_run = false;
  /// Number of upstreams that crashed while they ran the call.
  int crashes = 0;

  bool operator==(const CallSummary&) const = default;
};

/// One request of a caller until its response has been sent. May involve
/// several attempts at upstreams.
class RelayCall final : public QObject {
  Q_OBJECT

 public:
  /// Maximum number of attempts at upstreams for one request, including those
  /// that resume a stream.
  static constexpr int kMaxAttempts = 4;
  /// Maximum number of attempts that ended because the upstream refused the
  /// call or was unreachable.
  static constexpr int kMaxNotRunAttempts = 4;
  /// Maximum number of other instances that are asked to carry out one attempt.
  static constexpr size_t kMaxForwarders = 4;
  /// Response bodies up to this size are buffered until they are complete, so
  /// that the call can still be retried.
  static constexpr size_t kMaxBufferedBodyBytes = size_t{256} * 1024;
  /// The same while the buffers of the instance are full.
  static constexpr size_t kMaxBufferedBodyWhenFull = size_t{16} * 1024;
  /// Bytes queued for a slow caller above which reading from its upstream is
  /// paused, and those at which it is resumed. Resuming early keeps the
  /// upstream, which gives up a response that stays unread, from waiting long.
  static constexpr size_t kCallerHighWater = size_t{32} * 1024;
  static constexpr size_t kCallerLowWater = size_t{8} * 1024;
  /// Time for which a caller may hold a response up before the upstream may
  /// give it up for being unread; and the time after the response goes on in
  /// which a broken connection is put down to that. The connection is not read
  /// while the response is held up.
  static constexpr std::chrono::milliseconds kUnreadTime{1000};
  /// Time without a byte from the upstream after which its reachability is
  /// checked. Engines produce an event about every 40 ms, and nothing else
  /// reveals a connection that was cut silently.
  static constexpr std::chrono::milliseconds kFirstIdleTimeout{250};
  /// The same after a check found the upstream reachable.
  static constexpr std::chrono::milliseconds kNextIdleTimeout{600};
  /// Default time without a complete event after which a stream that has begun
  /// is given up, whatever bytes arrive. Sound streams pause for a few seconds
  /// at most; until the first event, only the deadline limits the time.
  static constexpr std::chrono::seconds kProgressTimeout{10};
  /// Remaining time below which no further attempt is made.
  static constexpr std::chrono::milliseconds kMinTimeLeft{20};
  /// Retry-After is limited to the remaining time divided by this; callers
  /// ignore longer waits.
  static constexpr int kRetryAfterDivisor = 3;
  /// Default Retry-After of a refusal.
  static constexpr std::chrono::milliseconds kRetryAfter{100};

  struct Parts {
    CallHost& host;
    transport::HttpSession& session;
    transport::RelayRequest request;
    CallHead head;
    /// Prefixes of the prompt that an engine may have cached.
    std::vector<scheduling::PrefixSegment> segments;
    Route route;
    std::string service;
    int64_t tokens_per_event = 1;
    std::chrono::milliseconds progress_timeout = kProgressTimeout;
    CallOrganisation organisation = {};
    /// Counts what the call buffers; null if nobody does.
    transport::BufferBudget* buffers = nullptr;
  };

  RelayCall(Parts parts, QObject* parent);

  void Start();
  /// Sends the call to the upstream that the scheduler chose.
  void Dispatch(const std::string& upstream);
  /// Ends a call that the scheduler refused or gave up.
  void RefuseQueued(const core::Error& error);
  /// Ends the call by `time`, since the instance stops then: at once if no
  /// upstream was sent it and it might take longer.
  void EndBy(core::TimePoint time);

  const CallHead& head() const { return parts_.head; }
  const std::vector<scheduling::PrefixSegment>& segments() const {
    return parts_.segments;
  }
  const Route& route() const { return parts_.route; }
  const std::string& service() const { return parts_.service; }
  /// Empty if the caller belongs to no organisation.
  const std::string& organisation() const { return parts_.organisation.name; }
  const transport::RelayRequest& request() const { return parts_.request; }
  core::TimePoint started() const { return started_; }
  core::TimePoint deadline() const { return deadline_; }
  std::chrono::milliseconds TimeLeft() const;
  const std::vector<core::UpstreamId>& excluded() const { return excluded_; }
  /// Instances that did not carry out the current attempt.
  const std::set<std::string>& failed_forwarders() const {
    return failed_forwarders_;
  }
  /// Software version that the upstream must have; any if absent.
  std::optional<std::string> software_version() const {
    return binding_ ? std::optional(binding_->version) : std::nullopt;
  }
  /// Whether the caller already has events of the stream.
  bool ContinuesStream() const {
    return last_event_ || (IsBindable() && parts_.head.resume_after);
  }
  const CallSummary& summary() const { return summary_; }
  /// Start time of the upstream that was last sent the call.
  uint64_t upstream_started_at_ms() const { return upstream_started_at_ms_; }
  const ExchangeLink* link() const { return link_; }
  /// When the call was last sent to an upstream.
  core::TimePoint sent_at() const { return sent_at_; }
  /// Upstream that runs the call now; empty if none does.
  std::string_view running_at() const {
    return state_ == State::kRunning ? upstream_ : std::string_view();
  }
  /// Id of the current attempt in the scheduler.
  scheduling::CallId schedule_id() const { return schedule_id_; }
  void set_schedule_id(scheduling::CallId id) { schedule_id_ = id; }
  int64_t generated_tokens() const;

 private:
  enum class State {
    kAwaitingCredit,
    /// Waits for the claim, for the turns before this one, or both.
    kClaiming,
    kQueued,
    kRunning,
    /// The upstream has sent everything; the turn is being written.
    kRecording,
    kEnded
  };

  /// Decision on a response that is not valid.
  static constexpr char kMalformedResponse[] = "malformed response";
  /// Maximum number of software versions that a stream is bound to until its
  /// first event.
  static constexpr uint32_t kMaxBindings = 4;

  /// Whether the call is a stream that may go on at another upstream.
  bool IsBindable() const {
    return parts_.route.kind == CallKind::kStream && parts_.route.resumable;
  }
  TokenClaim MakeClaim(bool has_budget) const;
  /// Takes credit of the organisation for this request if it has a limit, then
  /// admits the call.
  void TakeCredit();
  void OnCredit(const core::Status& status);
  /// Prepares the claim if there is one, and queues the call.
  void Admit();
  /// Claims the budget and the binding of the stream, then queues the call.
  void Claim();
  void OnClaimed(const core::Result<ClaimReply>& reply);
  /// Binds the stream to another version, as none of its own is left; only
  /// before its first event. Returns false if that is not possible.
  bool BindAgain();
  /// Queues the call once its claim is granted and its chain is read.
  void QueueWhenReady();
  // Kept turns: relay_call_turns.cpp.
  /// Refuses a call whose turn cannot be kept. Returns whether it did.
  bool RefuseUnkeepable();
  void ReadChain();
  void OnChainRead(const core::Result<TurnChain>& result);
  /// Writes the turn of a stream that has ended, then ends the response.
  void RecordTurn();
  void OnTurnRecorded(const core::Status& status);
  void EnterQueue();
  void BeginExchange(bool must_be_fresh);
  ResponseMatch OnHead(const transport::ResponseHead& head,
                       std::optional<uint64_t> length);
  /// Whether a response may continue the one that the caller has begun to
  /// receive.
  bool MayContinue(const transport::ResponseHead& head) const;
  /// Ends the attempt because the upstream's response cannot be used, and logs
  /// why.
  void RejectResponse(const char* decision, const std::string& reason);
  void OnBody(std::string_view bytes);
  void OnComplete();
  void OnFailed(LinkFailure failure, const std::string& reason = {});
  /// Retries a call that the upstream may have run, or ends it.
  void RetryOrFail(std::string reason);
  /// Nothing of the current exchange was sent, as connecting failed.
  void OnUnreachable();
  /// The upstream broke off a response that the caller held up.
  void OnUnreadResponse();
  /// Nothing of the current exchange was sent, as another instance did not
  /// help.
  void OnForwarderFailed();
  /// Closes the link of an exchange that has ended, without its attempt.
  void DropLink();
  /// Drops the link and calls `on_checked` once it is known whether the
  /// upstream is alive, unless the call has gone on or ended by then.
  void CheckAlive(void (RelayCall::*on_checked)(bool alive));
  /// The upstream may have run the call and cannot be reached now.
  void OnAliveChecked(bool alive);
  /// The request limit of the upstream allowed no repeat.
  void OnAliveInsteadOfRepeat(bool alive);
  /// Ends a call whose last exchange was not sent.
  void FailUnsent(std::string reason);
  /// Ends the attempt and the call, which the upstream may have run.
  void FailAttempt(std::string reason);
  void OnNotRun();
  void OnUpstreamIdle();
  void OnChecked(const std::string& upstream, ReachCheck result);
  void ForwardEvents(std::string_view bytes);
  /// Sends bytes of the body to the caller. Pauses reading from the upstream
  /// while the caller is slow.
  void SendBody(std::string_view bytes);
  /// Whether bytes of the response wait for the caller to read.
  bool IsHeldUp() const { return parts_.session.pending_bytes() > 0; }
  /// Pauses reading from the upstream until the caller has read.
  void HoldUp(size_t low_water);
  /// Whether the upstream may have given up the response since the caller held
  /// it up for too long.
  bool MayBeUnread() const;
  /// Counts what the call buffers against the budget of the instance.
  void CountBuffers();
  void OnNoProgress();
  void BeginResponse();
  void ReleaseUpstream(scheduling::CallOutcome outcome);
  /// Requeues the call for another upstream after one that did not run it or
  /// became unreachable. Returns false if no attempt or time is left.
  bool TryAnotherUpstream(scheduling::CallOutcome outcome);
  /// Retries a call that may have run. Returns false if its kind or its limits
  /// do not allow that.
  bool Retry();
  void OnCallerDisconnected();
  void OnDeadline();
  /// What the call waits for when its deadline passes.
  const char* AwaitedText() const;
  /// Ends the call with a response that it was not run, or by Fail if it may
  /// have run.
  void Refuse(int status, std::string reason,
              std::optional<std::chrono::milliseconds> retry_after);
  /// Ends the call with an error response; aborts a response that has started.
  void Fail(int status, std::string reason);
  void End();
  /// Limits an estimated Retry-After to what the caller will wait.
  std::chrono::milliseconds WithinPatience(
      std::chrono::milliseconds retry_after) const;

  Parts parts_;
  core::TimePoint started_;
  core::TimePoint deadline_;
  core::TimePoint queued_at_;
  QTimer deadline_timer_;
  QTimer idle_timer_;
  QTimer progress_timer_;
  State state_ = State::kAwaitingCredit;
  /// The deadline is that of the instance and not of the call.
  bool ends_with_instance_ = false;
  /// The organisation's credit was taken for this request.
  bool has_credit_ = false;
  /// Number of exchanges of which an upstream may have received a part.
  int sent_exchanges_ = 0;
  scheduling::CallId schedule_id_ = 0;
  std::string upstream_;
  uint64_t upstream_started_at_ms_ = 0;
  std::string upstream_version_;
  core::TimePoint sent_at_;
  ExchangeLink* link_ = nullptr;
  std::set<std::string> failed_forwarders_;
  std::vector<core::UpstreamId> excluded_;
  std::optional<TokenClaim> claim_;
  /// Software version of the stream, as the group has recorded it.
  std::optional<StreamBinding> binding_;
  /// Upstreams that the call was sent to, and whether the current one was among
  /// them before.
  std::set<std::string> sent_to_;
  bool was_sent_before_ = false;
  /// Upstreams that may have run the call and are not known to have crashed.
  std::set<std::string> ran_at_;
  int not_run_attempts_ = 0;
  transport::ResponseHead response_;
  std::optional<uint64_t> response_length_;
  ResponseInfo response_info_;
  bool streaming_ = false;
  bool response_started_ = false;
  /// Media type of the response that was begun.
  std::string media_type_;
  /// Whether the current exchange has brought an event with an id.
  bool has_identified_event_ = false;
  /// The stream broke off within an event, so that another one is to come.
  bool lacks_event_ = false;
  /// The caller has events after the last id, so that no other run can go on.
  bool has_unidentified_events_ = false;
  bool ignore_body_ = false;
  std::string buffered_body_;
  transport::BufferCharge buffer_charge_;
  /// When the caller began to hold up the current response, and when it let it
  /// go on.
  std::optional<core::TimePoint> held_since_;
  std::optional<core::TimePoint> held_until_;
  bool claim_pending_ = false;
  bool chain_pending_ = false;
  /// Chain that this turn continues.
  TurnChain chain_;
  /// Data of the events that were sent to the caller, if the turn is kept.
  std::string turn_output_;
  EventFramer framer_;
  std::optional<uint64_t> last_event_;
  core::TimePoint last_event_at_;
  CallSummary summary_;
};

}  // namespace hawthorn::relay

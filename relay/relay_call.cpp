#include "relay/relay_call.h"

#include <QPointer>
#include <algorithm>
#include <limits>
#include <utility>

#include "transport/http_status.h"

namespace hawthorn::relay {

namespace {

namespace status = transport::status;

/// A claim on a budget may take the remaining time divided by this.
constexpr int kClaimTimeoutDivisor = 3;
/// Maximum timeout of a claim; about the duration of a leader election.
constexpr std::chrono::milliseconds kMaxClaimTimeout{1500};
constexpr std::string_view kHeadMethod = "HEAD";
/// Ledger entry of a stream that belongs to no program or has no budget.
constexpr const char* kStreamProgramPrefix = "stream ";
constexpr int64_t kNoBudget = std::numeric_limits<int64_t>::max();
/// A call is given up after it crashed this many upstreams.
constexpr int kMaxCrashes = 3;

std::chrono::milliseconds Elapsed(core::TimePoint from, core::TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

/// Formats a Retry-After value in seconds. Callers accept fractions.
std::string Seconds(std::chrono::milliseconds time) {
  std::string text = std::to_string(static_cast<double>(time.count()) / 1000.0);
  text.resize(text.find('.') + 4);
  return text;
}

}  // namespace

RelayCall::RelayCall(Parts parts, QObject* parent)
    : QObject(parent), parts_(std::move(parts)) {
  deadline_timer_.setSingleShot(true);
  deadline_timer_.setTimerType(Qt::PreciseTimer);
  connect(&deadline_timer_, &QTimer::timeout, this, &RelayCall::OnDeadline);
  idle_timer_.setSingleShot(true);
  connect(&idle_timer_, &QTimer::timeout, this, &RelayCall::OnUpstreamIdle);
  progress_timer_.setSingleShot(true);
  connect(&progress_timer_, &QTimer::timeout, this, &RelayCall::OnNoProgress);
}

int64_t RelayCall::generated_tokens() const {
  return static_cast<int64_t>(summary_.events) * parts_.tokens_per_event;
}

std::chrono::milliseconds RelayCall::TimeLeft() const {
  return Elapsed(parts_.host.clock().Now(), deadline_);
}

void RelayCall::Start() {
  started_ = parts_.host.clock().Now();
  std::chrono::milliseconds allowed = parts_.route.timeout;
  if (parts_.head.caller_timeout) {
    allowed = std::min(allowed, *parts_.head.caller_timeout);
  }
  deadline_ = started_ + allowed;
  parts_.session.SetDisconnectHandler([this] { OnCallerDisconnected(); });
  if (allowed < kMinTimeLeft) {
    Refuse(status::kServiceUnavailable, "no time left", std::nullopt);
    return;
  }
  if (const auto shutdown = parts_.host.shutdown_deadline();
      shutdown && deadline_ > *shutdown) {
    Refuse(status::kServiceUnavailable,
           "the instance stops before the call may be over",
           WithinPatience(kRetryAfter));
    return;
  }
  deadline_timer_.start(allowed);
  const bool has_budget =
      parts_.head.token_budget && !parts_.head.program.empty();
  if (!has_budget && !IsBindable()) {
    EnterQueue();
    return;
  }
  const CallHead& head = parts_.head;
  const std::string& first_request =
      head.resumed_request.empty() ? head.request_id : head.resumed_request;
  TokenClaim& claim = claim_.emplace();
  claim.request_id = head.request_id;
  claim.program =
      has_budget ? head.program : kStreamProgramPrefix + first_request;
  claim.budget = has_budget ? *head.token_budget : kNoBudget;
  claim.tokens = has_budget ? head.max_output_tokens : 0;
  if (IsBindable() && head.resume_after) {
    claim.resumed_request = head.resumed_request;
  } else if (IsBindable()) {
    claim.stream = StreamBinding{parts_.host.ProposeVersion(*this), 1};
  }
  Claim();
}

void RelayCall::Claim() {
  state_ = State::kClaiming;
  const auto claim_timeout =
      std::min(kMaxClaimTimeout, TimeLeft() / kClaimTimeoutDivisor);
  // If the call ends before the reply arrives, End() settles the claim.
  parts_.host.ledger().Claim(*claim_, claim_timeout,
                             [guard = QPointer<RelayCall>(this)](
                                 const core::Result<ClaimReply>& reply) {
                               if (guard) {
                                 guard->OnClaimed(reply);
                               }
                             });
}

void RelayCall::OnClaimed(const core::Result<ClaimReply>& reply) {
  if (state_ != State::kClaiming) {
    return;
  }
  if (!core::IsOk(reply)) {
    const core::Error& error = core::ErrorOf(reply);
    Refuse(status::kServiceUnavailable, "budget unknown: " + error.message,
           WithinPatience(error.retry_after.value_or(kRetryAfter)));
    return;
  }
  if (claim_->budget != kNoBudget) {
    summary_.budget_remaining = core::Value(reply).remaining;
  }
  if (!core::Value(reply).granted) {
    claim_.reset();
    Refuse(status::kPaymentRequired, "budget spent", std::nullopt);
    return;
  }
  if (IsBindable() && parts_.head.resume_after) {
    if (!BindResumed(core::Value(reply))) {
      Refuse(status::kServiceUnavailable,
             "the version that began the stream is not known", std::nullopt);
      return;
    }
  } else {
    binding_ = core::Value(reply).stream;
  }
  EnterQueue();
}

bool RelayCall::BindResumed(const ClaimReply& reply) {
  binding_ = reply.stream;
  if (!binding_) {
    if (const auto only = parts_.host.OnlyVersion(*this)) {
      binding_ = StreamBinding{*only, 1};
    }
  }
  return binding_.has_value();
}

bool RelayCall::BindAgain() {
  if (!binding_ || ContinuesStream() || binding_->round >= kMaxBindings) {
    return false;
  }
  const std::string version = parts_.host.ProposeVersion(*this);
  if (version == binding_->version) {
    return false;
  }
  parts_.host.OnDecision(*this, "stream bound again",
                         "no upstream of version " + binding_->version +
                             " is left, now version " + version);
  claim_->stream = StreamBinding{version, binding_->round + 1};
  Claim();
  return true;
}

void RelayCall::EnterQueue() {
  state_ = State::kQueued;
  queued_at_ = parts_.host.clock().Now();
  const core::Status status = parts_.host.Enqueue(*this);
  if (!core::IsOk(status)) {
    RefuseQueued(core::ErrorOf(status));
  }
}

void RelayCall::RefuseQueued(const core::Error& error) {
  if (error.code == core::ErrorCode::kNotFound) {
    if (!BindAgain()) {
      Refuse(status::kServiceUnavailable, error.message, error.retry_after);
    }
    return;
  }
  const auto retry_after = error.retry_after.value_or(kRetryAfter);
  // The wait for a request limit is known, so it is told also if the caller
  // will not wait as long.
  const bool is_exact = error.code == core::ErrorCode::kLimitExceeded;
  Refuse(status::kServiceUnavailable, error.message,
         is_exact ? retry_after : WithinPatience(retry_after));
}

std::chrono::milliseconds RelayCall::WithinPatience(
    std::chrono::milliseconds retry_after) const {
  return std::min(retry_after,
                  std::max(TimeLeft() / kRetryAfterDivisor, kMinTimeLeft));
}

void RelayCall::Dispatch(const std::string& upstream) {
  state_ = State::kRunning;
  upstream_ = upstream;
  summary_.last_upstream = upstream;
  summary_.queued += Elapsed(queued_at_, parts_.host.clock().Now());
  failed_forwarders_.clear();
  BeginExchange(!parts_.route.IsRetryable());
}

void RelayCall::BeginExchange(bool must_be_fresh) {
  streaming_ = false;
  ignore_body_ = false;
  buffered_body_.clear();
  framer_.Reset();
  response_info_ = {};
  upstream_started_at_ms_ = parts_.host.StartTimeOf(upstream_);
  upstream_version_ = parts_.host.VersionOf(upstream_);
  const auto opened = parts_.host.OpenLink(*this, must_be_fresh);
  if (std::holds_alternative<LinkFailure>(opened)) {
    OnFailed(std::get<LinkFailure>(opened));
    return;
  }
  link_ = std::get<ExchangeLink*>(opened);
  summary_.forwarder = link_->forwarder();
  ++summary_.attempts;
  sent_at_ = parts_.host.clock().Now();
  parts_.host.OnSent(*this);
  if (parts_.route.IsRetryable()) {
    idle_timer_.start(kFirstIdleTimeout);
  }
  ForwardHead forward;
  forward.upstream = upstream_;
  forward.time_left = TimeLeft();
  forward.resume_after = last_event_ ? last_event_ : parts_.head.resume_after;
  ExchangeLink::Events events;
  events.on_head = [this](const transport::ResponseHead& head,
                          std::optional<uint64_t> length) {
    return OnHead(head, length);
  };
  events.on_body = [this](std::string_view bytes) { OnBody(bytes); };
  events.on_complete = [this] { OnComplete(); };
  events.on_failed = [this](LinkFailure failure) { OnFailed(failure); };
  link_->Start(parts_.host.codec().EncodeForward(parts_.request, forward),
               std::move(events));
}

ResponseMatch RelayCall::OnHead(const transport::ResponseHead& head,
                                std::optional<uint64_t> length) {
  const ResponseInfo info = parts_.host.codec().DecodeResponse(head);
  parts_.host.OnResponseHead(*this, info);
  const bool success = transport::IsSuccess(head.status);
  if (!info.request_id.empty() && info.request_id != parts_.head.request_id) {
    parts_.host.OnDecision(*this, "response skipped",
                           "it belongs to request " + info.request_id);
    return ResponseMatch::kForeign;
  }
  response_ = head;
  response_length_ = length;
  response_info_ = info;
  const bool untrusted = success && (info.request_id.empty() ||
                                     !info.has_signature || info.encoded);
  if (untrusted) {
    RejectResponse();
    return ResponseMatch::kOwn;
  }
  if (info.not_run || info.wrong_upstream) {
    ignore_body_ = true;
    return ResponseMatch::kOwn;
  }
  streaming_ = success && parts_.route.kind == CallKind::kStream;
  if (response_started_ && !streaming_) {
    RejectResponse();
    return ResponseMatch::kOwn;
  }
  if (streaming_ && (last_event_ || parts_.head.resume_after)) {
    parts_.host.OnDecision(*this, "stream continued",
                           last_event_
                               ? "from version " + summary_.stream_version +
                                     " to version " + upstream_version_
                               : "for request " + parts_.head.resumed_request +
                                     " to version " + upstream_version_);
  }
  if (streaming_ && last_event_) {
    progress_timer_.start(parts_.progress_timeout);
  }
  if (!streaming_ && length && *length > kMaxBufferedBodyBytes) {
    BeginResponse();
  }
  return ResponseMatch::kOwn;
}

void RelayCall::RejectResponse() {
  link_->Abandon();
  OnFailed(LinkFailure::kMalformed);
}

void RelayCall::OnBody(std::string_view bytes) {
  if (ignore_body_ || state_ != State::kRunning) {
    return;
  }
  if (parts_.route.IsRetryable()) {
    idle_timer_.start(kFirstIdleTimeout);
  }
  if (streaming_) {
    ForwardEvents(bytes);
    return;
  }
  if (!response_started_) {
    buffered_body_.append(bytes);
    if (buffered_body_.size() <= kMaxBufferedBodyBytes) {
      return;
    }
    BeginResponse();
    SendBody(std::exchange(buffered_body_, {}));
    return;
  }
  SendBody(bytes);
}

void RelayCall::SendBody(std::string_view bytes) {
  parts_.session.WriteBody(bytes);
  if (parts_.session.pending_bytes() > kCallerHighWater && link_ != nullptr) {
    link_->SetReading(false);
    parts_.session.SetDrainedHandler([guard = QPointer<ExchangeLink>(link_)] {
      if (guard) {
        guard->SetReading(true);
      }
    });
  }
}

void RelayCall::BeginResponse() {
  if (std::exchange(response_started_, true)) {
    return;
  }
  summary_.status = response_.status;
  // A stream may go on at another upstream, so that its length is not known.
  parts_.session.BeginBody(
      {response_.status, parts_.host.codec().ReturnedFields(response_)},
      streaming_ ? std::nullopt : response_length_);
}

void RelayCall::ForwardEvents(std::string_view bytes) {
  const core::TimePoint now = parts_.host.clock().Now();
  std::string out;
  for (StreamEvent& event : framer_.Feed(bytes)) {
    if (event.id && last_event_ && *event.id <= *last_event_) {
      continue;
    }
    if (event.id) {
      last_event_ = event.id;
    }
    if (summary_.events++ == 0) {
      summary_.stream_version = upstream_version_;
      summary_.time_to_first_event = Elapsed(started_, now);
    } else {
      summary_.longest_pause =
          std::max(summary_.longest_pause, Elapsed(last_event_at_, now));
    }
    last_event_at_ = now;
    out += event.bytes;
  }
  if (framer_.overflowed()) {
    RejectResponse();
    return;
  }
  if (out.empty()) {
    return;
  }
  BeginResponse();
  progress_timer_.start(parts_.progress_timeout);
  SendBody(out);
}

void RelayCall::OnNoProgress() {
  if (state_ != State::kRunning) {
    return;
  }
  if (parts_.session.pending_bytes() > 0) {
    // The caller holds the stream up, not the upstream.
    progress_timer_.start(parts_.progress_timeout);
    return;
  }
  parts_.host.OnDecision(*this, "stream stalled",
                         "the upstream sent no complete event in time");
  RejectResponse();
}

void RelayCall::OnComplete() {
  if (state_ != State::kRunning) {
    return;
  }
  if (response_info_.not_run || response_info_.wrong_upstream) {
    OnNotRun();
    return;
  }
  if (streaming_) {
    if (!framer_.rest().empty()) {
      // Every event ends with a blank line, so the stream was truncated.
      OnFailed(LinkFailure::kClosed);
      return;
    }
    BeginResponse();
    ReleaseUpstream(scheduling::CallOutcome::kSucceeded);
    parts_.session.EndBody();
    End();
    return;
  }
  const bool failed = response_.status >= status::kInternalServerError;
  if (failed && !response_started_) {
    ran_at_.insert(upstream_);
    if (ran_at_.size() < parts_.route.max_upstreams && Retry()) {
      return;
    }
  }
  ReleaseUpstream(failed ? scheduling::CallOutcome::kFailed
                         : scheduling::CallOutcome::kSucceeded);
  summary_.status = response_.status;
  if (parts_.request.method == kHeadMethod) {
    BeginResponse();
  }
  if (response_started_) {
    parts_.session.EndBody();
  } else {
    parts_.session.Respond(response_.status,
                           parts_.host.codec().ReturnedFields(response_),
                           buffered_body_);
  }
  End();
}

void RelayCall::OnNotRun() {
  parts_.host.OnDecision(*this, "call not run",
                         response_info_.wrong_upstream
                             ? "another upstream has the address"
                             : "the upstream refused");
  if (response_info_.wrong_upstream) {
    parts_.host.OnWrongUpstream(upstream_);
  }
  if (TryAnotherUpstream(scheduling::CallOutcome::kCancelled)) {
    return;
  }
  Fail(ran_at_.empty() ? status::kServiceUnavailable : status::kBadGateway,
       "every upstream that was asked refused");
}

void RelayCall::OnFailed(LinkFailure failure) {
  if (state_ != State::kRunning) {
    return;
  }
  switch (failure) {
    case LinkFailure::kUnreachable:
      OnUnreachable();
      return;
    case LinkFailure::kForwarderFailed:
      OnForwarderFailed();
      return;
    case LinkFailure::kConnectionLimit:
      // The upstream is sound, so that it is not suspended.
      if (!TryAnotherUpstream(scheduling::CallOutcome::kCancelled)) {
        Fail(summary_.may_have_run ? status::kBadGateway
                                   : status::kServiceUnavailable,
             "the connection limits of the upstreams are reached");
      }
      return;
    case LinkFailure::kClosed:
    case LinkFailure::kReset:
    case LinkFailure::kMalformed:
      break;
  }
  parts_.host.OnConnectionBroken(*this, upstream_);
  ran_at_.insert(upstream_);
  if (!Retry()) {
    ReleaseUpstream(scheduling::CallOutcome::kFailed);
    Fail(status::kBadGateway, "the upstream broke its answer off");
  }
}

void RelayCall::OnUnreachable() {
  if (ran_at_.contains(upstream_)) {
    // The upstream has crashed, or only this instance cannot reach it.
    idle_timer_.stop();
    parts_.host.CloseLink(*this, std::exchange(link_, nullptr), {});
    parts_.host.CheckAlive(upstream_, [guard = QPointer<RelayCall>(this),
                                       upstream = upstream_](bool alive) {
      if (guard && guard->state_ == State::kRunning &&
          guard->link_ == nullptr && guard->upstream_ == upstream) {
        guard->OnAliveChecked(alive);
      }
    });
    return;
  }
  if (TryAnotherUpstream(scheduling::CallOutcome::kUnreachable)) {
    return;
  }
  Fail(
      summary_.may_have_run ? status::kBadGateway : status::kServiceUnavailable,
      "no upstream could be reached");
}

void RelayCall::OnAliveChecked(bool alive) {
  if (!alive) {
    ran_at_.erase(upstream_);
    if (++summary_.crashes >= kMaxCrashes) {
      ReleaseUpstream(scheduling::CallOutcome::kUnreachable);
      Fail(status::kBadGateway, "the request ended every upstream that ran it");
      return;
    }
    if (!TryAnotherUpstream(scheduling::CallOutcome::kUnreachable)) {
      Fail(status::kBadGateway, "no upstream could be reached");
    }
    return;
  }
  if (summary_.attempts >= kMaxAttempts || TimeLeft() < kMinTimeLeft) {
    ReleaseUpstream(scheduling::CallOutcome::kFailed);
    Fail(status::kBadGateway, "the upstream broke its answer off");
    return;
  }
  parts_.host.OnDecision(*this, "call sent again",
                         "same upstream, which others reach");
  BeginExchange(true);
}

void RelayCall::OnForwarderFailed() {
  parts_.host.OnDecision(*this, "call forwarded again",
                         "another instance did not carry it out");
  failed_forwarders_.insert(summary_.forwarder);
  // The attempt did not begin.
  --summary_.attempts;
  idle_timer_.stop();
  parts_.host.CloseLink(*this, std::exchange(link_, nullptr), {});
  if (failed_forwarders_.size() >= kMaxForwarders ||
      TimeLeft() <= kMinTimeLeft) {
    OnUnreachable();
    return;
  }
  BeginExchange(!parts_.route.IsRetryable());
}

void RelayCall::OnUpstreamIdle() {
  if (state_ != State::kRunning) {
    return;
  }
  parts_.host.CheckLink(*this, [guard = QPointer<RelayCall>(this), link = link_,
                                upstream = upstream_](ReachCheck result) {
    if (guard && guard->link_ == link && !guard->idle_timer_.isActive()) {
      guard->OnChecked(upstream, result);
    }
  });
}

void RelayCall::OnChecked(const std::string& upstream, ReachCheck result) {
  if (state_ != State::kRunning || upstream != upstream_) {
    return;
  }
  if (result == ReachCheck::kReachable) {
    idle_timer_.start(kNextIdleTimeout);
    return;
  }
  if (result == ReachCheck::kUnknown) {
    // The instance that carries the exchange out has failed, while the upstream
    // may still run the call.
    ran_at_.insert(upstream_);
    if (!Retry()) {
      ReleaseUpstream(scheduling::CallOutcome::kFailed);
      Fail(status::kBadGateway, "the instance that forwarded the call failed");
    }
    return;
  }
  // The link is cut: the upstream cannot deliver its response, and it drops the
  // call when the connection ends.
  summary_.may_have_run = true;
  ran_at_.erase(upstream_);
  parts_.host.OnDecision(*this, "call moved",
                         "the link to the upstream is cut");
  if (TryAnotherUpstream(scheduling::CallOutcome::kUnreachable)) {
    return;
  }
  Fail(status::kBadGateway, "the link to the upstream was cut");
}

bool RelayCall::TryAnotherUpstream(scheduling::CallOutcome outcome) {
  excluded_.emplace_back(upstream_);
  ReleaseUpstream(outcome);
  if (++not_run_attempts_ > kMaxNotRunAttempts || TimeLeft() <= kMinTimeLeft) {
    return false;
  }
  EnterQueue();
  return true;
}

bool RelayCall::Retry() {
  summary_.may_have_run = true;
  const bool plain_body_started =
      response_started_ && !streaming_ && !last_event_;
  if (!parts_.route.IsRetryable() || plain_body_started ||
      summary_.attempts >= kMaxAttempts || TimeLeft() < kMinTimeLeft) {
    return false;
  }
  if (ran_at_.size() < parts_.route.max_upstreams) {
    parts_.host.OnDecision(*this, "call sent again", "another upstream");
    excluded_.emplace_back(upstream_);
    ReleaseUpstream(scheduling::CallOutcome::kFailed);
    EnterQueue();
    return true;
  }
  if (parts_.host.IsDraining(*this)) {
    return false;
  }
  const bool is_restarted =
      parts_.host.StartTimeOf(upstream_) != upstream_started_at_ms_;
  if (is_restarted && binding_ &&
      parts_.host.VersionOf(upstream_) != binding_->version) {
    // The incarnation that ran the call has ended.
    ran_at_.erase(upstream_);
    return TryAnotherUpstream(scheduling::CallOutcome::kFailed);
  }
  if (!parts_.host.TakeRepeat(*this)) {
    CheckInsteadOfRepeat();
    return true;
  }
  // The limit of upstreams is reached, so only an upstream that may already
  // have run the call may run it again.
  parts_.host.OnDecision(*this, "call sent again", "same upstream");
  progress_timer_.stop();
  parts_.host.CloseLink(*this, std::exchange(link_, nullptr), {});
  BeginExchange(true);
  return true;
}

void RelayCall::CheckInsteadOfRepeat() {
  idle_timer_.stop();
  progress_timer_.stop();
  parts_.host.CloseLink(*this, std::exchange(link_, nullptr), {});
  parts_.host.CheckAlive(upstream_, [guard = QPointer<RelayCall>(this),
                                     upstream = upstream_](bool reachable) {
    if (!guard || guard->state_ != State::kRunning || guard->link_ != nullptr ||
        guard->upstream_ != upstream) {
      return;
    }
    if (!reachable) {
      guard->OnChecked(upstream, ReachCheck::kUnreachable);
      return;
    }
    guard->ReleaseUpstream(scheduling::CallOutcome::kFailed);
    guard->Fail(status::kBadGateway,
                "the request limit of the upstream allows no repeat");
  });
}

void RelayCall::ReleaseUpstream(scheduling::CallOutcome outcome) {
  idle_timer_.stop();
  progress_timer_.stop();
  if (link_ != nullptr) {
    parts_.host.CloseLink(*this, std::exchange(link_, nullptr), response_info_);
  }
  parts_.host.FinishAttempt(*this, outcome);
}

void RelayCall::OnCallerDisconnected() {
  summary_.reason = "the caller left";
  if (state_ == State::kQueued) {
    parts_.host.Dequeue(*this);
  } else if (state_ == State::kRunning) {
    ReleaseUpstream(scheduling::CallOutcome::kCancelled);
  }
  End();
}

void RelayCall::OnDeadline() {
  if (state_ == State::kQueued) {
    parts_.host.Dequeue(*this);
  }
  if (state_ == State::kRunning) {
    ReleaseUpstream(scheduling::CallOutcome::kCancelled);
    Fail(status::kGatewayTimeout, "the deadline passed at the upstream");
    return;
  }
  Fail(summary_.may_have_run ? status::kGatewayTimeout
                             : status::kServiceUnavailable,
       state_ == State::kClaiming ? "the deadline passed before the claim"
                                  : "the deadline passed in the queue");
}

void RelayCall::Refuse(int status, std::string reason,
                       std::optional<std::chrono::milliseconds> retry_after) {
  if (response_started_ || summary_.may_have_run) {
    Fail(status::kBadGateway, std::move(reason));
    return;
  }
  summary_.status = status;
  summary_.reason = std::move(reason);
  transport::HeaderList fields;
  if (retry_after) {
    fields.push_back({"Retry-After", Seconds(*retry_after)});
  }
  parts_.session.Respond(status, std::move(fields), summary_.reason);
  End();
}

void RelayCall::Fail(int status, std::string reason) {
  summary_.reason = std::move(reason);
  if (response_started_) {
    parts_.session.AbortBody();
  } else if (status == status::kServiceUnavailable) {
    Refuse(status, summary_.reason, WithinPatience(kRetryAfter));
    return;
  } else {
    summary_.status = status;
    parts_.session.Respond(status, {}, summary_.reason);
  }
  End();
}

void RelayCall::End() {
  if (std::exchange(state_, State::kEnded) == State::kEnded) {
    return;
  }
  deadline_timer_.stop();
  idle_timer_.stop();
  if (claim_) {
    parts_.host.ledger().Settle(*claim_, generated_tokens());
  }
  summary_.total = Elapsed(started_, parts_.host.clock().Now());
  parts_.host.OnCallEnded(*this);
}

}  // namespace hawthorn::relay

#include "relay/relay_call.h"

#include <QPointer>
#include <algorithm>
#include <utility>

#include "transport/http_status.h"

namespace hawthorn::relay {

namespace {

namespace status = transport::status;

/// Part of the time left that a claim on a budget may take.
constexpr int kClaimShare = 3;
/// Longest wait for a claim; an election takes about as long.
constexpr std::chrono::milliseconds kLongestClaim{1500};
/// Upstreams that one call may crash before it is given up.
constexpr int kMaxCrashes = 3;

std::chrono::milliseconds Elapsed(core::TimePoint from, core::TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

/// Seconds with fractions, as Retry-After is read here.
std::string Seconds(std::chrono::milliseconds time) {
  std::string text = std::to_string(static_cast<double>(time.count()) / 1000.0);
  text.resize(text.find('.') + 4);
  return text;
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

RelayCall::RelayCall(Parts parts, QObject* parent)
    : QObject(parent), parts_(std::move(parts)) {
  deadline_timer_.setSingleShot(true);
  deadline_timer_.setTimerType(Qt::PreciseTimer);
  connect(&deadline_timer_, &QTimer::timeout, this, &RelayCall::OnDeadline);
  silence_timer_.setSingleShot(true);
  connect(&silence_timer_, &QTimer::timeout, this, &RelayCall::OnSilence);
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
  if (parts_.head.patience) {
    allowed = std::min(allowed, *parts_.head.patience);
  }
  deadline_ = started_ + allowed;
  parts_.session.SetLeftHandler([this] { OnCallerLeft(); });
  if (allowed < kLeastTimeLeft) {
    Refuse(status::kServiceUnavailable, "no time left", std::nullopt);
    return;
  }
  if (const auto end = parts_.host.end(); end && deadline_ > *end) {
    Refuse(status::kServiceUnavailable,
           "the instance stops before the call may be over", kRetryAfter);
    return;
  }
  deadline_timer_.start(allowed);
  if (!parts_.head.token_budget || parts_.head.program.empty()) {
    EnterQueue();
    return;
  }
  claim_ = TokenClaim{parts_.head.program, parts_.head.request_id,
                      *parts_.head.token_budget, parts_.head.max_output_tokens};
  const auto patience = std::min(kLongestClaim, allowed / kClaimShare);
  // A claim that outlives its call is settled by End().
  parts_.host.ledger().Claim(*claim_, patience,
                             [guard = QPointer<RelayCall>(this)](
                                 const core::Result<ClaimAnswer>& answer) {
                               if (guard) {
                                 guard->OnClaimed(answer);
                               }
                             });
}

void RelayCall::OnClaimed(const core::Result<ClaimAnswer>& answer) {
  if (state_ != State::kClaiming) {
    return;
  }
  if (!core::IsOk(answer)) {
    const core::Error& error = core::ErrorOf(answer);
    Refuse(status::kServiceUnavailable, "budget unknown: " + error.message,
           error.retry_after.value_or(kRetryAfter));
    return;
  }
  summary_.budget_remaining = core::Value(answer).remaining;
  if (!core::Value(answer).granted) {
    claim_.reset();
    Refuse(status::kPaymentRequired, "budget spent", std::nullopt);
    return;
  }
  EnterQueue();
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
  Refuse(status::kServiceUnavailable, error.message,
         error.retry_after.value_or(kRetryAfter));
}

void RelayCall::Dispatch(const std::string& upstream) {
  state_ = State::kRunning;
  upstream_ = upstream;
  summary_.last_upstream = upstream;
  summary_.queued += Elapsed(queued_at_, parts_.host.clock().Now());
  BeginExchange(!parts_.route.MayRepeat());
}

void RelayCall::BeginExchange(bool must_be_fresh) {
  streaming_ = false;
  ignore_body_ = false;
  whole_body_.clear();
  framer_.Reset();
  answer_head_ = {};
  link_ = parts_.host.OpenLink(upstream_, must_be_fresh);
  if (link_ == nullptr) {
    OnFailed(LinkFailure::kUnreachable);
    return;
  }
  ++summary_.attempts;
  if (parts_.route.MayRepeat()) {
    silence_timer_.start(kFirstSilence);
  }
  ForwardHead forward;
  forward.upstream = upstream_;
  forward.time_left = TimeLeft();
  forward.resume_after = last_event_ ? last_event_ : parts_.head.resume_after;
  UpstreamLink::Events events;
  events.on_head = [this](const transport::ResponseHead& head,
                          std::optional<uint64_t> length) {
    OnHead(head, length);
  };
  events.on_body = [this](std::string_view bytes) { OnBody(bytes); };
  events.on_complete = [this] { OnComplete(); };
  events.on_failed = [this](LinkFailure failure) { OnFailed(failure); };
  link_->Start(parts_.host.codec().EncodeForward(parts_.request, forward),
               std::move(events));
}

void RelayCall::OnHead(const transport::ResponseHead& head,
                       std::optional<uint64_t> length) {
  answer_ = head;
  answer_head_ = parts_.host.codec().DecodeAnswer(head);
  parts_.host.OnAnswerHead(upstream_, answer_head_);
  const bool success = IsSuccess(head.status);
  const bool foreign = answer_head_.request_id != parts_.head.request_id &&
                       (success || !answer_head_.request_id.empty());
  const bool unproven =
      success && (!answer_head_.has_signature || answer_head_.encoded);
  if (foreign || unproven) {
    link_->Abandon();
    OnFailed(LinkFailure::kMalformed);
    return;
  }
  if (answer_head_.not_run || answer_head_.wrong_upstream) {
    ignore_body_ = true;
    return;
  }
  streaming_ = success && parts_.route.kind == CallKind::kStream;
  if (answer_begun_ && !streaming_) {
    link_->Abandon();
    OnFailed(LinkFailure::kMalformed);
    return;
  }
  if (!streaming_ && length && *length > kWholeBodyBytes) {
    answer_begun_ = true;
    parts_.session.BeginBody(
        {head.status, parts_.host.codec().ReturnedFields(head)}, length);
  }
}

void RelayCall::OnBody(std::string_view bytes) {
  if (ignore_body_ || state_ != State::kRunning) {
    return;
  }
  if (parts_.route.MayRepeat()) {
    silence_timer_.start(kFirstSilence);
  }
  if (streaming_) {
    ForwardEvents(bytes);
    return;
  }
  if (!answer_begun_) {
    whole_body_.append(bytes);
    if (whole_body_.size() <= kWholeBodyBytes) {
      return;
    }
    BeginAnswer();
    parts_.session.WriteBody(std::exchange(whole_body_, {}));
    return;
  }
  parts_.session.WriteBody(bytes);
}

void RelayCall::BeginAnswer() {
  if (std::exchange(answer_begun_, true)) {
    return;
  }
  summary_.status = answer_.status;
  parts_.session.BeginBody(
      {answer_.status, parts_.host.codec().ReturnedFields(answer_)},
      std::nullopt);
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
      summary_.to_first_event = Elapsed(started_, now);
    } else {
      summary_.longest_pause =
          std::max(summary_.longest_pause, Elapsed(last_event_at_, now));
    }
    last_event_at_ = now;
    out += event.bytes;
  }
  if (framer_.overflowed()) {
    link_->Abandon();
    OnFailed(LinkFailure::kMalformed);
    return;
  }
  if (out.empty()) {
    return;
  }
  BeginAnswer();
  parts_.session.WriteBody(out);
  if (parts_.session.pending_bytes() > kCallerHighWater && link_ != nullptr) {
    link_->SetReading(false);
    parts_.session.SetDrainedHandler([guard = QPointer<UpstreamLink>(link_)] {
      if (guard) {
        guard->SetReading(true);
      }
    });
  }
}

void RelayCall::OnComplete() {
  if (state_ != State::kRunning) {
    return;
  }
  if (answer_head_.not_run || answer_head_.wrong_upstream) {
    OnNotRun();
    return;
  }
  if (streaming_) {
    if (!framer_.rest().empty()) {
      // Every event ends with a blank line, so this run was cut short.
      OnFailed(LinkFailure::kClosed);
      return;
    }
    BeginAnswer();
    LeaveUpstream(scheduling::CallOutcome::kSucceeded);
    parts_.session.EndBody();
    End();
    return;
  }
  const bool failed = answer_.status >= status::kInternalServerError;
  if (failed && !answer_begun_) {
    ran_at_.insert(upstream_);
    if (ran_at_.size() < parts_.route.max_upstreams && TryAgain()) {
      return;
    }
  }
  LeaveUpstream(failed ? scheduling::CallOutcome::kFailed
                       : scheduling::CallOutcome::kSucceeded);
  summary_.status = answer_.status;
  if (answer_begun_) {
    parts_.session.EndBody();
  } else {
    parts_.session.Respond(answer_.status,
                           parts_.host.codec().ReturnedFields(answer_),
                           whole_body_);
  }
  End();
}

void RelayCall::OnNotRun() {
  parts_.host.OnDecision(*this, "call not run",
                         answer_head_.wrong_upstream
                             ? "another upstream has the address"
                             : "the upstream refused");
  if (answer_head_.wrong_upstream) {
    parts_.host.OnWrongUpstream(upstream_);
  }
  if (GoElsewhere(scheduling::CallOutcome::kCancelled)) {
    return;
  }
  Fail(ran_at_.empty() ? status::kServiceUnavailable : status::kBadGateway,
       "every upstream that was asked refused");
}

void RelayCall::OnFailed(LinkFailure failure) {
  if (state_ != State::kRunning) {
    return;
  }
  if (failure != LinkFailure::kUnreachable) {
    parts_.host.OnBroken(*this, upstream_);
    ran_at_.insert(upstream_);
    if (!TryAgain()) {
      LeaveUpstream(scheduling::CallOutcome::kFailed);
      Fail(status::kBadGateway, "the upstream broke its answer off");
    }
    return;
  }
  if (ran_at_.erase(upstream_) > 0 && ++summary_.crashes >= kMaxCrashes) {
    LeaveUpstream(scheduling::CallOutcome::kUnreachable);
    Fail(status::kBadGateway, "the request ended every upstream that ran it");
    return;
  }
  if (GoElsewhere(scheduling::CallOutcome::kUnreachable)) {
    return;
  }
  Fail(summary_.ran ? status::kBadGateway : status::kServiceUnavailable,
       "no upstream could be reached");
}

void RelayCall::OnSilence() {
  if (state_ != State::kRunning) {
    return;
  }
  parts_.host.CheckUpstream(upstream_, [guard = QPointer<RelayCall>(this),
                                        link = link_,
                                        upstream = upstream_](bool reachable) {
    if (guard && guard->link_ == link && !guard->silence_timer_.isActive()) {
      guard->OnChecked(upstream, reachable);
    }
  });
}

void RelayCall::OnChecked(const std::string& upstream, bool reachable) {
  if (state_ != State::kRunning || upstream != upstream_) {
    return;
  }
  if (reachable) {
    silence_timer_.start(kNextSilence);
    return;
  }
  // Cut off: whatever it still does reaches nobody, and it drops the call once
  // the connection ends.
  summary_.ran = true;
  ran_at_.erase(upstream_);
  parts_.host.OnDecision(*this, "call moved", "the upstream is cut off");
  if (GoElsewhere(scheduling::CallOutcome::kUnreachable)) {
    return;
  }
  Fail(status::kBadGateway, "the upstream was cut off");
}

bool RelayCall::GoElsewhere(scheduling::CallOutcome outcome) {
  excluded_.emplace_back(upstream_);
  LeaveUpstream(outcome);
  if (++not_run_ > kMaxNotRun || TimeLeft() <= kLeastTimeLeft) {
    return false;
  }
  EnterQueue();
  return true;
}

bool RelayCall::TryAgain() {
  summary_.ran = true;
  const bool raw_begun = answer_begun_ && !streaming_ && !last_event_;
  if (!parts_.route.MayRepeat() || raw_begun ||
      summary_.attempts >= kMaxAttempts || TimeLeft() < kLeastTimeLeft) {
    return false;
  }
  if (ran_at_.size() < parts_.route.max_upstreams) {
    parts_.host.OnDecision(*this, "call sent again", "another upstream");
    excluded_.emplace_back(upstream_);
    LeaveUpstream(scheduling::CallOutcome::kFailed);
    EnterQueue();
    return true;
  }
  // The limit of upstreams is reached: only one that has run it already may
  // run it once more.
  parts_.host.OnDecision(*this, "call sent again", "same upstream");
  parts_.host.CloseLink(upstream_, std::exchange(link_, nullptr), {});
  BeginExchange(true);
  return true;
}

void RelayCall::LeaveUpstream(scheduling::CallOutcome outcome) {
  silence_timer_.stop();
  if (link_ != nullptr) {
    parts_.host.CloseLink(upstream_, std::exchange(link_, nullptr),
                          answer_head_);
  }
  parts_.host.FinishAttempt(*this, outcome);
}

void RelayCall::OnCallerLeft() {
  summary_.reason = "the caller left";
  if (state_ == State::kQueued) {
    parts_.host.Dequeue(*this);
  } else if (state_ == State::kRunning) {
    LeaveUpstream(scheduling::CallOutcome::kCancelled);
  }
  End();
}

void RelayCall::OnDeadline() {
  if (state_ == State::kQueued) {
    parts_.host.Dequeue(*this);
  }
  if (state_ == State::kRunning) {
    LeaveUpstream(scheduling::CallOutcome::kCancelled);
    Fail(status::kGatewayTimeout, "the deadline passed at the upstream");
    return;
  }
  Fail(summary_.ran ? status::kGatewayTimeout : status::kServiceUnavailable,
       "the deadline passed in the queue");
}

void RelayCall::Refuse(int status, std::string reason,
                       std::optional<std::chrono::milliseconds> retry_after) {
  if (answer_begun_ || summary_.ran) {
    Fail(status::kBadGateway, std::move(reason));
    return;
  }
  summary_.status = status;
  summary_.reason = std::move(reason);
  transport::HeaderList fields;
  if (retry_after) {
    const auto longest =
        std::max(TimeLeft() / kLongestWaitShare, kLeastTimeLeft);
    fields.push_back({"Retry-After", Seconds(std::min(*retry_after, longest))});
  }
  parts_.session.Respond(status, std::move(fields), summary_.reason);
  End();
}

void RelayCall::Fail(int status, std::string reason) {
  summary_.reason = std::move(reason);
  if (answer_begun_) {
    parts_.session.AbortBody();
  } else if (status == status::kServiceUnavailable) {
    Refuse(status, summary_.reason, kRetryAfter);
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
  silence_timer_.stop();
  if (claim_) {
    parts_.host.ledger().Settle(*claim_, generated_tokens());
  }
  summary_.total = Elapsed(started_, parts_.host.clock().Now());
  parts_.host.OnCallEnded(*this);
}

}  // namespace hawthorn::relay

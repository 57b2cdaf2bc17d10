#include "relay/relay_call.h"

#include <QPointer>
#include <algorithm>
#include <limits>
#include <utility>

#include "relay/request_digest.h"
#include "transport/http_status.h"

namespace hawthorn::relay {

namespace {

namespace status = transport::status;

/// A claim on a budget may take the remaining time divided by this.
constexpr int kClaimTimeoutDivisor = 3;
/// Maximum timeout of a claim; about the duration of a leader election.
constexpr std::chrono::milliseconds kMaxClaimTimeout{1500};
/// Ledger entry of a stream that belongs to no program or has no budget.
constexpr const char* kStreamProgramPrefix = "stream ";
constexpr const char* kStopReason =
    "the instance stops before the call may be over";
constexpr int64_t kNoBudget = std::numeric_limits<int64_t>::max();

/// Formats a Retry-After value in seconds. Callers accept fractions.
std::string Seconds(std::chrono::milliseconds time) {
  std::string text = std::to_string(static_cast<double>(time.count()) / 1000.0);
  text.resize(text.find('.') + 4);
  return text;
}

}  // namespace

RelayCall::RelayCall(Parts parts, QObject* parent)
    : QObject(parent), parts_(std::move(parts)) {
  buffer_charge_.SetBudget(parts_.buffers);
  CountBuffers();
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
  return core::MillisecondsBetween(parts_.host.clock().Now(), deadline_);
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
    Refuse(status::kServiceUnavailable, kStopReason,
           WithinPatience(kRetryAfter));
    return;
  }
  if (RefuseUnkeepable()) {
    return;
  }
  deadline_timer_.start(allowed);
  TakeCredit();
}

void RelayCall::TakeCredit() {
  QuotaSource* quota = parts_.host.quota();
  if (quota == nullptr || !parts_.organisation.is_limited) {
    Admit();
    return;
  }
  quota->Take(parts_.organisation.name,
              [guard = QPointer<RelayCall>(this), quota,
               organisation = parts_.organisation.name,
               taken_at = started_](const core::Status& status) {
                if (guard && guard->state_ == State::kAwaitingCredit) {
                  guard->OnCredit(status);
                } else if (core::IsOk(status)) {
                  quota->GiveBack(organisation, taken_at);
                }
              });
}

void RelayCall::OnCredit(const core::Status& status) {
  if (core::IsOk(status)) {
    has_credit_ = true;
    Admit();
    return;
  }
  const core::Error& error = core::ErrorOf(status);
  const auto retry_after = error.retry_after.value_or(kRetryAfter);
  if (error.code == core::ErrorCode::kLimitExceeded) {
    // Exact, so it is told also if the caller will not wait as long.
    Refuse(status::kTooManyRequests, error.message, retry_after);
  } else {
    Refuse(status::kServiceUnavailable, error.message,
           WithinPatience(retry_after));
  }
}

void RelayCall::Admit() {
  state_ = State::kClaiming;
  if (parts_.route.retains_turns && !parts_.head.previous_turn.empty()) {
    ReadChain();
  }
  const bool has_budget =
      parts_.head.token_budget && !parts_.head.program.empty();
  if (!has_budget && !IsBindable()) {
    QueueWhenReady();
    return;
  }
  claim_ = MakeClaim(has_budget);
  Claim();
}

TokenClaim RelayCall::MakeClaim(bool has_budget) const {
  const CallHead& head = parts_.head;
  const std::string& first_request =
      head.resumed_request.empty() ? head.request_id : head.resumed_request;
  TokenClaim claim;
  claim.request_id = head.request_id;
  claim.program =
      has_budget ? head.program : kStreamProgramPrefix + first_request;
  claim.budget = has_budget ? *head.token_budget : kNoBudget;
  claim.tokens = has_budget ? head.max_output_tokens : 0;
  claim.retention = parts_.route.retention;
  if (!IsBindable()) {
    return claim;
  }
  claim.stream_owner = head.program.empty()
                           ? kStreamProgramPrefix + head.request_id
                           : head.program;
  claim.content = ContentDigestOf(parts_.request);
  if (!head.resume_after) {
    claim.stream = StreamBinding{parts_.host.ProposeVersion(*this), 1};
    return claim;
  }
  claim.resumes = true;
  claim.resumed_request = head.resumed_request;
  claim.resumed_owner = kStreamProgramPrefix + first_request;
  // The stream may have begun at another service of the route.
  for (const WeightedService& it : parts_.route.services) {
    claim.services.push_back(it.service);
  }
  return claim;
}

void RelayCall::Claim() {
  state_ = State::kClaiming;
  claim_pending_ = true;
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
  claim_pending_ = false;
  if (!core::IsOk(reply)) {
    const core::Error& error = core::ErrorOf(reply);
    if (error.execution == core::Execution::kNotRun) {
      // Nothing is reserved, and a settlement would cost the ledger as much.
      claim_.reset();
    }
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
  binding_ = core::Value(reply).stream;
  if (IsBindable() && parts_.head.resume_after && !binding_) {
    Refuse(status::kServiceUnavailable,
           "the version that began the stream is not known", std::nullopt);
    return;
  }
  QueueWhenReady();
}

void RelayCall::QueueWhenReady() {
  if (!claim_pending_ && !chain_pending_) {
    EnterQueue();
  }
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
  if (error.code == core::ErrorCode::kInvalidArgument) {
    // No upstream can hold the call; one that was asked would be full.
    Refuse(status::kServiceUnavailable, error.message, std::nullopt);
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
  summary_.queued +=
      core::MillisecondsBetween(queued_at_, parts_.host.clock().Now());
  failed_forwarders_.clear();
  BeginExchange(!parts_.route.IsRetryable());
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

void RelayCall::EndBy(core::TimePoint time) {
  if (state_ == State::kEnded || deadline_ <= time) {
    return;
  }
  const bool is_unsent =
      state_ != State::kRunning && sent_exchanges_ == 0 && !response_started_;
  if (is_unsent) {
    if (state_ == State::kQueued) {
      parts_.host.Dequeue(*this);
    }
    parts_.session.CloseAfterResponse();
    Refuse(status::kServiceUnavailable, kStopReason,
           WithinPatience(kRetryAfter));
    return;
  }
  ends_with_instance_ = true;
  deadline_ = time;
  deadline_timer_.start(std::max(TimeLeft(), std::chrono::milliseconds(0)));
}

const char* RelayCall::AwaitedText() const {
  switch (state_) {
    case State::kAwaitingCredit:
      return "before the request limit was known";
    case State::kClaiming:
      return "before the claim";
    case State::kRunning:
      return "at the upstream";
    case State::kRecording:
      return "before the turn was kept";
    default:
      return "in the queue";
  }
}

void RelayCall::OnDeadline() {
  const std::string reason =
      std::string(ends_with_instance_ ? "the instance stops, the call ended "
                                      : "the deadline passed ") +
      AwaitedText();
  if (state_ == State::kQueued) {
    parts_.host.Dequeue(*this);
  }
  if (state_ == State::kRunning) {
    ReleaseUpstream(scheduling::CallOutcome::kCancelled);
    Fail(status::kGatewayTimeout, reason);
    return;
  }
  Fail(summary_.may_have_run ? status::kGatewayTimeout
                             : status::kServiceUnavailable,
       reason);
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
  if (has_credit_ && sent_exchanges_ == 0) {
    parts_.host.quota()->GiveBack(parts_.organisation.name, started_);
  }
  summary_.total =
      core::MillisecondsBetween(started_, parts_.host.clock().Now());
  parts_.host.OnCallEnded(*this);
}

}  // namespace hawthorn::relay

#include <QPointer>
#include <utility>

#include "relay/relay_call.h"
#include "transport/http_status.h"

// The attempts of a call at upstreams, and what follows when one fails.
namespace hawthorn::relay {

namespace {

namespace status = transport::status;

constexpr char kRefusedResponse[] = "the upstream's response was refused";

/// A call is given up after it crashed this many upstreams.
constexpr int kMaxCrashes = 3;

}  // namespace

void RelayCall::BeginExchange(bool must_be_fresh) {
  streaming_ = false;
  ignore_body_ = false;
  buffered_body_.clear();
  lacks_event_ = lacks_event_ || (last_event_ && !framer_.rest().empty());
  framer_.Reset();
  has_identified_event_ = false;
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
  forward.has_organisations = parts_.organisation.has_organisations;
  forward.organisation = parts_.organisation.name;
  forward.time_left = TimeLeft();
  forward.resume_after = last_event_ ? last_event_ : parts_.head.resume_after;
  forward.history = chain_.text;
  ExchangeLink::Events events;
  events.on_head = [this](const transport::ResponseHead& head,
                          std::optional<uint64_t> length) {
    return OnHead(head, length);
  };
  events.on_body = [this](std::string_view bytes) { OnBody(bytes); };
  events.on_complete = [this] { OnComplete(); };
  events.on_failed = [this](LinkFailure failure, const std::string& reason) {
    OnFailed(failure, reason);
  };
  ++sent_exchanges_;
  was_sent_before_ = !sent_to_.insert(upstream_).second;
  link_->Start(parts_.host.codec().EncodeForward(parts_.request, forward),
               std::move(events));
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

void RelayCall::OnFailed(LinkFailure failure, const std::string& reason) {
  if (state_ != State::kRunning) {
    return;
  }
  const bool was_unsent = failure == LinkFailure::kUnreachable ||
                          failure == LinkFailure::kForwarderFailed;
  if (was_unsent && link_ != nullptr) {
    --sent_exchanges_;
    if (!was_sent_before_) {
      sent_to_.erase(upstream_);
    }
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
        FailUnsent("the connection limits of the upstreams are reached");
      }
      return;
    case LinkFailure::kClosed:
    case LinkFailure::kReset:
      if (MayBeUnread()) {
        OnUnreadResponse();
        return;
      }
      RetryOrFail("the upstream broke its answer off");
      return;
    case LinkFailure::kMalformed:
      parts_.host.OnDecision(*this, kMalformedResponse, reason);
      RetryOrFail(kRefusedResponse);
  }
}

void RelayCall::RejectResponse(const char* decision,
                               const std::string& reason) {
  if (state_ != State::kRunning) {
    return;
  }
  parts_.host.OnDecision(*this, decision, reason);
  link_->Abandon();
  RetryOrFail(kRefusedResponse);
}

void RelayCall::RetryOrFail(std::string reason) {
  parts_.host.OnConnectionBroken(*this, upstream_);
  ran_at_.insert(upstream_);
  if (!Retry()) {
    FailAttempt(std::move(reason));
  }
}

void RelayCall::OnUnreadResponse() {
  // Another attempt would wait for the same caller. The end of a response that
  // is held up says nothing about the upstream.
  summary_.may_have_run = true;
  parts_.host.OnDecision(*this, "response unread",
                         "the caller reads too slowly for its upstream");
  ReleaseUpstream(scheduling::CallOutcome::kCancelled);
  Fail(status::kBadGateway, "the upstream gave up a response that was unread");
}

void RelayCall::OnUnreachable() {
  if (ran_at_.contains(upstream_)) {
    // The upstream has crashed, or only this instance cannot reach it.
    CheckAlive(&RelayCall::OnAliveChecked);
    return;
  }
  if (!TryAnotherUpstream(scheduling::CallOutcome::kUnreachable)) {
    FailUnsent("no upstream could be reached");
  }
}

void RelayCall::DropLink() {
  idle_timer_.stop();
  progress_timer_.stop();
  parts_.host.CloseLink(*this, std::exchange(link_, nullptr), {});
}

void RelayCall::CheckAlive(void (RelayCall::*on_checked)(bool)) {
  DropLink();
  parts_.host.CheckAlive(
      upstream_, [guard = QPointer<RelayCall>(this), upstream = upstream_,
                  on_checked](bool alive) {
        if (guard && guard->state_ == State::kRunning &&
            guard->link_ == nullptr && guard->upstream_ == upstream) {
          (guard.data()->*on_checked)(alive);
        }
      });
}

void RelayCall::FailUnsent(std::string reason) {
  Fail(
      summary_.may_have_run ? status::kBadGateway : status::kServiceUnavailable,
      std::move(reason));
}

void RelayCall::FailAttempt(std::string reason) {
  ReleaseUpstream(scheduling::CallOutcome::kFailed);
  Fail(status::kBadGateway, std::move(reason));
}

void RelayCall::OnAliveChecked(bool alive) {
  if (!alive) {
    ran_at_.erase(upstream_);
    if (++summary_.crashes >= kMaxCrashes) {
      ReleaseUpstream(scheduling::CallOutcome::kUnreachable);
      Fail(status::kBadGateway, "the request ended every upstream that ran it");
    } else if (!TryAnotherUpstream(scheduling::CallOutcome::kUnreachable)) {
      FailUnsent("no upstream could be reached");
    }
    return;
  }
  if (summary_.attempts >= kMaxAttempts || TimeLeft() < kMinTimeLeft) {
    FailAttempt("the upstream broke its answer off");
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
  DropLink();
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
  if (IsHeldUp()) {
    // The caller holds the response up, not the upstream.
    idle_timer_.start(kNextIdleTimeout);
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
  if (result == ReachCheck::kReachable || result == ReachCheck::kSilent) {
    idle_timer_.start(kNextIdleTimeout);
    return;
  }
  if (result == ReachCheck::kHalfOpen) {
    // The upstream may have run the call, and its response is lost.
    ran_at_.insert(upstream_);
    if (!Retry()) {
      FailAttempt("the path to the upstream is half-open");
    }
    return;
  }
  if (result == ReachCheck::kUnknown) {
    // The instance that carries the exchange out has failed, while the upstream
    // may still run the call.
    ran_at_.insert(upstream_);
    if (!Retry()) {
      FailAttempt("the instance that forwarded the call failed");
    }
    return;
  }
  // The link is cut: the upstream cannot deliver its response, and it drops the
  // call when the connection ends.
  summary_.may_have_run = true;
  ran_at_.erase(upstream_);
  parts_.host.OnDecision(*this, "call moved",
                         "the link to the upstream is cut");
  if (has_unidentified_events_) {
    ReleaseUpstream(scheduling::CallOutcome::kUnreachable);
    Fail(status::kBadGateway, "the link to a stream without ids was cut");
    return;
  }
  if (!TryAnotherUpstream(scheduling::CallOutcome::kUnreachable)) {
    Fail(status::kBadGateway, "the link to the upstream was cut");
  }
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
      has_unidentified_events_ || summary_.attempts >= kMaxAttempts ||
      TimeLeft() < kMinTimeLeft) {
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
    // It may have ended, so that another one may run the call.
    CheckAlive(&RelayCall::OnAliveInsteadOfRepeat);
    return true;
  }
  // The limit of upstreams is reached, so only an upstream that may already
  // have run the call may run it again.
  parts_.host.OnDecision(*this, "call sent again", "same upstream");
  DropLink();
  BeginExchange(true);
  return true;
}

void RelayCall::OnAliveInsteadOfRepeat(bool alive) {
  if (alive) {
    FailAttempt("the request limit of the upstream allows no repeat");
  } else {
    OnChecked(upstream_, ReachCheck::kUnreachable);
  }
}

void RelayCall::ReleaseUpstream(scheduling::CallOutcome outcome) {
  idle_timer_.stop();
  progress_timer_.stop();
  if (link_ != nullptr) {
    parts_.host.CloseLink(*this, std::exchange(link_, nullptr), response_info_);
  }
  parts_.host.FinishAttempt(*this, outcome);
}

}  // namespace hawthorn::relay

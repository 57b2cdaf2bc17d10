#include <QPointer>
#include <algorithm>
#include <cctype>
#include <utility>

#include "relay/event_data.h"
#include "relay/relay_call.h"
#include "transport/http_status.h"

// The way of a response from an upstream to the caller of a call.
namespace hawthorn::relay {

namespace {

namespace status = transport::status;

constexpr std::string_view kHeadMethod = "HEAD";

/// Returns the type of a body in lower case and without parameters.
std::string MediaTypeOf(const transport::ResponseHead& head) {
  const std::string* value = transport::FindField(head.fields, "Content-Type");
  if (value == nullptr) {
    return {};
  }
  std::string type = value->substr(0, value->find_first_of("; \t"));
  std::transform(type.begin(), type.end(), type.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return type;
}

/// Whether an event has lines that neither are comments nor set the time of a
/// reconnection.
bool HasContent(std::string_view event) {
  while (!event.empty()) {
    const size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    const bool is_blank = line.empty() || line == "\r";
    if (!is_blank && line.front() != ':' && !line.starts_with("retry:")) {
      return true;
    }
  }
  return false;
}

}  // namespace

ResponseMatch RelayCall::OnHead(const transport::ResponseHead& head,
                                std::optional<uint64_t> length) {
  const ResponseInfo info = parts_.host.codec().DecodeResponse(head);
  parts_.host.OnResponseHead(*this, info);
  const bool success = transport::IsSuccess(head.status);
  if (!info.MayAnswer(parts_.head.request_id, link_->is_first_exchange())) {
    parts_.host.OnDecision(*this, "response skipped",
                           info.request_id.empty()
                               ? "it names no request"
                               : "it belongs to request " + info.request_id);
    return ResponseMatch::kForeign;
  }
  response_ = head;
  held_since_.reset();
  response_length_ = length;
  response_info_ = info;
  if (success && (info.request_id.empty() || !info.has_signature)) {
    RejectResponse(kMalformedResponse, "a success has no id or no signature");
    return ResponseMatch::kOwn;
  }
  if (success && info.encoded) {
    RejectResponse(kMalformedResponse, "the body has an encoding");
    return ResponseMatch::kOwn;
  }
  if (info.IsRefusal()) {
    if (!link_->is_only_send() && was_sent_before_) {
      RejectResponse("refusal not trusted",
                     "it may be that of an earlier attempt");
      return ResponseMatch::kOwn;
    }
    ignore_body_ = true;
    return ResponseMatch::kOwn;
  }
  streaming_ = success && parts_.route.kind == CallKind::kStream;
  if (response_started_ && !MayContinue(head)) {
    RejectResponse("response not joined",
                   "it does not continue the stream that has begun");
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

bool RelayCall::MayContinue(const transport::ResponseHead& head) const {
  return streaming_ && head.status == summary_.status &&
         MediaTypeOf(head) == media_type_;
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
    CountBuffers();
    if (buffered_body_.size() <= (buffer_charge_.IsOver()
                                      ? kMaxBufferedBodyWhenFull
                                      : kMaxBufferedBodyBytes)) {
      return;
    }
    BeginResponse();
    SendBody(std::exchange(buffered_body_, {}));
    CountBuffers();
    return;
  }
  SendBody(bytes);
}

void RelayCall::SendBody(std::string_view bytes) {
  parts_.session.WriteBody(bytes);
  const size_t high_water = buffer_charge_.IsOver() ? 0 : kCallerHighWater;
  if (parts_.session.pending_bytes() > high_water && link_ != nullptr) {
    HoldUp(std::min(high_water, kCallerLowWater));
  }
}

void RelayCall::HoldUp(size_t low_water) {
  link_->SetReading(false);
  if (!held_since_ || held_until_) {
    held_since_ = parts_.host.clock().Now();
    held_until_.reset();
  }
  parts_.session.SetDrainedHandler(
      [guard = QPointer<ExchangeLink>(link_),
       call = QPointer<RelayCall>(this)] {
        if (call && !call->held_until_) {
          call->held_until_ = call->parts_.host.clock().Now();
        }
        if (guard) {
          guard->SetReading(true);
        }
      },
      low_water);
}

bool RelayCall::MayBeUnread() const {
  if (!held_since_) {
    return false;
  }
  const core::TimePoint now = parts_.host.clock().Now();
  const core::TimePoint until = held_until_.value_or(now);
  return until - *held_since_ >= kUnreadTime && now - until < kUnreadTime;
}

void RelayCall::CountBuffers() {
  const transport::RelayRequest& request = parts_.request;
  buffer_charge_.Set(request.body.capacity() + request.target.capacity() +
                     buffered_body_.capacity() + framer_.rest().capacity());
}

void RelayCall::BeginResponse() {
  if (std::exchange(response_started_, true)) {
    return;
  }
  summary_.status = response_.status;
  media_type_ = MediaTypeOf(response_);
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
      has_identified_event_ = true;
      lacks_event_ = false;
      has_unidentified_events_ = false;
    } else if (HasContent(event.bytes)) {
      if (response_started_ && !has_identified_event_ && last_event_) {
        framer_.Reset();
        RejectResponse("response not joined", "its first event has no id");
        return;
      }
      has_unidentified_events_ = true;
    }
    if (summary_.events++ == 0) {
      summary_.stream_version = upstream_version_;
      summary_.time_to_first_event = core::MillisecondsBetween(started_, now);
    } else {
      summary_.longest_pause =
          std::max(summary_.longest_pause,
                   core::MillisecondsBetween(last_event_at_, now));
    }
    last_event_at_ = now;
    if (parts_.route.retains_turns) {
      AppendEventData(event.bytes, &turn_output_);
    }
    out += event.bytes;
  }
  CountBuffers();
  if (framer_.overflowed()) {
    RejectResponse(kMalformedResponse, "an event is too large");
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
  if (IsHeldUp()) {
    // The caller holds the stream up, not the upstream.
    progress_timer_.start(parts_.progress_timeout);
    return;
  }
  RejectResponse("stream stalled",
                 "the upstream sent no complete event in time");
}

void RelayCall::OnComplete() {
  if (state_ != State::kRunning) {
    return;
  }
  if (response_info_.IsRefusal()) {
    OnNotRun();
    return;
  }
  if (streaming_) {
    if (!framer_.rest().empty() || lacks_event_) {
      // Every event ends with a blank line, so the stream was truncated.
      OnFailed(LinkFailure::kClosed);
      return;
    }
    BeginResponse();
    ReleaseUpstream(scheduling::CallOutcome::kSucceeded);
    if (parts_.route.retains_turns) {
      RecordTurn();
      return;
    }
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

}  // namespace hawthorn::relay

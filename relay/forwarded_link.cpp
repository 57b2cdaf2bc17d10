#include "relay/forwarded_link.h"

#include <QPointer>
#include <utility>

#include "relay/forwarded_parts.h"

namespace hawthorn::relay {

ForwardedLink::ForwardedLink(peer::PeerTransport& peers, std::string forwarder,
                             schema::ForwardRequest request,
                             OutcomeHandler on_outcome, QObject* parent)
    : ExchangeLink(parent),
      peers_(peers),
      forwarder_(std::move(forwarder)),
      request_(std::move(request)),
      on_outcome_(std::move(on_outcome)) {}

ForwardedLink::~ForwardedLink() { ForwardedLink::Abandon(); }

void ForwardedLink::Start(std::string_view request, Events events) {
  events_ = std::move(events);
  is_open_ = true;
  request_.set_request(std::string(request));
  schema::PeerMessage message;
  *message.mutable_forward() = std::move(request_);
  const std::chrono::milliseconds time_left(message.forward().time_left_ms());
  const QPointer<ForwardedLink> guard(this);
  stream_ = peers_.OpenStream(core::InstanceId(forwarder_), std::move(message),
                              time_left,
                              {.on_chunk =
                                   [guard](const schema::PeerMessage& chunk) {
                                     if (guard && guard->is_open_) {
                                       guard->OnPart(chunk);
                                     }
                                   },
                               .on_end =
                                   [guard](const core::Status& status) {
                                     if (guard && guard->is_open_) {
                                       guard->OnStreamEnd(status);
                                     }
                                   }});
}

void ForwardedLink::Abandon() {
  events_ = {};
  if (std::exchange(is_open_, false)) {
    peers_.CancelStream(stream_);
  }
}

void ForwardedLink::SetReading(bool reading) {
  if (is_open_) {
    peers_.SetStreamReading(stream_, reading);
  }
}

void ForwardedLink::OnPart(const schema::PeerMessage& message) {
  const schema::ForwardedPart& part = message.forwarded();
  switch (part.part_case()) {
    case schema::ForwardedPart::kHead:
      OnHead(part.head());
      return;
    case schema::ForwardedPart::kBody:
      if (events_.on_body) {
        events_.on_body(part.body());
      }
      return;
    case schema::ForwardedPart::kEnd:
      OnEnd(part.end());
      return;
    case schema::ForwardedPart::PART_NOT_SET:
      Fail(LinkFailure::kMalformed, "a forwarded part is empty");
  }
}

void ForwardedLink::OnHead(const schema::ForwardedHead& encoded) {
  on_outcome_(true);
  is_only_send_ = encoded.is_only_send();
  const auto head = DecodeHead(encoded);
  if (!core::IsOk(head)) {
    Fail(LinkFailure::kMalformed, core::ErrorOf(head).message);
    return;
  }
  const auto length =
      encoded.has_length() ? std::optional(encoded.length()) : std::nullopt;
  const ResponseMatch match = events_.on_head
                                  ? events_.on_head(core::Value(head), length)
                                  : ResponseMatch::kOwn;
  if (match == ResponseMatch::kForeign) {
    Fail(LinkFailure::kMalformed,
         "the forwarded response is to another request");
  }
}

void ForwardedLink::OnEnd(schema::ForwardEnd end) {
  if (end != schema::FORWARD_END_COMPLETE) {
    const LinkFailure failure = FailureOf(end);
    if (failure == LinkFailure::kForwarderFailed) {
      on_outcome_(false);
    }
    Fail(failure, ToString(end));
    return;
  }
  const Events events = std::exchange(events_, {});
  Abandon();
  if (events.on_complete) {
    events.on_complete();
  }
}

void ForwardedLink::OnStreamEnd(const core::Status& status) {
  on_outcome_(false);
  const bool not_received =
      !core::IsOk(status) &&
      core::ErrorOf(status).execution == core::Execution::kNotRun;
  Fail(not_received ? LinkFailure::kForwarderFailed : LinkFailure::kReset);
}

void ForwardedLink::Fail(LinkFailure failure, const std::string& reason) {
  const Events events = std::exchange(events_, {});
  Abandon();
  if (events.on_failed) {
    events.on_failed(failure, reason);
  }
}

}  // namespace hawthorn::relay

#include "relay/upstream_link.h"

#include <utility>

namespace hawthorn::relay {

UpstreamLink::UpstreamLink(const transport::SocketAddress& address,
                           transport::BufferBudget* buffers, QObject* parent)
    : ExchangeLink(parent) {
  socket_.SetBudget(buffers);
  timer_.setSingleShot(true);
  connect(&timer_, &QTimer::timeout, this, [this] {
    if (connected_) {
      Fail(LinkFailure::kMalformed, "only responses to other requests came");
    } else {
      Fail(LinkFailure::kUnreachable);
    }
  });
  socket_.SetEvents({.on_connected =
                         [this] {
                           connected_ = true;
                           timer_.stop();
                           ReportCheck(true);
                         },
                     .on_bytes = [this](std::string_view it) { OnBytes(it); },
                     .on_end = [this](transport::SocketEnd it) { OnEnd(it); },
                     .on_drained = {}});
  timer_.start(kConnectTimeout);
  socket_.Connect(address);
}

void UpstreamLink::CheckConnection(std::function<void(bool)> on_checked) {
  on_checked_ = std::move(on_checked);
}

void UpstreamLink::ReportCheck(bool connected) {
  reusable_ = reusable_ || (connected && !reader_);
  if (const auto on_checked = std::exchange(on_checked_, nullptr)) {
    on_checked(connected);
  }
}

void UpstreamLink::Start(std::string_view request, Events events) {
  reusable_ = false;
  ++exchanges_;
  foreign_responses_ = 0;
  events_ = std::move(events);
  body_rule_ = request.starts_with("HEAD ") ? transport::BodyRule::kNone
                                            : transport::BodyRule::kAsFramed;
  StartReader();
  socket_.Write(request);
}

void UpstreamLink::StartReader() {
  skipping_ = false;
  transport::ResponseReader::Events events;
  events.on_head = [this](const transport::ResponseHead& head,
                          std::optional<uint64_t> length) {
    timer_.stop();
    skipping_ = events_.on_head &&
                events_.on_head(head, length) == ResponseMatch::kForeign;
  };
  events.on_body = [this](std::string_view bytes) {
    if (events_.on_body && !skipping_) {
      events_.on_body(bytes);
    }
  };
  reader_ = std::make_unique<transport::ResponseReader>(std::move(events),
                                                        body_rule_);
}

void UpstreamLink::Abandon() {
  events_ = {};
  on_idle_end_ = nullptr;
  reusable_ = false;
  timer_.stop();
  socket_.Close();
}

void UpstreamLink::OnBytes(std::string_view bytes) {
  if (on_bytes_) {
    on_bytes_();
  }
  if (!reader_) {
    // Bytes outside an exchange do not belong to any request.
    socket_.Close();
    OnEnd(transport::SocketEnd::kReset);
    return;
  }
  while (true) {
    const core::Result<size_t> used = reader_->Feed(bytes);
    if (!socket_.is_open()) {
      return;
    }
    if (!core::IsOk(used)) {
      Fail(LinkFailure::kMalformed, core::ErrorOf(used).message);
      return;
    }
    if (!reader_->complete()) {
      return;
    }
    bytes.remove_prefix(core::Value(used));
    if (!skipping_) {
      break;
    }
    if (++foreign_responses_ > kMaxForeignResponses) {
      Fail(LinkFailure::kMalformed, "too many responses to other requests");
      return;
    }
    StartReader();
    timer_.start(kOwnResponseTimeout);
    if (bytes.empty()) {
      return;
    }
  }
  reusable_ = reader_->keep_alive() && bytes.empty() && foreign_responses_ == 0;
  Complete();
}

void UpstreamLink::OnEnd(transport::SocketEnd how) {
  timer_.stop();
  reusable_ = false;
  if (!reader_) {
    ReportCheck(false);
    if (on_idle_end_) {
      on_idle_end_();
    }
    return;
  }
  if (!connected_) {
    Fail(LinkFailure::kUnreachable);
    return;
  }
  if (how == transport::SocketEnd::kReset) {
    Fail(LinkFailure::kReset);
    return;
  }
  if (!skipping_ && core::IsOk(reader_->FeedEnd())) {
    Complete();
    return;
  }
  Fail(LinkFailure::kClosed);
}

void UpstreamLink::Complete() {
  const Events events = std::exchange(events_, {});
  reader_.reset();
  SetReading(true);
  if (events.on_complete) {
    events.on_complete();
  }
}

void UpstreamLink::Fail(LinkFailure failure, const std::string& reason) {
  const Events events = std::exchange(events_, {});
  const bool connected = connected_;
  Abandon();
  ReportCheck(connected);
  if (events.on_failed) {
    events.on_failed(failure, reason);
  }
}

}  // namespace hawthorn::relay

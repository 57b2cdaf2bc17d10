#include "relay/forward_server.h"

#include <QPointer>
#include <algorithm>
#include <deque>
#include <utility>

#include "relay/forwarded_parts.h"

namespace hawthorn::relay {

namespace {

/// Size of the largest part of a body.
constexpr size_t kMaxPartBytes = size_t{64} * 1024;

void ReplyEnd(const peer::Replier& replier, schema::ForwardEnd end) {
  replier.Reply(Pack(EncodeEnd(end)));
}

}  // namespace

/// One exchange for another instance.
class ForwardServer::Exchange final : public QObject {
 public:
  Exchange(ForwardServer& server, schema::ForwardRequest request,
           std::string origin, peer::Replier replier, UpstreamLink* link)
      : QObject(&server),
        server_(server),
        request_(std::move(request)),
        origin_(std::move(origin)),
        replier_(std::move(replier)),
        link_(link) {
    deadline_timer_.setSingleShot(true);
    connect(&deadline_timer_, &QTimer::timeout, this,
            [this] { End(schema::FORWARD_END_RESET); });
  }

  void Start() {
    const QPointer<Exchange> guard(this);
    replier_.OnCancel([guard] {
      if (guard) {
        guard->OnOriginLeft();
      }
    });
    deadline_timer_.start(std::chrono::milliseconds(
        std::max<int64_t>(request_.time_left_ms(), 0)));
    UpstreamLink::Events events;
    events.on_head = [this](const transport::ResponseHead& head,
                            std::optional<uint64_t> length) {
      return OnHead(head, length);
    };
    events.on_body = [this](std::string_view bytes) { OnBody(bytes); };
    events.on_complete = [this] { End(schema::FORWARD_END_COMPLETE); };
    events.on_failed = [this](LinkFailure failure, const std::string& reason) {
      const bool is_partitioned =
          failure == LinkFailure::kUnreachable && !server_.host_.HadContact();
      End(is_partitioned ? schema::FORWARD_END_PARTITIONED : EndOf(failure),
          reason);
    };
    link_->Start(std::exchange(*request_.mutable_request(), {}),
                 std::move(events));
  }

 private:
  ResponseMatch OnHead(const transport::ResponseHead& head,
                       std::optional<uint64_t> length) {
    const ResponseInfo info = server_.host_.codec().DecodeResponse(head);
    if (!info.MayAnswer(request_.request_id(), link_->is_first_exchange())) {
      return ResponseMatch::kForeign;
    }
    response_ = info;
    schema::ForwardedPart part = EncodeHead(head, length);
    part.mutable_head()->set_is_only_send(link_->is_only_send());
    Send(std::move(part));
    return ResponseMatch::kOwn;
  }

  void OnBody(std::string_view bytes) {
    while (!bytes.empty()) {
      schema::ForwardedPart part;
      part.set_body(std::string(bytes.substr(0, kMaxPartBytes)));
      bytes.remove_prefix(part.body().size());
      Send(std::move(part));
    }
  }

  void Send(schema::ForwardedPart part) {
    waiting_.push_back(Pack(std::move(part)));
    Flush();
  }

  void Flush() {
    while (!waiting_.empty()) {
      const core::Status sent = replier_.SendChunk(waiting_.front());
      if (core::IsOk(sent)) {
        waiting_.pop_front();
        continue;
      }
      if (core::ErrorOf(sent).code != core::ErrorCode::kOverloaded) {
        // OnCancel follows.
        return;
      }
      if (link_ != nullptr) {
        link_->SetReading(false);
      }
      replier_.OnWritable([guard = QPointer<Exchange>(this)] {
        if (guard) {
          guard->Flush();
        }
      });
      return;
    }
    if (end_ != schema::FORWARD_END_UNSPECIFIED) {
      replier_.Finish();
      Leave();
    } else if (link_ != nullptr) {
      link_->SetReading(true);
    }
  }

  /// Sends how the exchange ended, after everything that was received.
  void End(schema::ForwardEnd end, const std::string& reason = {}) {
    if (end_ != schema::FORWARD_END_UNSPECIFIED || link_ == nullptr) {
      return;
    }
    end_ = end;
    ReleaseLink(end, reason);
    Send(EncodeEnd(end));
  }

  void OnOriginLeft() {
    ReleaseLink(schema::FORWARD_END_UNSPECIFIED);
    Leave();
  }

  void ReleaseLink(schema::ForwardEnd end, const std::string& reason = {}) {
    deadline_timer_.stop();
    if (link_ == nullptr) {
      return;
    }
    if (end != schema::FORWARD_END_COMPLETE) {
      link_->Abandon();
    }
    server_.host_.CloseForwarded(request_, std::exchange(link_, nullptr),
                                 response_);
    server_.host_.OnForwardedEnded(request_, origin_, end, reason);
  }

  void Leave() { server_.OnEnded(this); }

  ForwardServer& server_;
  schema::ForwardRequest request_;
  std::string origin_;
  peer::Replier replier_;
  UpstreamLink* link_;
  ResponseInfo response_;
  QTimer deadline_timer_;
  /// Parts that the queue of the link to the other instance had no room for.
  std::deque<schema::PeerMessage> waiting_;
  schema::ForwardEnd end_ = schema::FORWARD_END_UNSPECIFIED;
};

ForwardServer::ForwardServer(ForwardHost& host, QObject* parent)
    : QObject(parent), host_(host) {}

ForwardServer::~ForwardServer() = default;

void ForwardServer::OnRequest(const schema::ForwardRequest& request,
                              const std::string& origin,
                              const peer::Replier& replier) {
  if (draining_) {
    ReplyEnd(replier, schema::FORWARD_END_REFUSED);
    return;
  }
  if (request.request().empty()) {
    host_.CheckForwarded(
        request, [replier](schema::ForwardEnd end) { ReplyEnd(replier, end); });
    return;
  }
  if (exchanges_.size() >= kMaxExchanges || request.time_left_ms() <= 0) {
    ReplyEnd(replier, schema::FORWARD_END_REFUSED);
    return;
  }
  const auto opened = host_.OpenForwarded(request);
  if (std::holds_alternative<schema::ForwardEnd>(opened)) {
    ReplyEnd(replier, std::get<schema::ForwardEnd>(opened));
    return;
  }
  auto* exchange = new Exchange(*this, request, origin, replier,
                                std::get<UpstreamLink*>(opened));
  exchanges_.insert(exchange);
  exchange->Start();
}

void ForwardServer::OnEnded(Exchange* exchange) {
  if (exchanges_.erase(exchange) > 0) {
    exchange->deleteLater();
  }
}

}  // namespace hawthorn::relay

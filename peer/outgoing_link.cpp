#include "peer/outgoing_link.h"

#include <QTcpSocket>
#include <algorithm>
#include <utility>

#include "peer/errors.h"

namespace hawthorn::peer::detail {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr uint32_t kMaxBackoffDoublings = 16;

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

core::Error Unavailable(const std::string& message, core::Execution execution) {
  return MakeError(core::ErrorCode::kUnavailable, message, execution);
}

}  // namespace

OutgoingLink::OutgoingLink(core::InstanceId peer, PeerEndpoint endpoint,
                           LinkContext& context, uint64_t seed, QObject* parent)
    : QObject(parent),
      peer_(std::move(peer)),
      endpoint_(std::move(endpoint)),
      context_(context),
      random_(seed) {}

OutgoingLink::~OutgoingLink() = default;

core::Status OutgoingLink::Submit(Exchange exchange) {
  const core::TimePoint now = Now();
  if (exchange.body.size() > context_.options.max_message_bytes) {
    ++context_.counters.refused_messages;
    return MakeError(core::ErrorCode::kInvalidArgument,
                     "the message is too large", core::Execution::kNotRun);
  }
  if (QueuedBytes() + exchange.body.size() >
      context_.options.max_queued_bytes) {
    ++context_.counters.refused_messages;
    return MakeError(core::ErrorCode::kOverloaded,
                     "too many bytes wait for instance '" + peer_.text() + "'",
                     core::Execution::kNotRun);
  }
  if (state_ == State::kBackoff && now < retry_at_) {
    core::Error error =
        Unavailable("instance '" + peer_.text() + "' is not reachable",
                    core::Execution::kNotRun);
    error.retry_after = duration_cast<milliseconds>(retry_at_ - now);
    return error;
  }
  last_used_ = now;
  exchange.deadline = now + exchange.timeout;
  exchange.reader = ChunkReader(context_.options.max_message_bytes);
  if (state_ == State::kOpen) {
    Start(std::move(exchange));
    return std::monostate();
  }
  pending_bytes_ += exchange.body.size();
  pending_.push_back(std::move(exchange));
  if (state_ == State::kIdle || state_ == State::kBackoff) {
    Connect();
  }
  return std::monostate();
}

void OutgoingLink::Cancel(uint64_t number) {
  const auto matches = [number](const Exchange& it) {
    return it.number == number;
  };
  const auto pending = std::ranges::find_if(pending_, matches);
  if (pending != pending_.end()) {
    pending_bytes_ -= pending->body.size();
    pending_.erase(pending);
    return;
  }
  for (const auto& [stream, exchange] : active_) {
    if (matches(exchange)) {
      session_->Reset(stream, NGHTTP2_CANCEL);
      socket_->ScheduleFlush();
      active_.erase(stream);
      return;
    }
  }
}

void OutgoingLink::SetReading(uint64_t number, bool reading) {
  for (const auto& [stream, exchange] : active_) {
    if (exchange.number == number) {
      session_->SetReading(stream, reading);
      socket_->ScheduleFlush();
      return;
    }
  }
}

void OutgoingLink::ApplyCut() {
  if (socket_) {
    socket_->SetFrozen(context_.cut_peers.contains(peer_));
  }
}

void OutgoingLink::CheckTimeouts(core::TimePoint now) {
  CheckExchangeDeadlines(now);
  if (state_ == State::kBackoff && now >= retry_at_) {
    state_ = State::kIdle;
  }
  if (!socket_) {
    return;
  }
  const bool opening = state_ != State::kOpen;
  if (opening && now - state_since_ >= context_.options.handshake_timeout) {
    socket_->Close();
    return;
  }
  const bool unused = active_.empty() && pending_.empty();
  if (unused && now - last_used_ >= context_.options.idle_timeout) {
    socket_->Close();
    return;
  }
  socket_->CheckTimeout();
}

void OutgoingLink::FailAll(const char* reason) {
  FailPending(reason);
  FailActive(reason);
}

void OutgoingLink::Connect() {
  state_ = State::kConnecting;
  state_since_ = Now();
  handshake_ = std::make_unique<HandshakeInitiator>(
      context_.options.self, peer_, context_.options.key, NewNonce());
  reader_ = HandshakeReader();
  socket_ = std::make_unique<LinkSocket>(
      new QTcpSocket(), context_,
      LinkSocket::Events{
          .on_connected = [this] { OnConnected(); },
          .on_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
          .on_closed = [this] { OnClosed(); }},
      nullptr);
  ApplyCut();
  if (!socket_->is_frozen()) {
    socket_->Connect(endpoint_.host.toString(), endpoint_.port);
  }
}

void OutgoingLink::OnConnected() {
  state_ = State::kHandshake;
  socket_->Write(FrameHandshake(handshake_->Hello()));
}

void OutgoingLink::OnBytes(std::string_view bytes) {
  if (state_ == State::kHandshake) {
    OnHandshakeBytes(bytes);
  } else {
    OnSessionBytes(bytes);
  }
}

void OutgoingLink::OnHandshakeBytes(std::string_view bytes) {
  reader_.Append(bytes);
  const auto next = reader_.Next();
  if (core::IsOk(next) && !core::Value(next).has_value()) {
    return;
  }
  const auto proof =
      core::IsOk(next)
          ? handshake_->OnChallenge(*core::Value(next))
          : core::Result<schema::LinkHandshake>(core::ErrorOf(next));
  if (!core::IsOk(proof)) {
    ++context_.counters.refused_handshakes;
    socket_->Close();
    return;
  }
  state_ = State::kProofSent;
  socket_->Write(FrameHandshake(core::Value(proof)));
  session_ = std::make_unique<Http2Session>(
      Http2Session::Role::kClient, Http2Limits{.max_open_streams = 1}, *this);
  socket_->Attach(session_.get());
  const std::string rest = reader_.TakeRemaining();
  if (!rest.empty()) {
    OnSessionBytes(rest);
  }
}

void OutgoingLink::OnSessionBytes(std::string_view bytes) {
  // The acceptor starts HTTP/2 only after it has checked the proof, so its
  // first bytes show that both sides are authenticated.
  if (state_ == State::kProofSent) {
    state_ = State::kOpen;
    failures_ = 0;
    ++context_.counters.links_opened;
    StartPending();
  }
  if (!session_->Receive(bytes)) {
    ++context_.counters.protocol_errors;
    socket_->Close();
  }
}

void OutgoingLink::OnClosed() {
  const bool was_open = state_ == State::kOpen;
  const bool was_unused = was_open && active_.empty() && pending_.empty();
  if (was_open) {
    ++context_.counters.links_closed;
  }
  // This runs within a callback of the socket.
  socket_.release()->deleteLater();
  state_ = was_unused ? State::kIdle : State::kBackoff;
  retry_at_ = Now() + NextBackoff();
  FailActive("the link broke");
  session_.reset();
  FailPending("instance is not reachable");
}

void OutgoingLink::Start(Exchange exchange) {
  const char* path = exchange.expects_reply ? kRequestPath : kOneWayPath;
  const auto order = exchange.expects_reply ? Http2Session::Order::kAny
                                            : Http2Session::Order::kInOrder;
  const int32_t stream =
      session_->SubmitRequest(path, std::exchange(exchange.body, {}), order);
  if (stream < 0) {
    // All stream ids are used; a new connection starts with new ones.
    EndExchange(std::move(exchange),
                Unavailable("the link is used up", core::Execution::kNotRun));
    socket_->Close();
    return;
  }
  ++context_.counters.messages_out;
  active_.emplace(stream, std::move(exchange));
  socket_->ScheduleFlush();
}

void OutgoingLink::StartPending() {
  std::deque<Exchange> pending = std::exchange(pending_, {});
  pending_bytes_ = 0;
  for (Exchange& it : pending) {
    Start(std::move(it));
  }
}

void OutgoingLink::EndExchange(Exchange exchange, const core::Status& status) {
  if (exchange.on_end) {
    context_.defer(
        [on_end = std::move(exchange.on_end), status] { on_end(status); });
  }
}

void OutgoingLink::FailActive(const char* reason) {
  for (auto& [stream, exchange] : std::exchange(active_, {})) {
    const bool sent = session_ == nullptr || session_->IsFullySent(stream);
    EndExchange(std::move(exchange),
                Unavailable(reason, sent ? core::Execution::kUnknown
                                         : core::Execution::kNotRun));
  }
}

void OutgoingLink::FailPending(const char* reason) {
  pending_bytes_ = 0;
  for (Exchange& exchange : std::exchange(pending_, {})) {
    if (!exchange.expects_reply) {
      ++context_.counters.refused_messages;
    }
    core::Error error = Unavailable(reason, core::Execution::kNotRun);
    if (retry_at_ > Now()) {
      error.retry_after = duration_cast<milliseconds>(retry_at_ - Now());
    }
    EndExchange(std::move(exchange), error);
  }
}

void OutgoingLink::CheckExchangeDeadlines(core::TimePoint now) {
  const auto is_over = [now](const Exchange& it) {
    return it.timeout.count() > 0 && now >= it.deadline;
  };
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (!is_over(*it)) {
      ++it;
      continue;
    }
    pending_bytes_ -= it->body.size();
    EndExchange(std::move(*it), MakeError(core::ErrorCode::kDeadlineExceeded,
                                          "no link was there in time",
                                          core::Execution::kNotRun));
    it = pending_.erase(it);
  }
  for (auto it = active_.begin(); it != active_.end();) {
    if (!is_over(it->second)) {
      ++it;
      continue;
    }
    const bool sent = session_->IsFullySent(it->first);
    session_->Reset(it->first, NGHTTP2_CANCEL);
    socket_->ScheduleFlush();
    EndExchange(
        std::move(it->second),
        MakeError(core::ErrorCode::kDeadlineExceeded, "no reply came in time",
                  sent ? core::Execution::kUnknown : core::Execution::kNotRun));
    it = active_.erase(it);
  }
}

void OutgoingLink::ReadChunks(int32_t stream) {
  const auto it = active_.find(stream);
  if (it == active_.end()) {
    return;
  }
  Exchange& exchange = it->second;
  while (true) {
    auto next = exchange.reader.Next();
    if (!core::IsOk(next)) {
      session_->Reset(stream, NGHTTP2_PROTOCOL_ERROR);
      EndExchange(std::move(exchange), core::ErrorOf(next));
      active_.erase(it);
      return;
    }
    if (!core::Value(next).has_value()) {
      return;
    }
    schema::PeerMessage chunk = *core::TakeValue(std::move(next));
    chunk.set_from(peer_.text());
    ++context_.counters.messages_in;
    exchange.deadline = Now() + exchange.timeout;
    if (chunk.has_failure()) {
      EndExchange(std::move(exchange), FromFailure(chunk.failure()));
      active_.erase(it);
      return;
    }
    context_.defer([on_chunk = exchange.on_chunk, chunk = std::move(chunk)] {
      on_chunk(chunk);
    });
    if (exchange.single_reply) {
      EndExchange(std::move(exchange), std::monostate());
      active_.erase(it);
      return;
    }
  }
}

milliseconds OutgoingLink::NextBackoff() {
  const uint32_t doublings = std::min(failures_, kMaxBackoffDoublings);
  ++failures_;
  const milliseconds max_backoff = context_.options.max_backoff;
  const milliseconds full = std::min(
      max_backoff, context_.options.initial_backoff * (1U << doublings));
  const int64_t half = full.count() / 2;
  std::uniform_int_distribution<int64_t> jitter(0, half);
  return milliseconds(full.count() - half + jitter(random_));
}

size_t OutgoingLink::QueuedBytes() const {
  return pending_bytes_ + (session_ ? session_->queued_bytes() : 0);
}

void OutgoingLink::OnHeader(int32_t /*stream*/, std::string_view /*name*/,
                            std::string_view /*value*/) {}

void OutgoingLink::OnBody(int32_t stream, std::string_view bytes) {
  const auto it = active_.find(stream);
  if (it != active_.end()) {
    it->second.reader.Append(bytes);
    ReadChunks(stream);
  }
}

void OutgoingLink::OnBodyEnd(int32_t stream) {
  const auto it = active_.find(stream);
  if (it == active_.end()) {
    return;
  }
  Exchange exchange = std::move(it->second);
  active_.erase(it);
  const bool whole = !exchange.single_reply && exchange.reader.empty();
  if (!exchange.expects_reply || whole) {
    EndExchange(std::move(exchange), std::monostate());
    return;
  }
  EndExchange(std::move(exchange), Unavailable("the reply was cut short",
                                               core::Execution::kUnknown));
}

void OutgoingLink::OnStreamClosed(int32_t stream, uint32_t error,
                                  bool fully_sent) {
  const auto it = active_.find(stream);
  if (it == active_.end()) {
    return;
  }
  const bool not_run = error == NGHTTP2_REFUSED_STREAM || !fully_sent;
  Exchange exchange = std::move(it->second);
  active_.erase(it);
  EndExchange(std::move(exchange),
              Unavailable("instance '" + peer_.text() + "' ended the request",
                          not_run ? core::Execution::kNotRun
                                  : core::Execution::kUnknown));
}

void OutgoingLink::OnBodyConsumed(int32_t /*stream*/) {}

}  // namespace hawthorn::peer::detail

#include "peer/incoming_link.h"

#include <utility>

#include "peer/errors.h"
#include "peer/reply_codec.h"
#include "peer/reply_stream.h"

namespace hawthorn::peer::detail {

IncomingLink::IncomingLink(QTcpSocket* socket, LinkContext& context,
                           std::function<void(IncomingLink*)> on_closed,
                           QObject* parent)
    : QObject(parent),
      context_(context),
      on_closed_(std::move(on_closed)),
      handshake_(context.options.self, context.options.key, NewNonce()),
      socket_(socket, context,
              {.on_connected = nullptr,
               .on_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
               .on_closed = [this] { OnClosed(); }},
              nullptr) {
  age_.start();
}

IncomingLink::~IncomingLink() {
  for (auto& [stream, incoming] : streams_) {
    if (const auto reply = incoming.reply.lock()) {
      reply->Cancel();
    }
  }
}

void IncomingLink::ApplyCut() {
  socket_.SetFrozen(context_.cut_peers.contains(peer_));
}

void IncomingLink::CheckTimeouts() {
  const std::chrono::milliseconds age(age_.elapsed());
  if (!is_authenticated() && age >= context_.options.handshake_timeout) {
    if (socket_.is_frozen()) {
      socket_.Close();
    } else {
      Refuse();
    }
    return;
  }
  socket_.CheckTimeout();
}

core::Status IncomingLink::SendChunk(int32_t stream,
                                     const schema::PeerMessage& chunk) {
  const auto it = streams_.find(stream);
  if (it == streams_.end() || session_ == nullptr) {
    return MakeError(core::ErrorCode::kUnavailable,
                     "the caller no longer waits", core::Execution::kNotRun);
  }
  const size_t size = chunk.ByteSizeLong();
  const size_t queued = session_->QueuedBytes(stream);
  const bool too_large = size > context_.options.max_message_bytes;
  const bool full =
      queued > 0 && queued + size > context_.options.max_stream_queued_bytes;
  if (too_large || full) {
    ++context_.counters.refused_messages;
    return MakeError(too_large ? core::ErrorCode::kInvalidArgument
                               : core::ErrorCode::kOverloaded,
                     too_large ? "the message is too large"
                               : "too many bytes wait for the caller",
                     core::Execution::kNotRun);
  }
  SendFinalChunk(stream, chunk);
  return std::monostate();
}

void IncomingLink::SendFinalChunk(int32_t stream,
                                  const schema::PeerMessage& chunk) {
  const auto it = streams_.find(stream);
  if (it == streams_.end() || session_ == nullptr) {
    return;
  }
  if (!std::exchange(it->second.reply_started, true)) {
    session_->SubmitReply(stream);
  }
  session_->AppendBody(stream, FrameChunk(chunk));
  ++context_.counters.messages_out;
  socket_.ScheduleFlush();
}

void IncomingLink::EndReply(int32_t stream) {
  const auto it = streams_.find(stream);
  if (it == streams_.end() || session_ == nullptr) {
    return;
  }
  if (!std::exchange(it->second.reply_started, true)) {
    session_->SubmitReply(stream);
  }
  session_->EndBody(stream);
  socket_.ScheduleFlush();
}

void IncomingLink::OnBytes(std::string_view bytes) {
  if (session_ == nullptr) {
    OnHandshakeBytes(bytes);
    return;
  }
  if (!session_->Receive(bytes)) {
    ++context_.counters.protocol_errors;
    socket_.Close();
  }
}

void IncomingLink::OnHandshakeBytes(std::string_view bytes) {
  reader_.Append(bytes);
  while (session_ == nullptr) {
    const auto next = reader_.Next();
    if (!core::IsOk(next)) {
      Refuse();
      return;
    }
    if (!core::Value(next).has_value()) {
      return;
    }
    if (!OnHandshakeMessage(*core::Value(next))) {
      Refuse();
      return;
    }
    if (socket_.is_frozen()) {
      return;
    }
  }
  const std::string rest = reader_.TakeRemaining();
  if (!rest.empty()) {
    OnBytes(rest);
  }
}

bool IncomingLink::OnHandshakeMessage(const schema::LinkHandshake& message) {
  if (!std::exchange(hello_received_, true)) {
    const auto challenge = handshake_.OnHello(message);
    peer_ = core::InstanceId(message.from());
    const bool admitted = context_.options.accept_unknown_peers ||
                          context_.known_peers.contains(peer_);
    if (!core::IsOk(challenge) || !admitted) {
      return false;
    }
    ApplyCut();
    if (!socket_.is_frozen()) {
      socket_.Write(FrameHandshake(core::Value(challenge)));
    }
    return true;
  }
  if (!core::IsOk(handshake_.OnProof(message))) {
    return false;
  }
  session_ = std::make_unique<Http2Session>(
      Http2Session::Role::kServer,
      Http2Limits{.max_open_streams = context_.options.max_open_streams},
      *this);
  ++context_.counters.links_opened;
  socket_.Attach(session_.get());
  return true;
}

void IncomingLink::Refuse() {
  ++context_.counters.refused_handshakes;
  socket_.Close();
}

void IncomingLink::OnClosed() {
  if (is_authenticated()) {
    ++context_.counters.links_closed;
  }
  on_closed_(this);
}

void IncomingLink::OnHeader(int32_t stream, std::string_view name,
                            std::string_view value) {
  if (name == ":path") {
    streams_[stream].expects_reply = value == kRequestPath;
  }
}

void IncomingLink::OnBody(int32_t stream, std::string_view bytes) {
  const auto it = streams_.find(stream);
  if (it == streams_.end()) {
    return;
  }
  std::string& body = it->second.body;
  // The message was not received completely, so it was not handled. The error
  // code of the reset tells the peer so.
  if (body.size() + bytes.size() > context_.options.max_message_bytes ||
      buffered_bytes_ + bytes.size() > context_.options.max_queued_bytes) {
    ++context_.counters.refused_messages;
    buffered_bytes_ -= body.size();
    streams_.erase(it);
    session_->Reset(stream, NGHTTP2_REFUSED_STREAM);
    return;
  }
  body.append(bytes);
  buffered_bytes_ += bytes.size();
}

void IncomingLink::OnBodyEnd(int32_t stream) {
  const auto it = streams_.find(stream);
  if (it != streams_.end() && !std::exchange(it->second.dispatched, true)) {
    Dispatch(stream, it->second);
  }
}

void IncomingLink::Dispatch(int32_t stream, Incoming& incoming) {
  schema::PeerMessage message;
  const bool valid = message.ParseFromString(incoming.body);
  buffered_bytes_ -= incoming.body.size();
  incoming.body = {};
  if (!valid) {
    ++context_.counters.protocol_errors;
    session_->Reset(stream, NGHTTP2_PROTOCOL_ERROR);
    return;
  }
  ++context_.counters.messages_in;
  message.set_from(peer_.text());
  std::shared_ptr<ReplyStream> reply;
  if (incoming.expects_reply) {
    reply = std::make_shared<ReplyStream>(this, context_, stream);
    incoming.reply = reply;
  } else {
    session_->SubmitEmptyReply(stream);
  }
  // The handler may reply at once, which the session does not allow here.
  context_.defer([&context = context_, message = std::move(message),
                  replier = Replier(std::move(reply))]() mutable {
    if (context.handler) {
      context.handler(std::move(message), std::move(replier));
    }
  });
}

void IncomingLink::OnStreamClosed(int32_t stream, uint32_t /*error*/,
                                  bool /*fully_sent*/) {
  const auto it = streams_.find(stream);
  if (it == streams_.end()) {
    return;
  }
  buffered_bytes_ -= it->second.body.size();
  const std::shared_ptr<ReplyStream> reply = it->second.reply.lock();
  streams_.erase(it);
  if (reply) {
    reply->Cancel();
  }
}

void IncomingLink::OnBodyConsumed(int32_t stream) {
  const auto it = streams_.find(stream);
  if (it == streams_.end()) {
    return;
  }
  const size_t half = context_.options.max_stream_queued_bytes / 2;
  const std::shared_ptr<ReplyStream> reply = it->second.reply.lock();
  if (reply && session_->QueuedBytes(stream) <= half) {
    reply->NotifyWritable();
  }
}

}  // namespace hawthorn::peer::detail

#include "peer/reply_stream.h"

#include <utility>

#include "peer/errors.h"
#include "peer/replier.h"

namespace hawthorn::peer {

namespace detail {

ReplyStream::ReplyStream(IncomingLink* link, LinkContext& context,
                         int32_t stream)
    : link_(link), defer_(context.defer), stream_(stream) {}

ReplyStream::~ReplyStream() {
  if (IsOpen()) {
    Fail(MakeError(core::ErrorCode::kInternal, "the peer gave no answer",
                   core::Execution::kUnknown));
  }
}

core::Status ReplyStream::SendChunk(const schema::PeerMessage& chunk) {
  if (!IsOpen()) {
    return MakeError(core::ErrorCode::kUnavailable,
                     "the caller no longer waits", core::Execution::kNotRun);
  }
  return link_->SendChunk(stream_, chunk);
}

void ReplyStream::Finish() {
  if (IsOpen()) {
    ended_ = true;
    link_->EndReply(stream_);
  }
}

void ReplyStream::Fail(const core::Error& error) {
  if (!IsOpen()) {
    return;
  }
  schema::PeerMessage message;
  *message.mutable_failure() = ToFailure(error);
  link_->SendFinalChunk(stream_, message);
  Finish();
}

void ReplyStream::OnCancel(std::function<void()> callback) {
  if (cancelled_ || link_ == nullptr) {
    defer_(std::move(callback));
    return;
  }
  on_cancel_ = std::move(callback);
}

void ReplyStream::OnWritable(std::function<void()> callback) {
  on_writable_ = std::move(callback);
}

void ReplyStream::Cancel() {
  if (ended_ || std::exchange(cancelled_, true)) {
    return;
  }
  on_writable_ = nullptr;
  if (on_cancel_) {
    defer_(std::exchange(on_cancel_, nullptr));
  }
}

void ReplyStream::NotifyWritable() {
  if (on_writable_) {
    defer_(std::exchange(on_writable_, nullptr));
  }
}

}  // namespace detail

namespace {

core::Error NoReplyExpected() {
  return MakeError(core::ErrorCode::kUnavailable,
                   "the message expects no reply", core::Execution::kNotRun);
}

}  // namespace

Replier::Replier(std::shared_ptr<ReplySink> sink) : sink_(std::move(sink)) {}

core::Status Replier::SendChunk(const schema::PeerMessage& chunk) const {
  return sink_ ? sink_->SendChunk(chunk) : core::Status(NoReplyExpected());
}

void Replier::Finish() const {
  if (sink_) {
    sink_->Finish();
  }
}

void Replier::Reply(const schema::PeerMessage& reply) const {
  if (!sink_) {
    return;
  }
  const core::Status sent = sink_->SendChunk(reply);
  if (core::IsOk(sent)) {
    sink_->Finish();
  } else {
    core::Error error = core::ErrorOf(sent);
    error.execution = core::Execution::kRan;
    sink_->Fail(error);
  }
}

void Replier::Fail(const core::Error& error) const {
  if (sink_) {
    sink_->Fail(error);
  }
}

bool Replier::IsOpen() const { return sink_ && sink_->IsOpen(); }

void Replier::OnCancel(std::function<void()> callback) const {
  if (sink_) {
    sink_->OnCancel(std::move(callback));
  }
}

void Replier::OnWritable(std::function<void()> callback) const {
  if (sink_) {
    sink_->OnWritable(std::move(callback));
  }
}

}  // namespace hawthorn::peer

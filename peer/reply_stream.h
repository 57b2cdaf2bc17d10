#pragma once

#include <QPointer>
#include <cstdint>
#include <functional>

#include "core/error.h"
#include "peer/incoming_link.h"
#include "peer/reply_sink.h"
#include "schema/generated/peer.pb.h"

namespace hawthorn::peer::detail {

/// Reply over a link, shared by the copies of one Replier.
class ReplyStream final : public ReplySink {
 public:
  ReplyStream(IncomingLink* link, LinkContext& context, int32_t stream);
  ~ReplyStream() override;

  ReplyStream(const ReplyStream&) = delete;
  ReplyStream& operator=(const ReplyStream&) = delete;

  core::Status SendChunk(const schema::PeerMessage& chunk) override;
  void Finish() override;
  void Fail(const core::Error& error) override;
  bool IsOpen() const override {
    return !ended_ && !cancelled_ && link_ != nullptr;
  }
  void OnCancel(std::function<void()> callback) override;
  void OnWritable(std::function<void()> callback) override;

  /// Called when the requester has cancelled or its link has closed.
  void Cancel();
  /// Called when the queue has room for chunks again.
  void NotifyWritable();

 private:
  QPointer<IncomingLink> link_;
  std::function<void(std::function<void()>)> defer_;
  int32_t stream_;
  bool ended_ = false;
  bool cancelled_ = false;
  std::function<void()> on_cancel_;
  std::function<void()> on_writable_;
};

}  // namespace hawthorn::peer::detail

#pragma once

#include <QPointer>
#include <cstdint>
#include <functional>

#include "core/error.h"
#include "peer/incoming_link.h"
#include "schema/generated/peer.pb.h"

namespace hawthorn::peer::detail {

/// State that the copies of one Replier share. Its destructor ends the reply
/// with an error if it has not ended.
class ReplyStream {
 public:
  ReplyStream(IncomingLink* link, LinkContext& context, int32_t stream);
  ~ReplyStream();

  ReplyStream(const ReplyStream&) = delete;
  ReplyStream& operator=(const ReplyStream&) = delete;

  core::Status SendChunk(const schema::PeerMessage& chunk);
  void Finish();
  void Fail(const core::Error& error);
  bool IsOpen() const { return !ended_ && !cancelled_ && link_ != nullptr; }
  void OnCancel(std::function<void()> callback);
  void OnWritable(std::function<void()> callback);

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

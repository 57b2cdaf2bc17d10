#pragma once

#include <functional>
#include <memory>

#include "core/error.h"
#include "schema/generated/peer.pb.h"

// The answering side of a request from a peer.
namespace hawthorn::peer {

namespace detail {
class ReplyStream;
}  // namespace detail

/// Answers one incoming message, at once or later, on the thread of the
/// transport. Copies answer the same message. When the last copy goes away
/// without an end, the caller gets an error with Execution::kUnknown.
class Replier {
 public:
  /// Answers nothing; for messages that want no reply.
  Replier() = default;
  explicit Replier(std::shared_ptr<detail::ReplyStream> stream);

  /// Sends one piece of a reply that has several. Returns kOverloaded while
  /// too many bytes wait, and kUnavailable when the caller is gone.
  core::Status SendPiece(const schema::PeerMessage& chunk) const;
  /// Ends a reply that was sent in pieces.
  void Finish() const;
  /// Sends the only piece and ends the reply.
  void Reply(const schema::PeerMessage& reply) const;
  /// Ends the reply with an error.
  void Fail(const core::Error& error) const;

  /// Returns whether the caller still waits.
  bool IsOpen() const;
  /// Calls `callback` once when the caller cancels or its link breaks.
  void OnCancel(std::function<void()> callback) const;
  /// Calls `callback` once when pieces may be sent again after kOverloaded.
  void OnWritable(std::function<void()> callback) const;

 private:
  std::shared_ptr<detail::ReplyStream> stream_;
};

}  // namespace hawthorn::peer

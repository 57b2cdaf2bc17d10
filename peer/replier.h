#pragma once

#include <functional>
#include <memory>

#include "core/error.h"
#include "schema/generated/peer.pb.h"

// Replies to requests from peers.
namespace hawthorn::peer {

class ReplySink;

/// Replies to one incoming message, at once or later, on the thread of the
/// transport. Copies reply to the same message. If the last copy is destroyed
/// before the reply has ended, the peer receives an error with
/// Execution::kUnknown.
class Replier {
 public:
  /// Replier of a one-way message; sends nothing.
  Replier() = default;
  explicit Replier(std::shared_ptr<ReplySink> sink);

  /// Sends one chunk of a reply that has several. Returns kOverloaded while too
  /// many bytes are queued, and kUnavailable if the requester has cancelled or
  /// its link is closed.
  core::Status SendChunk(const schema::PeerMessage& chunk) const;
  /// Ends a reply that was sent in chunks.
  void Finish() const;
  /// Sends a reply of one chunk and ends it.
  void Reply(const schema::PeerMessage& reply) const;
  /// Ends the reply with an error.
  void Fail(const core::Error& error) const;

  /// Returns whether the requester still waits for the reply.
  bool IsOpen() const;
  /// Calls `callback` once if the requester cancels or its link closes.
  void OnCancel(std::function<void()> callback) const;
  /// Calls `callback` once when chunks can be sent again after kOverloaded.
  void OnWritable(std::function<void()> callback) const;

 private:
  std::shared_ptr<ReplySink> sink_;
};

}  // namespace hawthorn::peer

#pragma once

#include <functional>

#include "core/error.h"
#include "schema/generated/peer.pb.h"

namespace hawthorn::peer {

/// Where a Replier sends the reply to one message. Its destructor ends the
/// reply with an error if it has not ended. The functions are those of Replier.
class ReplySink {
 public:
  virtual ~ReplySink() = default;

  virtual core::Status SendChunk(const schema::PeerMessage& chunk) = 0;
  virtual void Finish() = 0;
  virtual void Fail(const core::Error& error) = 0;
  virtual bool IsOpen() const = 0;
  virtual void OnCancel(std::function<void()> callback) = 0;
  virtual void OnWritable(std::function<void()> callback) = 0;
};

}  // namespace hawthorn::peer

#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

// HTTP/2 session without I/O: takes received bytes, returns bytes to send, and
// reports events.
namespace hawthorn::peer {

/// Receives the events of a session. An implementation may submit frames to the
/// session, but must not call Receive or TakeOutput.
class Http2Events {
 public:
  virtual ~Http2Events() = default;

  /// A header field of `stream` was received.
  virtual void OnHeader(int32_t stream, std::string_view name,
                        std::string_view value) = 0;
  /// Bytes of the body of `stream` were received.
  virtual void OnBody(int32_t stream, std::string_view bytes) = 0;
  /// The body of `stream` was received completely.
  virtual void OnBodyEnd(int32_t stream) = 0;
  /// `stream` is closed; `error` is an HTTP/2 error code. `fully_sent` tells
  /// whether TakeOutput has returned the whole local body.
  virtual void OnStreamClosed(int32_t stream, uint32_t error,
                              bool fully_sent) = 0;
  /// TakeOutput has taken bytes of the local body of `stream`.
  virtual void OnBodyConsumed(int32_t stream) = 0;
};

/// Limits that a session announces to its peer.
struct Http2Limits {
  uint32_t max_open_streams = 0;
};

/// Client or server side of a session. nghttp2 handles flow control.
class Http2Session {
 public:
  enum class Role { kClient, kServer };

  Http2Session(Role role, Http2Limits limits, Http2Events& events);
  ~Http2Session();

  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  /// Processes received bytes. Returns false on a protocol error.
  bool Receive(std::string_view bytes);
  /// Returns the bytes to send next, up to about `max_bytes`; empty if there
  /// are none.
  std::string TakeOutput(size_t max_bytes);

  /// Returns whether the session neither receives nor sends any more bytes.
  bool IsEnded() const;

  /// When the body of a request is sent: as soon as possible, interleaved with
  /// others, or after the bodies of all earlier requests that are sent in
  /// order.
  enum class Order { kAny, kInOrder };

  /// Opens a stream with a complete body. Returns its id, or a negative number
  /// on failure.
  int32_t SubmitRequest(const char* path, std::string body, Order order);
  /// Replies to `stream` without a body.
  void SubmitEmptyReply(int32_t stream);
  /// Starts the reply to `stream`; AppendBody adds its body.
  void SubmitReply(int32_t stream);
  /// Appends to the body of `stream`.
  void AppendBody(int32_t stream, std::string_view bytes);
  /// Ends the body of `stream`.
  void EndBody(int32_t stream);
  /// Resets `stream`.
  void Reset(int32_t stream, uint32_t error);
  /// Sends a ping.
  void Ping();
  /// Pauses or resumes the flow of the peer's body of `stream`: while paused,
  /// the peer sends no more than the window of the stream. Client side only.
  void SetReading(int32_t stream, bool reading);

  /// Returns whether TakeOutput has taken the whole body of `stream`.
  bool IsFullySent(int32_t stream) const;
  /// Returns the bytes of the body of `stream` that TakeOutput has not taken
  /// yet.
  size_t QueuedBytes(int32_t stream) const;
  /// Sum of QueuedBytes of all streams.
  size_t queued_bytes() const { return queued_bytes_; }

 private:
  struct Body {
    std::string bytes;
    size_t offset = 0;
    bool ended = false;
    bool fully_sent = false;
    bool deferred = false;
    /// It is one of in_order_.
    bool waits_in_order = false;
  };
  struct Callbacks;

  ssize_t ReadBody(int32_t stream, uint8_t* buf, size_t size, uint32_t* flags);
  void Close(int32_t stream, uint32_t error);
  /// Lets the next body that is sent in order go on.
  void ResumeInOrder();

  /// Opens the flow control windows again for received bytes of a body.
  void Consume(int32_t stream, size_t size);

  Http2Events& events_;
  Role role_;
  nghttp2_session* session_ = nullptr;
  /// Bytes received on paused streams, for which the window stays closed.
  std::map<int32_t, size_t> paused_;
  std::map<int32_t, Body> bodies_;
  /// Streams whose bodies are sent in order and are not fully sent.
  std::deque<int32_t> in_order_;
  size_t queued_bytes_ = 0;
};

}  // namespace hawthorn::peer

#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

// One HTTP/2 session without I/O: bytes in, bytes out, and events.
namespace hawthorn::peer {

/// Receives the events of a session. An event may submit to the session, but
/// must not call Receive or TakeOutput.
class Http2Events {
 public:
  virtual ~Http2Events() = default;

  /// A header field of `stream` arrived.
  virtual void OnHeader(int32_t stream, std::string_view name,
                        std::string_view value) = 0;
  /// Bytes of the body of `stream` arrived.
  virtual void OnBody(int32_t stream, std::string_view bytes) = 0;
  /// The body of `stream` is complete.
  virtual void OnBodyEnd(int32_t stream) = 0;
  /// `stream` is closed; `error` is an HTTP/2 error code. `fully_sent` tells
  /// whether the whole own body was handed out by TakeOutput.
  virtual void OnStreamClosed(int32_t stream, uint32_t error,
                              bool fully_sent) = 0;
  /// Bytes of the own body of `stream` were handed out by TakeOutput.
  virtual void OnBodyConsumed(int32_t stream) = 0;
};

/// Limits that a session announces to the other side.
struct Http2Limits {
  uint32_t max_open_streams = 0;
};

/// Client or server side of a session. Flow control is kept by the library.
class Http2Session {
 public:
  enum class Role { kClient, kServer };

  Http2Session(Role role, Http2Limits limits, Http2Events& events);
  ~Http2Session();

  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  /// Takes received bytes; returns false if they break the protocol.
  bool Receive(std::string_view bytes);
  /// Bytes to send next, about `max_bytes` at most; empty if there are none.
  std::string TakeOutput(size_t max_bytes);

  /// Returns whether the session takes and gives no bytes any more.
  bool IsEnded() const;

  /// Opens a stream with a whole body; returns its number, or a negative one.
  int32_t SubmitRequest(const char* path, std::string body);
  /// Answers `stream` without a body.
  void SubmitEmptyReply(int32_t stream);
  /// Starts the answer to `stream`; its body follows by AppendBody.
  void SubmitReply(int32_t stream);
  /// Appends to the body of `stream`.
  void AppendBody(int32_t stream, std::string_view bytes);
  /// Ends the body of `stream`.
  void EndBody(int32_t stream);
  /// Resets `stream`.
  void Reset(int32_t stream, uint32_t error);
  /// Sends a ping.
  void Ping();

  /// Returns whether the whole body of `stream` was handed out.
  bool IsFullySent(int32_t stream) const;
  /// Bytes of the body of `stream` that were not handed out yet.
  size_t QueuedBytes(int32_t stream) const;
  /// The same for all streams.
  size_t queued_bytes() const { return queued_bytes_; }

 private:
  struct Body {
    std::string bytes;
    size_t offset = 0;
    bool ended = false;
    bool fully_sent = false;
    bool deferred = false;
  };
  struct Callbacks;

  ssize_t ReadBody(int32_t stream, uint8_t* buf, size_t size, uint32_t* flags);
  void Close(int32_t stream, uint32_t error);

  Http2Events& events_;
  nghttp2_session* session_ = nullptr;
  std::map<int32_t, Body> bodies_;
  size_t queued_bytes_ = 0;
};

}  // namespace hawthorn::peer

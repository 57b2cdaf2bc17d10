#include "peer/http2_session.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace hawthorn::peer {

namespace {

constexpr uint32_t kStreamWindowBytes = 1U << 20;
constexpr int32_t kConnectionWindowBytes = 4 << 20;
constexpr size_t kCompactAfterBytes = size_t{64} * 1024;

nghttp2_nv Field(std::string_view name, std::string_view value) {
  // nghttp2 copies both, but its interface takes non-const pointers.
  auto* name_bytes = reinterpret_cast<uint8_t*>(const_cast<char*>(name.data()));
  auto* value_bytes =
      reinterpret_cast<uint8_t*>(const_cast<char*>(value.data()));
  return {name_bytes, value_bytes, name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

std::string_view View(const uint8_t* bytes, size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

Http2Session* Self(void* user_data) {
  return static_cast<Http2Session*>(user_data);
}

}  // namespace

/// Callbacks for nghttp2.
struct Http2Session::Callbacks {
  static int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      const uint8_t* name, size_t name_size,
                      const uint8_t* value, size_t value_size,
                      uint8_t /*flags*/, void* user_data) {
    Self(user_data)->events_.OnHeader(
        frame->hd.stream_id, View(name, name_size), View(value, value_size));
    return 0;
  }

  static int OnData(nghttp2_session* /*session*/, uint8_t /*flags*/,
                    int32_t stream, const uint8_t* bytes, size_t size,
                    void* user_data) {
    Self(user_data)->events_.OnBody(stream, View(bytes, size));
    Self(user_data)->Consume(stream, size);
    return 0;
  }

  static int OnFrame(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                     void* user_data) {
    const bool carries_body =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (carries_body && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      Self(user_data)->events_.OnBodyEnd(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnClose(nghttp2_session* /*session*/, int32_t stream,
                     uint32_t error, void* user_data) {
    Self(user_data)->Close(stream, error);
    return 0;
  }

  static ssize_t Read(nghttp2_session* /*session*/, int32_t stream,
                      uint8_t* buf, size_t size, uint32_t* flags,
                      nghttp2_data_source* /*source*/, void* user_data) {
    return Self(user_data)->ReadBody(stream, buf, size, flags);
  }
};

Http2Session::Http2Session(Role role, Http2Limits limits, Http2Events& events)
    : events_(events), role_(role) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         Callbacks::OnClose);
  if (role == Role::kClient) {
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_session_client_new2(&session_, callbacks, this, option);
    nghttp2_option_del(option);
  } else {
    nghttp2_session_server_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 3> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.max_open_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

Http2Session::~Http2Session() { nghttp2_session_del(session_); }

bool Http2Session::Receive(std::string_view bytes) {
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  const ssize_t taken = nghttp2_session_mem_recv(session_, data, bytes.size());
  return taken >= 0;
}

std::string Http2Session::TakeOutput(size_t max_bytes) {
  std::string output;
  while (output.size() < max_bytes) {
    ResumeInOrder();
    const uint8_t* bytes = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_, &bytes);
    if (size <= 0) {
      break;
    }
    output.append(View(bytes, static_cast<size_t>(size)));
  }
  return output;
}

bool Http2Session::IsEnded() const {
  return nghttp2_session_want_read(session_) == 0 &&
         nghttp2_session_want_write(session_) == 0;
}

int32_t Http2Session::SubmitRequest(const char* path, std::string body,
                                    Order order) {
  const std::array<nghttp2_nv, 4> fields = {
      Field(":method", "POST"),
      Field(":scheme", "http"),
      Field(":authority", "peer"),
      Field(":path", path),
  };
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::Read;
  const int32_t stream = nghttp2_submit_request(
      session_, nullptr, fields.data(), fields.size(), &provider, nullptr);
  if (stream >= 0) {
    queued_bytes_ += body.size();
    Body& queued = bodies_[stream];
    queued.bytes = std::move(body);
    queued.ended = true;
    if (order == Order::kInOrder) {
      queued.waits_in_order = true;
      in_order_.push_back(stream);
    }
  }
  return stream;
}

void Http2Session::SubmitEmptyReply(int32_t stream) {
  const nghttp2_nv status = Field(":status", "204");
  nghttp2_submit_response(session_, stream, &status, 1, nullptr);
}

void Http2Session::SubmitReply(int32_t stream) {
  const nghttp2_nv status = Field(":status", "200");
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::Read;
  bodies_.try_emplace(stream);
  nghttp2_submit_response(session_, stream, &status, 1, &provider);
}

void Http2Session::AppendBody(int32_t stream, std::string_view bytes) {
  const auto it = bodies_.find(stream);
  if (it == bodies_.end()) {
    return;
  }
  it->second.bytes.append(bytes);
  queued_bytes_ += bytes.size();
  if (std::exchange(it->second.deferred, false)) {
    nghttp2_session_resume_data(session_, stream);
  }
}

void Http2Session::EndBody(int32_t stream) {
  const auto it = bodies_.find(stream);
  if (it == bodies_.end()) {
    return;
  }
  it->second.ended = true;
  if (std::exchange(it->second.deferred, false)) {
    nghttp2_session_resume_data(session_, stream);
  }
}

void Http2Session::Reset(int32_t stream, uint32_t error) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error);
}

void Http2Session::Ping() {
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Session::SetReading(int32_t stream, bool reading) {
  if (!reading) {
    paused_.try_emplace(stream);
    return;
  }
  const auto it = paused_.find(stream);
  if (it != paused_.end()) {
    nghttp2_session_consume_stream(session_, stream, it->second);
    paused_.erase(it);
  }
}

void Http2Session::Consume(int32_t stream, size_t size) {
  if (role_ == Role::kServer) {
    return;
  }
  const auto it = paused_.find(stream);
  if (it == paused_.end()) {
    nghttp2_session_consume(session_, stream, size);
    return;
  }
  it->second += size;
  // A paused stream does not hold up the others.
  nghttp2_session_consume_connection(session_, size);
}

bool Http2Session::IsFullySent(int32_t stream) const {
  const auto it = bodies_.find(stream);
  return it != bodies_.end() && it->second.fully_sent;
}

size_t Http2Session::QueuedBytes(int32_t stream) const {
  const auto it = bodies_.find(stream);
  return it == bodies_.end() ? 0 : it->second.bytes.size() - it->second.offset;
}

ssize_t Http2Session::ReadBody(int32_t stream, uint8_t* buf, size_t size,
                               uint32_t* flags) {
  const auto it = bodies_.find(stream);
  if (it == bodies_.end()) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  Body& body = it->second;
  if (body.waits_in_order && in_order_.front() != stream) {
    body.deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  const size_t left = body.bytes.size() - body.offset;
  if (left == 0 && !body.ended) {
    body.deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  const size_t count = std::min(left, size);
  std::memcpy(buf, body.bytes.data() + body.offset, count);
  body.offset += count;
  queued_bytes_ -= count;
  if (body.offset == body.bytes.size()) {
    body.bytes.clear();
    body.offset = 0;
    if (body.ended) {
      body.fully_sent = true;
      if (std::exchange(body.waits_in_order, false)) {
        in_order_.pop_front();
      }
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
  } else if (body.offset >= kCompactAfterBytes &&
             body.offset * 2 >= body.bytes.size()) {
    body.bytes.erase(0, body.offset);
    body.offset = 0;
  }
  events_.OnBodyConsumed(stream);
  return static_cast<ssize_t>(count);
}

void Http2Session::ResumeInOrder() {
  const auto it =
      in_order_.empty() ? bodies_.end() : bodies_.find(in_order_.front());
  if (it != bodies_.end() && std::exchange(it->second.deferred, false)) {
    nghttp2_session_resume_data(session_, it->first);
  }
}

void Http2Session::Close(int32_t stream, uint32_t error) {
  paused_.erase(stream);
  bool fully_sent = false;
  const auto it = bodies_.find(stream);
  if (it != bodies_.end()) {
    fully_sent = it->second.fully_sent;
    queued_bytes_ -= QueuedBytes(stream);
    if (it->second.waits_in_order) {
      std::erase(in_order_, stream);
    }
    bodies_.erase(it);
  }
  events_.OnStreamClosed(stream, error, fully_sent);
}

}  // namespace hawthorn::peer

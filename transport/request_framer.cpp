#include "transport/request_framer.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

#include "transport/http_status.h"
#include "transport/text.h"

namespace hawthorn::transport {

namespace {

constexpr size_t kMaxChunkLineBytes = 256;
constexpr size_t kMaxTrailerBytes = 1024;
constexpr const char* kTooManyLines =
    "the lines between the chunks of the body take too much";

/// The lines between the chunks of a body may take as much as its data.
size_t MaxMessageBytes(const FramingLimits& limits) {
  return limits.max_head_bytes + 2 * limits.max_body_bytes;
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

/// Parses an unsigned number in `base`; it must be the whole text.
std::optional<uint64_t> ParseNumber(std::string_view text, int base) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, number, base);
  if (text.empty() || ec != std::errc() || it != end) {
    return std::nullopt;
  }
  return number;
}

bool IsOriginForm(std::string_view target) {
  return !target.empty() && target.front() == '/' &&
         std::all_of(target.begin(), target.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

void RequestFramer::Reset() { *this = RequestFramer(limits_); }

void RequestFramer::Refuse(int status, std::string reason) {
  state_ = State::kRefused;
  error_ = FramingError{status, std::move(reason)};
}

size_t RequestFramer::Feed(std::string_view bytes) {
  size_t used = 0;
  while (used < bytes.size() && state_ == State::kHead) {
    if (!AppendHeadByte(bytes[used++])) {
      return used;
    }
  }
  if (state_ != State::kBody) {
    return used;
  }
  const std::string_view rest = bytes.substr(used);
  return used + (has_transfer_encoding_ ? FeedChunkedBody(rest)
                                        : FeedLengthBody(rest));
}

bool RequestFramer::AppendHeadByte(char c) {
  if (message_.size() >= limits_.max_head_bytes) {
    Refuse(status::kHeaderFieldsTooLarge,
           "the request head is larger than " +
               std::to_string(limits_.max_head_bytes) + " bytes");
    return false;
  }
  const bool after_cr = !message_.empty() && message_.back() == '\r';
  if ((c == '\n') != after_cr) {
    Refuse(status::kBadRequest, "a line of the head does not end in CR LF");
    return false;
  }
  message_ += c;
  if (c == '\n' && message_.ends_with("\r\n\r\n")) {
    FinishHead();
  }
  return state_ != State::kRefused;
}

void RequestFramer::FinishHead() {
  std::string_view head(message_);
  head.remove_suffix(2);
  bool first = true;
  while (!head.empty()) {
    const size_t end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    const bool parsed = first ? ParseRequestLine(line) : ParseField(line);
    if (!parsed) {
      return;
    }
    first = false;
    head.remove_prefix(end + 2);
  }
  if (has_transfer_encoding_ && content_length_) {
    Refuse(status::kBadRequest, "Content-Length beside Transfer-Encoding");
    return;
  }
  if (has_transfer_encoding_ && is_http_1_0_) {
    Refuse(status::kBadRequest, "Transfer-Encoding in HTTP/1.0");
    return;
  }
  if (!has_host_ && !is_http_1_0_) {
    Refuse(status::kBadRequest, "the Host field is missing");
    return;
  }
  remaining_ = content_length_.value_or(0);
  if (!has_transfer_encoding_ && !AddBodyBytes(remaining_)) {
    return;
  }
  const bool has_body = has_transfer_encoding_ || remaining_ > 0;
  state_ = has_body ? State::kBody : State::kComplete;
}

bool RequestFramer::ParseRequestLine(std::string_view line) {
  const size_t first = line.find(' ');
  const size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    Refuse(status::kBadRequest, "malformed request line");
    return false;
  }
  const std::string_view method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  if (!IsToken(method) || !IsOriginForm(target)) {
    Refuse(status::kBadRequest, "malformed method or target");
    return false;
  }
  is_http_1_0_ = version == "HTTP/1.0";
  wants_close_ = is_http_1_0_;
  if (version != "HTTP/1.1" && !is_http_1_0_) {
    Refuse(status::kVersionNotSupported,
           "only HTTP/1.1 and HTTP/1.0 are served");
    return false;
  }
  return true;
}

bool RequestFramer::ParseField(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    Refuse(status::kBadRequest, "malformed header field");
    return false;
  }
  const std::string name = Lower(line.substr(0, colon));
  const std::string_view value = Trim(line.substr(colon + 1));
  if (HasControlByte(value)) {
    Refuse(status::kBadRequest, "control byte in the field " + name);
    return false;
  }
  return ParseFraming(name, value);
}

bool RequestFramer::ParseFraming(const std::string& name,
                                 std::string_view value) {
  if (name == "content-length") {
    const auto length = ParseNumber(value, 10);
    if (content_length_ || !length) {
      Refuse(status::kBadRequest, "ambiguous or malformed Content-Length");
      return false;
    }
    content_length_ = length;
  }
  if (name == "transfer-encoding") {
    if (has_transfer_encoding_ || Lower(value) != "chunked") {
      Refuse(status::kBadRequest,
             "only one Transfer-Encoding: chunked is served");
      return false;
    }
    has_transfer_encoding_ = true;
  }
  if (name == "host") {
    if (has_host_) {
      Refuse(status::kBadRequest, "the Host field stands twice");
      return false;
    }
    has_host_ = true;
  }
  if (name == "upgrade") {
    Refuse(status::kNotImplemented, "protocol upgrades are not served");
    return false;
  }
  if (name == "expect") {
    expects_continue_ = Lower(value) == "100-continue";
  }
  if (name == "connection" && Lower(value).find("close") != std::string::npos) {
    wants_close_ = true;
  }
  return true;
}

bool RequestFramer::AddBodyBytes(uint64_t n) {
  if (n > limits_.max_body_bytes || body_bytes_ + n > limits_.max_body_bytes) {
    Refuse(status::kContentTooLarge,
           "the body is larger than " + std::to_string(limits_.max_body_bytes) +
               " bytes");
    return false;
  }
  body_bytes_ += n;
  return true;
}

size_t RequestFramer::FeedLengthBody(std::string_view bytes) {
  const size_t n = std::min<uint64_t>(remaining_, bytes.size());
  message_.append(bytes.substr(0, n));
  remaining_ -= n;
  if (remaining_ == 0) {
    state_ = State::kComplete;
  }
  return n;
}

size_t RequestFramer::FeedChunkedBody(std::string_view bytes) {
  size_t used = 0;
  while (used < bytes.size() && state_ == State::kBody) {
    if (chunk_state_ == ChunkState::kData) {
      const size_t n = std::min<uint64_t>(remaining_, bytes.size() - used);
      message_.append(bytes.substr(used, n));
      used += n;
      remaining_ -= n;
      if (remaining_ == 0) {
        chunk_state_ = ChunkState::kDataEnd;
      }
      continue;
    }
    const char c = bytes[used++];
    const bool after_cr = !chunk_line_.empty() && chunk_line_.back() == '\r';
    if ((c == '\n') != after_cr || chunk_line_.size() > kMaxChunkLineBytes) {
      Refuse(status::kBadRequest, "malformed line in a chunked body");
      return used;
    }
    if (message_.size() >= MaxMessageBytes(limits_)) {
      Refuse(status::kContentTooLarge, kTooManyLines);
      return used;
    }
    message_ += c;
    chunk_line_ += c;
    if (c == '\n') {
      HandleChunkLine();
    }
  }
  return used;
}

void RequestFramer::HandleChunkLine() {
  const std::string line = chunk_line_.substr(0, chunk_line_.size() - 2);
  chunk_line_.clear();
  switch (chunk_state_) {
    case ChunkState::kSize:
      if (!ParseChunkSize(line)) {
        Refuse(status::kBadRequest, "malformed chunk size");
        return;
      }
      if (!AddBodyBytes(remaining_)) {
        return;
      }
      if (message_.size() + remaining_ > MaxMessageBytes(limits_)) {
        Refuse(status::kContentTooLarge, kTooManyLines);
        return;
      }
      chunk_state_ = remaining_ == 0 ? ChunkState::kTrailer : ChunkState::kData;
      return;
    case ChunkState::kDataEnd:
      if (!line.empty()) {
        Refuse(status::kBadRequest, "a chunk is longer than its size");
        return;
      }
      chunk_state_ = ChunkState::kSize;
      return;
    case ChunkState::kTrailer:
      if (line.empty()) {
        state_ = State::kComplete;
        return;
      }
      body_bytes_ += line.size();
      if (body_bytes_ > limits_.max_body_bytes + kMaxTrailerBytes) {
        Refuse(status::kHeaderFieldsTooLarge, "the trailer is too large");
      }
      return;
    case ChunkState::kData:
      return;
  }
}

bool RequestFramer::ParseChunkSize(std::string_view line) {
  const auto size = ParseNumber(line.substr(0, line.find(';')), 16);
  if (!size) {
    return false;
  }
  remaining_ = *size;
  return true;
}

}  // namespace hawthorn::transport

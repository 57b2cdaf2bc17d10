#include "transport/response_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <utility>

#include "transport/http_status.h"

namespace hawthorn::transport {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

namespace {

std::string_view ToStd(string_view text) { return {text.data(), text.size()}; }

}  // namespace

/// Collects the head and passes on the body. The names of the overrides are
/// given by Boost.Beast.
// NOLINTBEGIN(readability-identifier-naming)
class ResponseReader::Parser final : public http::basic_parser<false> {
 public:
  explicit Parser(const Events& events) : events_(events) {
    header_limit(kMaxHeadBytes);
    body_limit(kMaxBodyBytes);
  }

  /// Whether the parsed head is that of an interim response.
  bool is_interim() const { return IsInterim(head_.status); }

  /// Parses bytes of the response; returns how many were used.
  size_t Put(std::string_view bytes, error_code& ec) {
    bytes_ = bytes;
    return put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
  }

  /// Why the parser stopped with `ec`.
  core::Error ErrorFor(const error_code& ec) const {
    return error_ ? *error_ : MalformedResponse(ec.message());
  }

 private:
  void on_request_impl(http::verb, string_view, string_view, int,
                       error_code& ec) override {
    ec = http::error::bad_version;
  }
  void on_response_impl(int status, string_view, int,
                        error_code& /*ec*/) override {
    head_.status = status;
  }
  void on_field_impl(http::field, string_view name, string_view value,
                     error_code& ec) override {
    if (IsContinued(name)) {
      error_ =
          MalformedResponse("the line after field " + std::string(ToStd(name)) +
                            " begins with a blank");
      ec = http::error::bad_obs_fold;
      return;
    }
    head_.fields.push_back(
        {std::string(ToStd(name)), std::string(ToStd(value))});
  }
  void on_header_impl(error_code& ec) override {
    const core::Status checked = CheckHead(head_);
    if (!core::IsOk(checked)) {
      error_ = core::ErrorOf(checked);
      ec = http::error::bad_status;
      return;
    }
    if (is_interim()) {
      return;
    }
    std::optional<uint64_t> length;
    if (content_length()) {
      length = *content_length();
    }
    events_.on_head(head_, length);
  }
  void on_body_init_impl(const boost::optional<uint64_t>&,
                         error_code& /*ec*/) override {}
  size_t on_body_impl(string_view body, error_code& /*ec*/) override {
    events_.on_body(ToStd(body));
    return body.size();
  }
  void on_chunk_header_impl(uint64_t, string_view,
                            error_code& /*ec*/) override {}
  size_t on_chunk_body_impl(uint64_t, string_view body,
                            error_code& /*ec*/) override {
    events_.on_body(ToStd(body));
    return body.size();
  }
  void on_finish_impl(error_code& /*ec*/) override {}

  /// Whether the line after that of a field begins with a blank. The base class
  /// joins such a line to the value (obs-fold, RFC 9112, section 5.2), although
  /// it may be a field of its own whose name is malformed. It has read the
  /// first byte after the line; `name` lies in the bytes that it parses.
  bool IsContinued(string_view name) const {
    constexpr std::string_view kLineEnd = "\r\n";
    const auto begin = static_cast<size_t>(name.data() - bytes_.data());
    const size_t next = bytes_.find(kLineEnd, begin) + kLineEnd.size();
    return next < bytes_.size() &&
           (bytes_[next] == ' ' || bytes_[next] == '\t');
  }

  const Events& events_;
  /// What the base class parses at present.
  std::string_view bytes_;
  ResponseHead head_;
  /// Set if what was parsed is not valid.
  std::optional<core::Error> error_;
};
// NOLINTEND(readability-identifier-naming)

ResponseReader::ResponseReader(Events events, BodyRule body_rule)
    : events_(std::move(events)), body_rule_(body_rule) {
  StartParser();
}

ResponseReader::~ResponseReader() = default;

void ResponseReader::StartParser() {
  parser_ = std::make_unique<Parser>(events_);
  parser_->eager(true);
  parser_->skip(body_rule_ == BodyRule::kNone);
}

core::Result<size_t> ResponseReader::Feed(std::string_view bytes) {
  const size_t buffered = buffer_.size();
  buffer_.append(bytes);
  size_t used = 0;
  while (used < buffer_.size() && !parser_->is_done()) {
    error_code ec;
    const std::string_view buffered_bytes(buffer_);
    const size_t n = parser_->Put(buffered_bytes.substr(used), ec);
    used += n;
    if (ec == http::error::need_more) {
      break;
    }
    if (ec) {
      return parser_->ErrorFor(ec);
    }
    if (parser_->is_done() && parser_->is_interim()) {
      if (++interim_responses_ > kMaxInterimResponses) {
        return MalformedResponse("too many interim responses");
      }
      StartParser();
    } else if (n == 0) {
      break;
    }
  }
  const bool done = parser_->is_done();
  buffer_.erase(0, used);
  if (!done && buffer_.size() > kMaxBufferedBytes) {
    return MalformedResponse("a chunk header or trailer is too large");
  }
  if (!done) {
    return bytes.size();
  }
  return used - std::min(used, buffered);
}

core::Status ResponseReader::FeedEnd() {
  if (complete()) {
    return std::monostate{};
  }
  if (!parser_->got_some() || !buffer_.empty()) {
    return MalformedResponse("the connection closed before the response");
  }
  error_code ec;
  parser_->put_eof(ec);
  if (ec) {
    return parser_->ErrorFor(ec);
  }
  return std::monostate{};
}

bool ResponseReader::has_head() const { return parser_->is_header_done(); }

bool ResponseReader::complete() const { return parser_->is_done(); }

bool ResponseReader::keep_alive() const { return parser_->keep_alive(); }

bool ResponseReader::ends_with_connection() const {
  return parser_->is_header_done() && parser_->need_eof();
}

}  // namespace hawthorn::transport

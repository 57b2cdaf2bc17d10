#include "transport/response_reader.h"

#include <catch2/catch.hpp>
#include <cctype>
#include <string>
#include <string_view>
#include <vector>

namespace hawthorn::transport {
namespace {

/// Heads and body bytes of one response.
struct Recorder {
  ResponseReader::Events Events() {
    ResponseReader::Events events;
    events.on_head = [this](const ResponseHead& head, std::optional<uint64_t>) {
      statuses.push_back(head.status);
    };
    events.on_body = [this](std::string_view bytes) { body += bytes; };
    return events;
  }

  std::vector<int> statuses;
  std::string body;
};

constexpr size_t kPieceBytes = size_t{16} * 1024;
/// Feeds `piece` until the reader reports an error or `limit` bytes were taken.
/// Returns the number of bytes.
size_t FeedUntilError(ResponseReader& reader, const std::string& piece,
                      size_t limit) {
  size_t fed = 0;
  while (fed < limit) {
    if (!core::IsOk(reader.Feed(piece))) {
      return fed;
    }
    fed += piece.size();
  }
  return fed;
}

const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Far above every limit on what is buffered.
constexpr size_t kMuchBytes = size_t{2} * 1024 * 1024;

TEST_CASE("interim responses are skipped") {
  const std::string bytes =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  for (const size_t step : {bytes.size(), size_t{1}, size_t{7}}) {
    CAPTURE(step);
    Recorder it;
    ResponseReader reader(it.Events());
    for (size_t n = 0; n < bytes.size(); n += step) {
      REQUIRE(core::IsOk(reader.Feed(bytes.substr(n, step))));
    }
    CHECK(it.statuses == std::vector<int>{200});
    CHECK(it.body == "hi");
    CHECK(reader.complete());
    CHECK(reader.keep_alive());
  }
}

TEST_CASE("a connection that ends after an interim response is incomplete") {
  Recorder it;
  ResponseReader reader(it.Events());
  REQUIRE(core::IsOk(reader.Feed("HTTP/1.1 100 Continue\r\n\r\n")));
  CHECK_FALSE(reader.complete());
  CHECK_FALSE(core::IsOk(reader.FeedEnd()));
  CHECK(it.statuses.empty());
}

TEST_CASE("a switch of protocols that nobody asked for is an error") {
  Recorder it;
  ResponseReader reader(it.Events());
  CHECK_FALSE(core::IsOk(
      reader.Feed("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n")));
}

TEST_CASE("interim responses without end are an error") {
  Recorder it;
  ResponseReader reader(it.Events());
  CHECK(FeedUntilError(reader, "HTTP/1.1 102 Processing\r\n\r\n", kMuchBytes) <
        kMuchBytes);
}

TEST_CASE("bytes without end are an error wherever they come") {
  const std::string filler(kPieceBytes, 'a');
  const auto [name, begin] = GENERATE(table<std::string, std::string>(
      {{"status line", "HTTP/1.1 200 "},
       {"field name", "HTTP/1.1 200 OK\r\nX"},
       {"field value", "HTTP/1.1 200 OK\r\nX: "},
       {"chunk extension", kChunkedHead + "5;a="},
       {"chunk size", kChunkedHead + "0"},
       {"trailer", kChunkedHead + "0\r\nX-T: "},
       {"no response at all", ""}}));
  CAPTURE(name);
  Recorder it;
  ResponseReader reader(it.Events());
  size_t taken = 0;
  if (core::IsOk(reader.Feed(begin))) {
    taken = FeedUntilError(reader, filler, kMuchBytes);
  }
  CHECK(taken <= ResponseReader::kMaxHeadBytes + kPieceBytes);
}

TEST_CASE("fields without end are an error in a trailer too") {
  Recorder it;
  ResponseReader reader(it.Events());
  REQUIRE(core::IsOk(reader.Feed(kChunkedHead + "0\r\n")));
  std::string fields;
  while (fields.size() < kPieceBytes) {
    fields += "X-T: 1\r\n";
  }
  CHECK(FeedUntilError(reader, fields, kMuchBytes) <=
        ResponseReader::kMaxHeadBytes + kPieceBytes);
}

TEST_CASE("a body without end is an error at the limit of bodies") {
  Recorder it;
  ResponseReader::Events events = it.Events();
  uint64_t received = 0;
  events.on_body = [&received](std::string_view n) { received += n.size(); };
  ResponseReader reader(std::move(events));
  const bool chunked = GENERATE(false, true);
  std::string piece(size_t{1024} * 1024, 'b');
  REQUIRE(core::IsOk(
      reader.Feed(chunked ? kChunkedHead : "HTTP/1.1 200 OK\r\n\r\n")));
  if (chunked) {
    piece = "100000\r\n" + piece + "\r\n";
  }
  FeedUntilError(reader, piece, ResponseReader::kMaxBodyBytes * 2);
  CHECK(received <= ResponseReader::kMaxBodyBytes);
}

TEST_CASE("the response to a HEAD request has no body") {
  Recorder it;
  ResponseReader reader(it.Events(), BodyRule::kNone);
  const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n";
  const core::Result<size_t> used = reader.Feed(bytes);
  REQUIRE(core::IsOk(used));
  CHECK(core::Value(used) == bytes.size());
  CHECK(reader.complete());
}

TEST_CASE("bytes after a response are not taken") {
  Recorder it;
  ResponseReader reader(it.Events());
  const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  const core::Result<size_t> used =
      reader.Feed("HTTP/1.1 100 Continue\r\n\r\n" + first + first);
  REQUIRE(core::IsOk(used));
  CHECK(core::Value(used) == 25 + first.size());
  CHECK(it.body == "hi");
}

/// Whether a reader refuses `bytes`, at once and in pieces of one byte.
bool IsRefused(const std::string& bytes) {
  for (const size_t step : {bytes.size(), size_t{1}}) {
    Recorder it;
    ResponseReader reader(it.Events());
    bool is_refused = false;
    for (size_t n = 0; n < bytes.size() && !is_refused; n += step) {
      is_refused = !core::IsOk(reader.Feed(bytes.substr(n, step)));
    }
    if (!is_refused) {
      return false;
    }
  }
  return true;
}

// Guards against an invalid status that is handed on as a number (RFC 9110,
// section 15).
TEST_CASE("a status outside 100 to 599 is an error") {
  for (const std::string status : {"000", "001", "009", "099", "600", "999"}) {
    CAPTURE(status);
    CHECK(IsRefused("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n"));
  }
}

TEST_CASE("each status from 100 to 599 is valid") {
  for (int status = 100; status <= 599; ++status) {
    CAPTURE(status);
    Recorder it;
    ResponseReader reader(it.Events());
    const bool is_valid =
        core::IsOk(reader.Feed("HTTP/1.1 " + std::to_string(status) +
                               " X\r\nContent-Length: 0\r\n\r\n"));
    CHECK(is_valid == (status != 101));
    CHECK(it.statuses.size() == (status >= 200 ? 1 : 0));
  }
}

/// A response with `line` at one place of it.
std::string WithLine(const std::string& place, const std::string& line) {
  const std::string before = "X-Before: 1\r\n";
  const std::string head = "HTTP/1.1 200 OK\r\n" + before;
  if (place == "interim") {
    return "HTTP/1.1 103 Early Hints\r\n" + before + line + "\r\n" + head +
           "Content-Length: 2\r\n\r\nhi";
  }
  if (place == "trailer") {
    return kChunkedHead + "2\r\nhi\r\n0\r\n" + before + line + "\r\n";
  }
  return head + line + "Content-Length: 2\r\n\r\nhi";
}

bool IsTokenByte(unsigned char byte) {
  return std::isalnum(byte) != 0 ||
         (byte != 0 && std::string_view("!#$%&'*+-.^_`|~").find(byte) !=
                           std::string_view::npos);
}

// Guards against a line that is passed on, or that hides the length, although
// its name is no token (RFC 9110, section 5.1).
TEST_CASE("a name that is no token is an error") {
  const std::string place = GENERATE("head", "interim", "trailer");
  const std::string name = GENERATE("X-Field", "Content-Length");
  for (int n = 0; n < 256; ++n) {
    const char byte = static_cast<char>(n);
    if (IsTokenByte(static_cast<unsigned char>(n)) || byte == ':') {
      continue;
    }
    for (const size_t at : {size_t{0}, name.size() / 2, name.size()}) {
      if (at == 0 && (byte == ' ' || byte == '\t')) {
        continue;  // Continues the line before.
      }
      CAPTURE(place, name, n, at);
      std::string broken = name;
      broken.insert(at, 1, byte);
      CHECK(IsRefused(WithLine(place, broken + ": 2\r\n")));
    }
  }
  CHECK(IsRefused(WithLine(place, ": 2\r\n")));
  CHECK(IsRefused(WithLine(place, "X-Field\r\n")));
}

TEST_CASE("each byte of a token is valid in a name") {
  const std::string place = GENERATE("head", "interim", "trailer");
  for (int n = 0; n < 256; ++n) {
    if (IsTokenByte(static_cast<unsigned char>(n))) {
      const std::string name = std::string("X") + static_cast<char>(n);
      CAPTURE(place, name);
      Recorder it;
      ResponseReader reader(it.Events());
      CHECK(core::IsOk(reader.Feed(WithLine(place, name + ": 2\r\n"))));
      CHECK(reader.complete());
      CHECK(it.body == "hi");
    }
  }
}

// Guards against a line whose name begins with a blank: it was joined to the
// line before it, so that the signature or the framing changed.
TEST_CASE("a line that begins with a blank is an error") {
  const std::string place = GENERATE("head", "interim", "trailer");
  const std::string blank = GENERATE(" ", "\t", " \t ");
  const std::string line =
      GENERATE("X-Field: 2", "Transfer-Encoding: chunked", "2", "");
  CAPTURE(place, blank, line);
  CHECK(IsRefused(WithLine(place, blank + line + "\r\n")));
  CHECK(IsRefused(WithLine(place, "X-Empty:\r\n" + blank + line + "\r\n")));
}

}  // namespace
}  // namespace hawthorn::transport

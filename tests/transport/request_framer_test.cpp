#include "transport/request_framer.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace hawthorn::transport {
namespace {

using State = RequestFramer::State;

struct RefusedCase {
  const char* name;
  std::string bytes;
  int status;
};

const std::vector<RefusedCase>& RefusedCases() {
  static const std::vector<RefusedCase> cases = {
      {"two lengths",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: "
       "4\r\n\r\nabcd",
       400},
      {"length beside chunks",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       400},
      {"negative length",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\n", 400},
      {"length with a sign",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", 400},
      {"blank before the colon",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc", 400},
      {"line feeds alone", "GET / HTTP/1.1\nHost: a\n\n", 400},
      {"bare carriage return", "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", 400},
      {"folded line", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n", 400},
      {"other coding",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, "
       "chunked\r\n\r\n",
       400},
      {"two codings",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: identity\r\n\r\n",
       400},
      {"chunks in an old version",
       "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
      {"no host", "GET / HTTP/1.1\r\n\r\n", 400},
      {"other version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
      {"upgrade", "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n\r\n",
       501},
      {"large body",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n", 413},
      {"huge length",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
       "99999999999999999999\r\n\r\n",
       400},
      {"large chunk",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
       "chunked\r\n\r\nfffffff\r\n",
       413},
      {"chunk size with a sign",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
       "chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
       400},
      {"chunk longer than its size",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
       "chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n",
       400},
      {"large head",
       "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
       431}};
  return cases;
}

constexpr FramingLimits kLimits{.max_head_bytes = 1024, .max_body_bytes = 4096};

TEST_CASE("ambiguous and oversized requests are refused") {
  for (const RefusedCase& it : RefusedCases()) {
    INFO(it.name);
    RequestFramer framer(kLimits);
    framer.Feed(it.bytes);
    REQUIRE(framer.state() == State::kRefused);
    REQUIRE(framer.error().status == it.status);
  }
}

TEST_CASE("a refusal does not depend on how the bytes are split") {
  rc::prop("fed in chunks of arbitrary size", [] {
    const auto& cases = RefusedCases();
    const auto& it = cases[*rc::gen::inRange<size_t>(0, cases.size())];
    RequestFramer framer(kLimits);
    size_t begin = 0;
    while (begin < it.bytes.size() && framer.state() != State::kRefused) {
      const auto n = *rc::gen::inRange<size_t>(1, 9);
      begin += framer.Feed(std::string_view(it.bytes).substr(begin, n));
    }
    RC_ASSERT(framer.state() == State::kRefused);
    RC_ASSERT(framer.error().status == it.status);
  });
}

TEST_CASE("a request ends where its framing says") {
  rc::prop("the remaining bytes are left for the next request", [] {
    const auto body =
        *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
    const bool chunked = *rc::gen::arbitrary<bool>();
    std::string bytes = "POST /x HTTP/1.1\r\nHost: a\r\n";
    if (chunked) {
      char size[16];
      std::snprintf(size, sizeof size, "%zx", body.size());
      bytes += "Transfer-Encoding: chunked\r\n\r\n";
      bytes += body.empty() ? "" : std::string(size) + "\r\n" + body + "\r\n";
      bytes += "0\r\n\r\n";
    } else {
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      bytes += body;
    }
    const std::string next = "GET /early HTTP/1.1\r\nHost: a\r\n\r\n";
    RequestFramer framer(kLimits);
    RC_ASSERT(framer.Feed(bytes + next) == bytes.size());
    RC_ASSERT(framer.state() == State::kComplete);
    RC_ASSERT(framer.message() == bytes);
  });
}

// The limit of a body counted the data of its chunks and not their size lines,
// so that extensions or single bytes could fill the memory.
TEST_CASE("what a request holds is bounded whatever its chunks look like") {
  const std::string line = GENERATE(as<std::string>(), "1\r\na\r\n",
                                    "1;" + std::string(200, 'x') + "\r\na\r\n");
  RequestFramer framer(kLimits);
  framer.Feed(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  size_t n = 0;
  while (framer.state() == State::kBody && n < kLimits.max_body_bytes) {
    framer.Feed(line);
    ++n;
  }
  CHECK(framer.state() == State::kRefused);
  CHECK(framer.error().status == 413);
  CHECK(framer.message().size() <=
        kLimits.max_head_bytes + 2 * kLimits.max_body_bytes);
}

// An honest body in small chunks must not be refused for its framing.
TEST_CASE("a body in small chunks is taken") {
  RequestFramer framer(kLimits);
  framer.Feed(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (size_t n = 0; n < kLimits.max_body_bytes / 8; ++n) {
    framer.Feed("1\r\na\r\n");
  }
  framer.Feed("0\r\n\r\n");
  CHECK(framer.state() == State::kComplete);
}

}  // namespace
}  // namespace hawthorn::transport

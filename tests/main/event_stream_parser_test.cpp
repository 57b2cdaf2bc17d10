#include "main/http/event_stream_parser.h"

#include <rapidcheck/catch.h>

#include <QJsonValue>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/support/memory_limit.h"

namespace hawthorn::main {
namespace {

/// The "token" fields of the events of a stream.
std::vector<std::string> Tokens(const std::string& stream) {
  EventStreamParser parser;
  std::vector<std::string> tokens;
  for (const QJsonObject& it : parser.Feed(stream)) {
    tokens.push_back(it["token"].toString().toStdString());
  }
  CHECK_FALSE(parser.malformed());
  return tokens;
}

using Texts = std::vector<std::string>;

// Guards against losing a token, or a whole stream, whose text looks like a
// field of an event.
TEST_CASE("A token may hold the name of a field") {
  CHECK(Tokens("data: {\"token\":\"data: x\"}\n\n") == Texts{"data: x"});
  CHECK(Tokens("data: {\"token\":\"\\n\\ndata: {}\"}\n\n") ==
        Texts{"\n\ndata: {}"});
}

TEST_CASE("An event stream is split by the rules of its standard") {
  CHECK(Tokens("data:{\"token\":\"a\"}\r\n\r\ndata: {\"token\":\"b\"}\r\r") ==
        Texts{"a", "b"});
  CHECK(Tokens("data: {\"token\":\ndata: \"a\"}\n\n") == Texts{"a"});
  CHECK(Tokens(": comment\nid: 7\nevent: data: x\ndata: {\"token\":\"a\"}\n"
               "retry: 3\n\n") == Texts{"a"});
  CHECK(Tokens("\xEF\xBB\xBF"
               "data: {\"token\":\"a\"}\n\n") == Texts{"a"});
  CHECK(Tokens("id: 1\n\n: only a comment\n\n\n").empty());
  CHECK(Tokens("dataset: {\"token\":\"a\"}\n\n").empty());
  // An event that its blank line does not complete is not one.
  CHECK(Tokens("data: {\"token\":\"a\"}\n").empty());
}

TEST_CASE("Data that is not a JSON object makes the stream malformed") {
  for (const std::string stream :
       {"data: x\n\n", "data\n\n", "data: [1]\n\n", "data: {}\ndata: {}\n\n"}) {
    CAPTURE(stream);
    EventStreamParser parser;
    CHECK(parser.Feed(stream).empty());
    CHECK(parser.malformed());
    CHECK(parser.Feed("\n\ndata: {}\n\n").empty());
  }
}

TEST_CASE("An endless event is malformed within its bound of memory") {
  const test::MemoryLimit limit(size_t{64} * 1024 * 1024);
  const std::string piece(size_t{64} * 1024, 'x');
  const auto is_malformed = [](const std::string& text) {
    EventStreamParser parser;
    for (int n = 0; n < 4096; ++n) {
      parser.Feed(text);
    }
    return parser.malformed();
  };
  CHECK(is_malformed(piece));
  CHECK(is_malformed("data: " + piece + "\r"));
  // Each of these lines is within the bound, and none is kept.
  CHECK_FALSE(is_malformed(": " + piece + "\r"));
  CHECK_FALSE(is_malformed(piece + "\n"));
}

TEST_CASE("An event stream may be split between any two bytes") {
  rc::prop("split", [] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("data: {\"token\":\"a\"}", "data:", "\r",
                                      "\n", "\r\n", "\n\n", "{}", ": c", "id",
                                      "\xEF\xBB\xBF", "data"));
    std::string stream;
    for (const std::string& it : pieces) {
      stream += it;
    }
    EventStreamParser whole;
    EventStreamParser split;
    const std::vector<QJsonObject> expected = whole.Feed(stream);
    std::vector<QJsonObject> events;
    for (const char it : stream) {
      for (const QJsonObject& event : split.Feed(std::string(1, it))) {
        events.push_back(event);
      }
    }
    RC_ASSERT(events == expected);
    RC_ASSERT(split.malformed() == whole.malformed());
  });
}

}  // namespace
}  // namespace hawthorn::main

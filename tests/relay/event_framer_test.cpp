#include "relay/event_framer.h"

#include <catch2/catch.hpp>
#include <ctime>

namespace hawthorn::relay {
namespace {

TEST_CASE("Events are framed correctly at any split of the bytes") {
  const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3";
  for (size_t step = 1; step <= text.size(); ++step) {
    EventFramer framer;
    std::vector<StreamEvent> events;
    for (size_t at = 0; at < text.size(); at += step) {
      for (StreamEvent& it : framer.Feed(text.substr(at, step))) {
        events.push_back(std::move(it));
      }
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0] == StreamEvent{"id: 1\ndata: a\n\n", 1});
    CHECK(events[1] == StreamEvent{"id: 2\r\ndata: b\r\n\r\n", 2});
    CHECK(framer.rest() == "id: 3");
  }
}

TEST_CASE("An event without an id field has no id") {
  EventFramer framer;
  const auto events = framer.Feed("data: id: 7\n\n");
  REQUIRE(events.size() == 1);
  CHECK_FALSE(events[0].id.has_value());
}

// Each piece made the framer search the whole event again. An upstream that
// sent a large event byte by byte held up all calls of the instance.
TEST_CASE("The cost of an event does not grow with the number of its pieces") {
  EventFramer framer;
  const std::clock_t start = std::clock();
  framer.Feed("id: 1\ndata: ");
  while (!framer.overflowed()) {
    REQUIRE(framer.Feed("a").empty());
  }
  // Searching the whole event takes minutes.
  CHECK((std::clock() - start) / CLOCKS_PER_SEC < 5);
}

}  // namespace
}  // namespace hawthorn::relay

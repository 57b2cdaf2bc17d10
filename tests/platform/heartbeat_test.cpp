#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "platform/configuration_codec.h"
#include "platform/heartbeat_codec.h"

namespace hawthorn::platform {
namespace {

const std::string kValid =
    R"({"service":"llm","address":"10.0.0.9:8080","zone":"a","version":"v1",)"
    R"("capacity":12,"state":"ready","call_seq":4,"born":1700000000000})";

const core::WallTime kNow{std::chrono::milliseconds(1700000005000)};

/// Replaces the first occurrence of `from`.
std::string With(const std::string& from, const std::string& to) {
  std::string text = kValid;
  return text.replace(text.find(from), from.size(), to);
}

TEST_CASE("A valid heartbeat is decoded") {
  const auto entry = DecodeHeartbeat("u1", kValid, kNow);
  REQUIRE(entry);
  CHECK(entry->upstream() == "u1");
  CHECK(entry->max_running() == 12);
  CHECK(entry->sequence() == 4);
  CHECK(entry->software_version() == "v1");
  CHECK(entry->started_at_ms() == 1700000000000);
  CHECK_FALSE(entry->draining());
  CHECK(DecodeStartTime(kValid, kNow) == 1700000000000);
}

TEST_CASE("A heartbeat with numbers out of range names no upstream") {
  for (const char* number : {"-1", "0", "0.5", "1e300", "-1e300", "99999999"}) {
    CAPTURE(number);
    CHECK_FALSE(DecodeHeartbeat("u1", With("12", number), kNow).has_value());
  }
  for (const char* number : {"-1", "1e300", "1e17", "0.5"}) {
    CAPTURE(number);
    CHECK_FALSE(
        DecodeHeartbeat(
            "u1", With("\"call_seq\":4", std::string("\"call_seq\":") + number),
            kNow)
            .has_value());
    CHECK_FALSE(
        DecodeHeartbeat("u1", With("1700000000000", number), kNow).has_value());
    CHECK(DecodeStartTime(With("1700000000000", number), kNow) == 0);
  }
}

TEST_CASE("No bytes in place of a message end the process") {
  const std::string configuration =
      R"({"version":7,"routes":[{"name":"t","host":"h","path_prefix":"/a/",)"
      R"("kind":"stream","timeout_ms":3000,"service":"llm"}],"services":)"
      R"([{"name":"llm","max_conns":170,"engine":{"capacity":12}}],)"
      R"("limits":{"max_header_bytes":16384}})";
  CHECK(rc::check("mutated messages", [&] {
    std::string text = *rc::gen::element(kValid, configuration);
    const int changes = *rc::gen::inRange(1, 6);
    for (int n = 0; n < changes; ++n) {
      const auto at = *rc::gen::inRange<size_t>(0, text.size() + 1);
      const auto piece = *rc::gen::oneOf(
          rc::gen::element<std::string>("null", "[", "{", "1e999", "-1", "\"",
                                        "\\u0000", "[[[[", "true"),
          rc::gen::arbitrary<std::string>());
      const auto removed = *rc::gen::inRange<size_t>(0, 12);
      text = text.substr(0, at) + piece +
             text.substr(std::min(text.size(), at + removed));
    }
    DecodeHeartbeat("u1", text, kNow);
    DecodeStartTime(text, kNow);
    DecodeConfiguration(text);
  }));
}

}  // namespace
}  // namespace hawthorn::platform

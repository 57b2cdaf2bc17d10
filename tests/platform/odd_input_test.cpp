#include <QTemporaryDir>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include "control/deployment_state.h"
#include "platform/boot_settings.h"
#include "platform/call_codec.h"
#include "platform/configuration_codec.h"
#include "platform/heartbeat_codec.h"

// Entries and messages of other writers: too deep, too large or out of range.
namespace hawthorn::platform {
namespace {

const core::WallTime kNow{std::chrono::milliseconds(1700000005000)};
const std::string kBeat =
    R"({"service":"llm","address":"10.0.0.9:8080","zone":"a","version":"v1",)"
    R"("capacity":12,"state":"ready","call_seq":4,"born":1700000000000})";
const std::string kSettings =
    R"({"node_name":"front-a-1","ip":"10.0.0.1","zone":"a",)"
    R"("listen_addrs":{"front":"10.0.0.1:8000","ready":"10.0.0.1:8001"},)"
    R"("port_range":[7260,7275],"seeds":["10.0.0.2:8002","10.0.0.3:8002"],)"
    R"("bootstrap":true,"bounds":{"grace_s":8}})";

std::string With(std::string text, const std::string& from,
                 const std::string& to) {
  const size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string Repeated(const std::string& piece, int n) {
  std::string text;
  for (int i = 0; i < n; ++i) {
    text += piece;
  }
  return text;
}

std::variant<BootSettings, core::FindingList> Load(const std::string& text) {
  const QTemporaryDir folder;
  const std::string path = folder.filePath("boot.json").toStdString();
  std::ofstream(path, std::ios::binary) << text;
  return LoadBootSettings(path);
}

transport::RelayRequest RequestWith(const std::string& name,
                                    const std::string& value) {
  transport::RelayRequest request;
  request.fields = {{"X-Request-Id", "r"}, {name, value}};
  return request;
}

/// Puts a few pieces in place of others, at places that the seed decides.
std::string Mutated(std::string text, std::mt19937_64& random) {
  static const std::vector<std::string> kPieces = {"null",
                                                   "[",
                                                   "{",
                                                   "]",
                                                   "}",
                                                   ":",
                                                   ",",
                                                   "\"",
                                                   "1e999",
                                                   "-1",
                                                   "0",
                                                   "99999999999999999999",
                                                   "65536",
                                                   "true",
                                                   std::string(1, '\0'),
                                                   "\xff",
                                                   "\xed\xa0\x80",
                                                   "\\ud800",
                                                   Repeated("[", 2000),
                                                   Repeated("{\"a\":", 2000),
                                                   std::string(5000, '9')};
  const size_t changes = 1 + random() % 5;
  for (size_t n = 0; n < changes; ++n) {
    const size_t at = random() % (text.size() + 1);
    const size_t removed = random() % 16;
    text.replace(at, std::min(removed, text.size() - at),
                 kPieces[random() % kPieces.size()]);
  }
  return text;
}

}  // namespace

// Guards against an entry of another writer that ends the process, or that is
// taken for an upstream.
TEST_CASE("An odd heartbeat names no upstream") {
  const std::vector<std::string> odd = {
      With(kBeat, "\"a\"", Repeated("[", 100000)),
      With(kBeat, "\"a\"", Repeated("[", 5000) + Repeated("]", 5000)),
      With(kBeat, "12", "1e999"),
      With(kBeat, "12", "99999999999999999999"),
      With(kBeat, "8080", "65536"),
      With(kBeat, "8080", "99999999999999999999"),
      With(kBeat, "8080", "-1"),
      With(kBeat, "8080", "0"),
      With(kBeat, "8080", ""),
      With(kBeat, "\"10.0.0.9:8080\"", "[]"),
      With(kBeat, "10.0.0.9", "1000.0.0.9"),
      With(kBeat, "\"llm\"", "{}"),
      With(kBeat, "llm", std::string(100000, 'l')),
      With(kBeat, "v1", std::string(100000, 'v')),
      With(kBeat, "\"a\"", "\"" + std::string(100000, 'z') + "\""),
      kBeat.substr(0, kBeat.size() / 2),
      "",
      "[]",
      std::string(3, '\0'),
  };
  for (size_t n = 0; n < odd.size(); ++n) {
    CAPTURE(n, odd[n].substr(0, 200));
    CHECK_FALSE(DecodeHeartbeat("u1", odd[n], kNow).has_value());
  }
  CHECK_FALSE(
      DecodeHeartbeat(std::string(100000, 'u'), kBeat, kNow).has_value());
  CHECK(DecodeHeartbeat("u1", kBeat, kNow).has_value());
}

// Guards against a start far in the future, after which every message of the
// upstream itself would be taken for an older one.
TEST_CASE("An upstream that starts in the future is not taken") {
  const std::string later = With(kBeat, "1700000000000", "1800000000000");
  CHECK_FALSE(DecodeHeartbeat("u1", later, kNow).has_value());
  CHECK(DecodeStartTime(later, kNow) == 0);
  // Clocks may differ.
  CHECK(
      DecodeHeartbeat("u1", With(kBeat, "1700000000000", "1700000060000"), kNow)
          .has_value());
}

// Guards against a process that does not start for one odd entry among its
// seeds, while others could be used.
TEST_CASE("An odd seed is left out and the others are used") {
  for (const char* odd :
       {"\"10.0.0.2:99999\"", "7", "{}", "\"no address\"", "null"}) {
    CAPTURE(odd);
    const auto loaded = Load(With(kSettings, "\"10.0.0.2:8002\"", odd));
    REQUIRE(std::holds_alternative<BootSettings>(loaded));
    const auto& settings = std::get<BootSettings>(loaded);
    CHECK(settings.seeds == std::vector<std::string>{"10.0.0.3:8002"});
    CHECK(settings.unusable_seeds.size() == 1);
  }
  CHECK(std::holds_alternative<core::FindingList>(
      Load(With(kSettings, "\"10.0.0.2:8002\",\"10.0.0.3:8002\"", "7"))));
}

TEST_CASE("Settings out of range are reported") {
  for (const char* range : {"[7260,70000]", "[0,9]", "[2147483647,2147483647]",
                            "[7260]", "[]", "7"}) {
    CAPTURE(range);
    CHECK(std::holds_alternative<core::FindingList>(
        Load(With(kSettings, "[7260,7275]", range))));
  }
  for (const char* seconds : {"-1", "1e300", "86401"}) {
    CAPTURE(seconds);
    CHECK(std::holds_alternative<core::FindingList>(Load(With(
        kSettings, "\"grace_s\":8", std::string("\"grace_s\":") + seconds))));
  }
  CHECK(std::holds_alternative<core::FindingList>(
      Load(With(kSettings, "true", Repeated("[", 100000)))));
}

// Guards against budgets that overflow: a turn of 2^63 - 1 tokens was granted
// and made the sum of its program negative, and so did a negative one.
TEST_CASE("Numbers of callers cannot overflow") {
  const PlatformCallCodec codec;
  const std::string largest =
      std::to_string(std::numeric_limits<int64_t>::max());
  const auto tokens =
      codec.DecodeCall(RequestWith("X-Token-Usage", largest + "," + largest));
  CHECK(tokens.max_output_tokens > 0);
  CHECK(tokens.max_output_tokens < std::numeric_limits<int64_t>::max() / 1000);
  CHECK(tokens.prompt_tokens == tokens.max_output_tokens);
  const auto negative = codec.DecodeCall(RequestWith("X-Token-Usage", "-5,-9"));
  CHECK(negative.prompt_tokens == 0);
  CHECK(negative.max_output_tokens == 0);
  CHECK(codec.DecodeCall(RequestWith("X-Token-Budget", "-3")).token_budget ==
        0);
  const auto parts = codec.DecodeCall(
      RequestWith("X-Prompt-Prefix", "a:" + largest + ",b:" + largest));
  REQUIRE(parts.prompt_parts.size() == 2);
  CHECK(parts.prompt_parts[0].tokens + parts.prompt_parts[1].tokens > 0);
  for (const char* name : {"X-Deadline-Ms", "X-Program-Deadline-Ms"}) {
    const auto head = codec.DecodeCall(RequestWith(name, largest));
    const auto time = std::string(name) == "X-Deadline-Ms"
                          ? head.caller_timeout
                          : head.program_time_left;
    REQUIRE(time);
    CHECK(*time <= std::chrono::hours(24));
  }
  transport::ResponseHead response;
  response.fields = {{"Keep-Alive", "timeout=" + largest},
                     {"Server-Limit", "1e308"}};
  const auto info = codec.DecodeResponse(response);
  CHECK(info.idle_timeout <= std::chrono::hours(24));
  CHECK(info.request_limit <= 1e9);
}

// Guards against ids that make a message between instances unreadable: such a
// settlement took up to 255 others with it, and claims beside them failed.
TEST_CASE("Ids that are no UTF-8 or too long are faults of the request") {
  const PlatformCallCodec codec;
  for (const char* name : {"X-Request-Id", "X-Program-Id", "X-Session-Id",
                           "X-Previous-Turn", "Resumes"}) {
    CAPTURE(name);
    for (const std::string& odd :
         {std::string("\xff"), std::string("\xed\xa0\x80"),
          std::string("\xc0\xaf"), std::string(257, 'x')}) {
      transport::RelayRequest request;
      request.fields = {{name, odd}};
      CHECK_FALSE(codec.DecodeCall(request).fault.empty());
    }
    transport::RelayRequest sound;
    sound.fields = {{name, "\xc3\xbc-7f3a"}};
    CHECK(codec.DecodeCall(sound).fault.empty());
  }
}

// Guards against bytes of others that end the process. HAWTHORN_FUZZ_ROUNDS
// sets the number of rounds.
TEST_CASE("No bytes of others end the process") {
  const char* text = std::getenv("HAWTHORN_FUZZ_ROUNDS");
  const int rounds = text == nullptr ? 3000 : std::atoi(text);
  std::mt19937_64 random(47);
  const PlatformCallCodec codec;
  schema::DeploymentCommand command;
  *command.mutable_upstream() = *DecodeHeartbeat("u1", kBeat, kNow);
  control::DeploymentState state;
  for (int n = 0; n < rounds; ++n) {
    const std::string beat = Mutated(kBeat, random);
    if (const auto entry = DecodeHeartbeat("u1", beat, kNow)) {
      CHECK(entry->address().size() <= kMaxNameBytes);
      CHECK(entry->started_at_ms() < 1800000000000);
    }
    DecodeStartTime(beat, kNow);
    DecodeConfiguration(Mutated(kBeat, random));
    if (n % 10 == 0) {
      Load(Mutated(kSettings, random));
    }
    const std::string odd = Mutated("12,abc:7", random);
    for (const char* name :
         {"X-Token-Usage", "X-Prompt-Prefix", "X-Deadline-Ms", "X-Program-Id",
          "Last-Event-Id", "X-Api-Key"}) {
      codec.DecodeCall(RequestWith(name, odd));
    }
    transport::ResponseHead response;
    response.fields = {{"X-Server-Load", odd},
                       {"Keep-Alive", "timeout=" + odd},
                       {"Server-Limit", odd},
                       {"X-Request-Id", odd}};
    codec.DecodeResponse(response);
    state.Apply(static_cast<uint64_t>(n) + 1,
                Mutated(command.SerializeAsString(), random));
    control::DeploymentState restored;
    CHECK(core::IsOk(restored.Restore(state.Snapshot())));
    restored.Restore(Mutated(state.Snapshot(), random));
  }
}

}  // namespace hawthorn::platform

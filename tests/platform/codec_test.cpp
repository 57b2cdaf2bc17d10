#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <variant>

#include "platform/call_codec.h"
#include "platform/configuration_codec.h"

namespace hawthorn::platform {
namespace {

using Decoded =
    std::variant<std::shared_ptr<const relay::RouteTable>, core::FindingList>;

std::string Configuration(const std::string& routes) {
  return R"({"version":7,"routes":[)" + routes +
         R"(],"services":[{"name":"llm","max_conns":170,"engine":)"
         R"({"capacity":12,"kv_capacity":9000,"tokens_per_event":11}},)"
         R"({"name":"shop","max_conns":110}],"limits":{"max_header_bytes":)"
         R"(16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000}})";
}

const std::string kTurn =
    R"({"name":"t","host":"h.example","path_prefix":"/a/","kind":"stream",)"
    R"("timeout_ms":3000,"slo_ms":200,"priority":1,"service":"llm",)"
    R"("max_attempts":1,"resumable":true})";

bool IsRefused(const std::string& body) {
  return std::holds_alternative<core::FindingList>(DecodeConfiguration(body));
}

TEST_CASE("A valid configuration is decoded into routes and services") {
  const Decoded decoded = DecodeConfiguration(Configuration(kTurn));
  REQUIRE(std::holds_alternative<std::shared_ptr<const relay::RouteTable>>(
      decoded));
  const auto& table =
      *std::get<std::shared_ptr<const relay::RouteTable>>(decoded);
  CHECK(table.version() == 7);
  const relay::Route* route = table.Find("h.example", "/a/x?y=1");
  REQUIRE(route != nullptr);
  CHECK(route->kind == relay::CallKind::kStream);
  CHECK(route->IsRetryable());
  CHECK(table.FindService("llm")->engine->tokens_per_event == 11);
  CHECK(table.Find("h.example", "/b/") == nullptr);
  CHECK(table.Find("other.example", "/a/x") == nullptr);
}

TEST_CASE("The longest matching path prefix is selected") {
  std::string longer = kTurn;
  longer.replace(longer.find("/a/"), 3, "/a/b/");
  longer.replace(longer.find("\"t\""), 3, "\"u\"");
  const Decoded decoded =
      DecodeConfiguration(Configuration(kTurn + "," + longer));
  const auto& table =
      *std::get<std::shared_ptr<const relay::RouteTable>>(decoded);
  CHECK(table.Find("h.example", "/a/b/c")->name == "u");
  CHECK(table.Find("h.example", "/a/bc")->name == "t");
}

TEST_CASE("Invalid configurations are refused") {
  const std::string valid = Configuration(kTurn);
  CHECK(IsRefused(valid.substr(0, valid.size() - 5)));
  CHECK(IsRefused(Configuration(kTurn + "," + kTurn)));
  std::string unknown = kTurn;
  unknown.replace(unknown.find("\"llm\""), 5, "\"nope\"");
  CHECK(IsRefused(Configuration(unknown)));
  std::string no_time = kTurn;
  no_time.replace(no_time.find("3000"), 4, "0");
  CHECK(IsRefused(Configuration(no_time)));
  std::string no_weight = kTurn;
  no_weight.replace(no_weight.find(R"("service":"llm")"), 15,
                    R"("backends":[{"service":"llm","weight":0}])");
  CHECK(IsRefused(Configuration(no_weight)));
  CHECK(IsRefused("[]"));
}

TEST_CASE("Numbers of a configuration that are out of range are refused") {
  const auto replaced = [](const std::string& from, const std::string& to) {
    std::string text = Configuration(kTurn);
    return text.replace(text.find(from), from.size(), to);
  };
  for (const char* number : {"-1", "1e300"}) {
    CAPTURE(number);
    const std::string value(number);
    CHECK(IsRefused(replaced("3000", value)));
    CHECK(IsRefused(replaced(R"("slo_ms":200)", R"("slo_ms":)" + value)));
    CHECK(IsRefused(replaced(R"("priority":1)", R"("priority":)" + value)));
    CHECK(IsRefused(
        replaced(R"("max_attempts":1)", R"("max_attempts":)" + value)));
    CHECK(IsRefused(replaced("170", value)));
    CHECK(IsRefused(replaced("9000", value)));
    CHECK(IsRefused(replaced("16384", value)));
    CHECK(IsRefused(replaced("4194304", value)));
    CHECK(IsRefused(replaced("15000", value)));
    CHECK(IsRefused(
        replaced(R"("service":"llm")",
                 R"("backends":[{"service":"llm","weight":)" + value + "}]")));
  }
}

TEST_CASE("A number that is followed by other text is not taken") {
  const PlatformCallCodec codec;
  transport::RelayRequest request;
  request.fields = {{"X-Request-Id", "r"},
                    {"X-Deadline-Ms", "12x"},
                    {"X-Token-Budget", "500 600"},
                    {"X-Token-Usage", "100,80"}};
  const relay::CallHead head = codec.DecodeCall(request);
  CHECK_FALSE(head.caller_timeout);
  CHECK_FALSE(head.token_budget);
  CHECK(head.prompt_tokens == 100);
  CHECK(head.max_output_tokens == 80);
}

TEST_CASE("Every finding of a configuration is reported") {
  std::string broken = kTurn;
  broken.replace(broken.find("\"llm\""), 5, "\"nope\"");
  broken.replace(broken.find("3000"), 4, "0");
  const Decoded decoded = DecodeConfiguration(Configuration(broken));
  CHECK(std::get<core::FindingList>(decoded).findings().size() == 2);
}

transport::RelayRequest Turn() {
  transport::RelayRequest request;
  request.method = "POST";
  request.target = "/a/x?y=1";
  request.host = "h.example";
  request.fields = {{"Host", "h.example"},
                    {"X-Request-Id", "r1"},
                    {"X-Deadline-Ms", "3000"},
                    {"X-Program-Id", "p1"},
                    {"X-Token-Budget", "2288"},
                    {"X-Token-Usage", "1840,286"},
                    {"X-Prompt-Prefix", "5c:800,91:410,e4:250"},
                    {"X-Hold", "forged"},
                    {"X-Expect-Instance", "forged"},
                    {"Connection", "keep-alive, X-Private"},
                    {"X-Private", "1"},
                    {"Transfer-Encoding", "chunked"}};
  request.body = "body";
  return request;
}

TEST_CASE("The header fields of a call are decoded") {
  const PlatformCallCodec codec;
  const relay::CallHead head = codec.DecodeCall(Turn());
  CHECK(head.request_id == "r1");
  CHECK(head.caller_timeout == std::chrono::milliseconds(3000));
  CHECK(head.token_budget == 2288);
  CHECK(head.prompt_tokens == 1840);
  CHECK(head.max_output_tokens == 286);
  REQUIRE(head.prompt_parts.size() == 3);
  CHECK(head.prompt_parts[1] == relay::PromptPart{"91", 410});
}

TEST_CASE("A forwarded call contains no field that callers must not set") {
  const PlatformCallCodec codec;
  const std::string sent =
      codec.EncodeForward(Turn(), {"i-1", std::chrono::milliseconds(1234), 5});
  CHECK(sent.starts_with("POST /a/x?y=1 HTTP/1.1\r\n"));
  CHECK(sent.find("forged") == std::string::npos);
  CHECK(sent.find("X-Private") == std::string::npos);
  CHECK(sent.find("chunked") == std::string::npos);
  CHECK(sent.find("X-Deadline-Ms: 1234\r\n") != std::string::npos);
  CHECK(sent.find("X-Expect-Instance: i-1\r\n") != std::string::npos);
  CHECK(sent.find("Last-Event-Id: 5\r\n") != std::string::npos);
  CHECK(sent.ends_with("Content-Length: 4\r\n\r\nbody"));
}

TEST_CASE("A response tells whether and where its call ran") {
  const PlatformCallCodec codec;
  const relay::ResponseInfo shed = codec.DecodeResponse(
      {503, {{"X-Not-Executed", "1"}, {"X-Server-Load", "12,3,12"}}});
  CHECK(shed.not_run);
  CHECK(shed.running == 12);
  CHECK(shed.waiting == 3);
  const relay::ResponseInfo moved = codec.DecodeResponse({421, {}});
  CHECK(moved.wrong_upstream);
  const relay::ResponseInfo good =
      codec.DecodeResponse({200,
                            {{"X-Server-Signature", "s"},
                             {"X-Request-Id", "r1"},
                             {"Keep-Alive", "timeout=5, max=9"}}});
  CHECK(good.has_signature);
  CHECK_FALSE(good.not_run);
  CHECK(good.idle_timeout == std::chrono::milliseconds(5000));
}

transport::ResponseHead HeadWith(const transport::HeaderList& fields) {
  transport::ResponseHead head;
  head.status = 200;
  head.fields = fields;
  return head;
}

// Guards against missing that an upstream is draining, and against taking out
// one that says something else.
TEST_CASE("Only a 1 in the field says that an upstream is draining") {
  const PlatformCallCodec codec;
  const auto is_draining = [&codec](const transport::HeaderList& fields) {
    return codec.DecodeResponse(HeadWith(fields)).draining;
  };
  CHECK_FALSE(is_draining({}));
  CHECK(is_draining({{"Server-Leaving", "1"}}));
  CHECK(is_draining({{"server-leaving", " 1 "}}));
  CHECK(is_draining({{"Server-Leaving", "1"}, {"Server-Leaving", "1"}}));
  CHECK(is_draining({{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}));
  CHECK(is_draining({{"Server-Leaving", "0, 1"}}));
  for (const char* value : {"", "0", "2", "10", "01", "true", "1;x", "1 1"}) {
    CAPTURE(value);
    CHECK_FALSE(is_draining({{"Server-Leaving", value}}));
  }
}

// Guards against a limit of requests that an upstream names and nobody reads.
TEST_CASE("The request limit that an upstream names is decoded") {
  const PlatformCallCodec codec;
  const auto decode = [&](const transport::HeaderList& fields) {
    return codec.DecodeResponse(HeadWith(fields));
  };
  CHECK_FALSE(decode({}).request_limit);
  CHECK_FALSE(decode({}).has_malformed_limit);
  CHECK(decode({{"Server-Limit", "8.8"}}).request_limit == 8.8);
  CHECK(decode({{"server-limit", " 12 "}}).request_limit == 12.0);
  CHECK(decode({{"Server-Limit", "0"}}).request_limit == 0.0);
  CHECK(
      decode({{"Server-Limit", "9"}, {"Server-Limit", "4.5"}}).request_limit ==
      4.5);
  CHECK(decode({{"Server-Limit", "9, 4.5"}}).request_limit == 4.5);
  for (const char* value : {"", "-1", "x", "8x", "nan", "inf", "1e999"}) {
    CAPTURE(value);
    const relay::ResponseInfo info = decode({{"Server-Limit", value}});
    CHECK_FALSE(info.request_limit);
    CHECK(info.has_malformed_limit);
  }
}

}  // namespace
}  // namespace hawthorn::platform

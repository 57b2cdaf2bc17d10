#include <QTimer>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "relay/event_data.h"
#include "relay_fixture.h"

namespace hawthorn::relay {
namespace {

using Step = ScriptedUpstream::Step;

/// History whose answers the test decides.
class FakeHistory final : public TurnHistory {
 public:
  void Read(const std::string&, const std::string& turn,
            std::chrono::milliseconds, ReadCallback callback) override {
    reads.push_back(turn);
    read_callbacks.push_back(std::move(callback));
    if (answers_reads) {
      AnswerRead();
    }
  }
  void Write(const TurnRecord& record, std::chrono::milliseconds,
             WriteCallback callback) override {
    writes.push_back(record);
    write_callbacks.push_back(std::move(callback));
  }
  void AnswerRead() {
    QTimer::singleShot(
        0, [this, callback = read_callbacks.back()] { callback(chain); });
  }

  bool answers_reads = true;
  core::Result<TurnChain> chain = TurnChain{"in1\nout1\nin2\nout2\n", "a/r0"};
  std::vector<std::string> reads;
  std::vector<ReadCallback> read_callbacks;
  std::vector<TurnRecord> writes;
  std::vector<WriteCallback> write_callbacks;
};

core::Error ErrorWith(core::ErrorCode code) {
  return {code, "why", core::Execution::kNotRun, {}};
}

struct KeptTurns {
  FakeHistory history;
  RelayFixture it{RelayCall::kProgressTimeout, nullptr, nullptr, nullptr,
                  &history};
};

constexpr const char* kEnd = "\r\n0\r\n\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against output that differs from what the caller took from the events:
// joined data lines, other line ends, fields with similar names, comments.
TEST_CASE("The data of an event is that of its data lines") {
  const auto data = [](std::string_view event) {
    std::string out;
    AppendEventData(event, &out);
    return out;
  };
  CHECK(data("id: 1\ndata: a b\n\n") == "a b\n");
  CHECK(data("data:a\ndata:  b\nid: 2\n\n") == "a\n b\n");
  CHECK(data("data: a\r\ndata\r\ndata: c\r\n\r\n") == "a\n\nc\n");
  CHECK(data("data: a\rid: 1\r\r") == "a\n");
  CHECK(data("database: a\n: data: b\nevent: data\n\n").empty());
  CHECK(data("data:\n\n") == "\n");
}

// Guards against a response that looks complete before its turn is durable, and
// against an output that lacks events or depends on how they were split.
TEST_CASE("The end of a kept turn waits until it is written") {
  KeptTurns test;
  ScriptedUpstream upstream([](const std::string& request) -> Step {
    return {StreamHead(request) +
            transport::SerializeChunk("id: 1\ndata: a\nda")};
  });
  test.it.AddUpstream("u", upstream.address());
  Caller caller(test.it.port());
  caller.Send(RelayFixture::Request("/kept/x", "r1"));
  REQUIRE(WaitFor([&] { return upstream.requests().size() == 1; }));
  CHECK(upstream.requests()[0].ends_with("\r\n\r\nhi"));
  upstream.Send(transport::SerializeChunk("ta: b\n\n") + EventChunk(2) +
                "0\r\n\r\n");
  REQUIRE(WaitFor([&] { return test.history.writes.size() == 1; }));
  REQUIRE(WaitFor([&] { return Contains(caller.received(), "e2"); }));
  CHECK_FALSE(caller.received().ends_with(kEnd));
  const TurnRecord& record = test.history.writes[0];
  CHECK(record.turn == "r1");
  CHECK(record.previous.empty());
  CHECK(record.chain_key.empty());
  CHECK(record.input == "hi");
  CHECK(record.output == "a\nb\ne2\n");
  CHECK(record.retention == std::chrono::milliseconds(60000));
  // The upstream is free while the turn is being written.
  test.it.relay().UpdateGauges();
  CHECK(Contains(test.it.metrics().Exposition(),
                 "hawthorn_upstream_links_in_use 0"));
  test.history.write_callbacks[0](std::monostate{});
  REQUIRE(WaitFor([&] { return caller.received().ends_with(kEnd); }));
  CHECK(test.history.reads.empty());
  CHECK(test.it.relay().open_calls() == 0);
}

// Guards against a chain that is read after the claim instead of beside it, is
// left out of an attempt, or differs from the stored bytes.
TEST_CASE("The turns before precede the body on every attempt") {
  KeptTurns test;
  int runs = 0;
  ScriptedUpstream upstream([&runs](const std::string& request) -> Step {
    if (++runs == 1) {
      return {"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: " +
              IdOf(request) + "\r\nContent-Length: 0\r\n\r\n"};
    }
    return {StreamHead(request) + EventChunk(1) + "0\r\n\r\n"};
  });
  test.it.AddUpstream("u", upstream.address());
  test.history.answers_reads = false;
  Caller caller(test.it.port());
  caller.Send(RelayFixture::Request(
      "/kept/x", "r3",
      "X-Previous-Turn: r2\r\nX-Program-Id: p\r\nX-Token-Budget: 500\r\n"));
  REQUIRE(WaitFor([&] { return test.history.reads.size() == 1; }));
  REQUIRE(WaitFor([&] { return test.it.ledger.claims.size() == 1; }));
  CHECK(test.history.reads[0] == "r2");
  CHECK(upstream.requests().empty());
  test.history.AnswerRead();
  REQUIRE(WaitFor([&] { return test.history.writes.size() == 1; }));
  REQUIRE(upstream.requests().size() == 2);
  for (const std::string& request : upstream.requests()) {
    CHECK(request.ends_with("\r\n\r\nin1\nout1\nin2\nout2\nhi"));
    CHECK(Contains(request, "Content-Length: 20\r\n"));
    CHECK(Contains(request, "X-Previous-Turn: r2\r\n"));
  }
  CHECK(test.history.writes[0].previous == "r2");
  CHECK(test.history.writes[0].chain_key == "a/r0");
  CHECK(test.history.writes[0].input == "hi");
}

// Guards against a turn that runs without its chain.
TEST_CASE("A turn whose chain cannot be read is refused and not run") {
  KeptTurns test;
  ScriptedUpstream upstream([](const std::string& request) -> Step {
    return {StreamHead(request) + "0\r\n\r\n"};
  });
  test.it.AddUpstream("u", upstream.address());
  test.history.chain = ErrorWith(core::ErrorCode::kNotFound);
  Caller denied(test.it.port());
  denied.Send(
      RelayFixture::Request("/kept/x", "r1", "X-Previous-Turn: r0\r\n"));
  REQUIRE(WaitFor([&] { return !denied.received().empty(); }));
  CHECK(denied.received().starts_with("HTTP/1.1 404 "));
  test.history.chain = ErrorWith(core::ErrorCode::kUnavailable);
  Caller uncertain(test.it.port());
  uncertain.Send(
      RelayFixture::Request("/kept/x", "r2", "X-Previous-Turn: r0\r\n"));
  REQUIRE(WaitFor([&] { return !uncertain.received().empty(); }));
  CHECK(uncertain.received().starts_with("HTTP/1.1 503 "));
  CHECK(Contains(uncertain.received(), "Retry-After: "));
  Caller resuming(test.it.port());
  resuming.Send(RelayFixture::Request("/kept/x", "r3", "Last-Event-Id: 1\r\n"));
  REQUIRE(WaitFor([&] { return !resuming.received().empty(); }));
  CHECK(resuming.received().starts_with("HTTP/1.1 503 "));
  CHECK(upstream.requests().empty());
}

// Guards against a response that looks complete although its turn was lost, and
// against turns that count although their stream was cut.
TEST_CASE("A kept turn that cannot be written does not look complete") {
  KeptTurns test;
  ScriptedUpstream upstream([](const std::string& request) -> Step {
    return {StreamHead(request) + EventChunk(1) +
            (IdOf(request) == "cut" ? "" : "0\r\n\r\n")};
  });
  test.it.AddUpstream("u", upstream.address());
  Caller caller(test.it.port());
  caller.Send(RelayFixture::Request("/kept/x", "r1"));
  REQUIRE(WaitFor([&] { return test.history.writes.size() == 1; }));
  test.history.write_callbacks[0](ErrorWith(core::ErrorCode::kUnavailable));
  REQUIRE(WaitFor([&] { return caller.reset(); }));
  CHECK_FALSE(caller.received().ends_with(kEnd));
  // A deadline in the middle of a write.
  Caller late(test.it.port());
  late.Send(RelayFixture::Request("/kept/x", "r2", "X-Deadline-Ms: 300\r\n"));
  REQUIRE(WaitFor([&] { return late.reset(); }));
  CHECK_FALSE(late.received().ends_with(kEnd));
  test.history.write_callbacks.back()(std::monostate{});
  // A caller that leaves before the end.
  const size_t writes = test.history.writes.size();
  Caller leaving(test.it.port());
  leaving.Send(RelayFixture::Request("/kept/x", "cut"));
  REQUIRE(WaitFor([&] { return Contains(leaving.received(), "e1"); }));
  leaving.Disconnect();
  REQUIRE(WaitFor([&] { return test.it.relay().open_calls() == 0; }));
  CHECK(test.history.writes.size() == writes);
}

}  // namespace hawthorn::relay

#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "tests/peer/peer_test_support.h"

namespace hawthorn::peer {
namespace {

using std::chrono::milliseconds;
using test::Pair;
using test::SendRequest;
using test::TextMessage;
using test::TextOf;
using test::WaitUntil;

TEST_CASE("a request reaches its peer with the authenticated sender") {
  const Pair pair;
  std::string sender;
  pair.b->SetHandler([&](const schema::PeerMessage& message, Replier replier) {
    sender = message.from();
    test::Echo(message, replier);
  });
  auto forged = TextMessage("hello");
  forged.set_from("somebody");
  std::optional<core::Result<schema::PeerMessage>> reply;
  pair.a->Request(pair.right_id, forged, test::kDeadline,
                  [&](auto result) { reply = std::move(result); });
  REQUIRE_FALSE(reply.has_value());
  REQUIRE(WaitUntil([&] { return reply.has_value(); }));
  REQUIRE(TextOf(reply) == "hello");
  REQUIRE(core::Value(*reply).from() == "right");
  REQUIRE(sender == "left");
  REQUIRE(pair.a->IsConnected(pair.right_id));
}

TEST_CASE("replies sent out of order reach the right requests") {
  constexpr int kRequests = 200;
  const Pair pair;
  std::vector<std::pair<std::string, Replier>> repliers;
  pair.b->SetHandler([&](const schema::PeerMessage& message, Replier replier) {
    repliers.emplace_back(message.configuration(), std::move(replier));
  });
  std::map<int, std::string> replies;
  for (int n = 0; n < kRequests; ++n) {
    pair.a->Request(pair.right_id, TextMessage(std::to_string(n)),
                    test::kDeadline, [&replies, n](auto result) {
                      replies[n] = core::Value(result).configuration();
                    });
  }
  REQUIRE(WaitUntil([&] { return repliers.size() == kRequests; }));
  for (auto it = repliers.rbegin(); it != repliers.rend(); ++it) {
    it->second.Reply(TextMessage("reply to " + it->first));
  }
  REQUIRE(WaitUntil([&] { return replies.size() == kRequests; }));
  for (const auto& [n, text] : replies) {
    REQUIRE(text == "reply to " + std::to_string(n));
  }
}

TEST_CASE("one-way messages are received once and expect no reply") {
  const Pair pair;
  std::vector<std::string> received;
  pair.b->SetHandler([&](const schema::PeerMessage& message, Replier replier) {
    received.push_back(message.configuration());
    REQUIRE_FALSE(replier.IsOpen());
  });
  for (int n = 0; n < 50; ++n) {
    REQUIRE(core::IsOk(
        pair.a->Send(pair.right_id, TextMessage(std::to_string(n)))));
  }
  REQUIRE(WaitUntil([&] { return received.size() >= 50; }));
  REQUIRE(received.size() == 50);
  REQUIRE(std::set<std::string>(received.begin(), received.end()).size() == 50);
}

/// Guards against entries of a log that overtake each other: the follower
/// rejects them and the leader sends all of them again.
TEST_CASE("one-way messages of any size arrive in the order of their sending") {
  constexpr size_t kMessages = 60;
  constexpr size_t kLargeBytes = size_t{200} * 1024;
  const Pair pair;
  std::vector<size_t> received;
  pair.b->SetHandler([&](const schema::PeerMessage& message, Replier) {
    received.push_back(std::stoul(message.configuration()));
  });
  std::vector<size_t> sent;
  for (size_t n = 0; n < kMessages; ++n) {
    const size_t padding = n % 3 == 0 ? kLargeBytes : 0;
    const schema::PeerMessage message =
        TextMessage(std::to_string(n) + std::string(padding, ' '));
    REQUIRE(core::IsOk(pair.a->Send(pair.right_id, message)));
    sent.push_back(n);
  }
  REQUIRE(WaitUntil([&] { return received.size() == kMessages; }));
  CHECK(received == sent);
}

TEST_CASE(
    "a message of several megabytes is sent and a larger one is refused") {
  PeerOptions left = test::OptionsOf("left");
  left.max_message_bytes = 5'000'000;
  const Pair pair(left);
  pair.b->SetHandler(test::Echo);
  const std::string big(4'999'000, 'x');
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, big)) == big);
  const auto refused =
      SendRequest(*pair.a, pair.right_id, std::string(5'000'001, 'x'));
  REQUIRE(core::ErrorOf(*refused).code == core::ErrorCode::kInvalidArgument);
  REQUIRE(core::ErrorOf(*refused).execution == core::Execution::kNotRun);
}

TEST_CASE("a message that is too large for the receiver is not run") {
  PeerOptions right = test::OptionsOf("right");
  right.max_message_bytes = 100'000;
  const Pair pair(test::OptionsOf("left"), right);
  int handled = 0;
  pair.b->SetHandler([&](const auto&, const Replier&) { ++handled; });
  const auto reply =
      SendRequest(*pair.a, pair.right_id, std::string(200'000, 'x'));
  REQUIRE(core::ErrorOf(*reply).execution == core::Execution::kNotRun);
  REQUIRE(pair.b->counters().refused_messages == 1);
  REQUIRE(handled == 0);
}

TEST_CASE("a streamed reply is received completely and in order") {
  constexpr int kChunks = 300;
  const Pair pair;
  pair.b->SetHandler([&](const auto&, const Replier& replier) {
    for (int n = 0; n < kChunks; ++n) {
      REQUIRE(core::IsOk(replier.SendChunk(TextMessage(std::to_string(n)))));
    }
    replier.Finish();
  });
  std::vector<std::string> chunks;
  std::optional<core::Status> end;
  pair.a->OpenStream(
      pair.right_id, TextMessage("go"), test::kDeadline,
      {.on_chunk =
           [&](const auto& chunk) { chunks.push_back(chunk.configuration()); },
       .on_end = [&](const core::Status& status) { end = status; }});
  REQUIRE(WaitUntil([&] { return end.has_value(); }));
  REQUIRE(core::IsOk(*end));
  REQUIRE(chunks.size() == kChunks);
  for (int n = 0; n < kChunks; ++n) {
    REQUIRE(chunks[n] == std::to_string(n));
  }
}

TEST_CASE("the replier is notified when the requester cancels a stream") {
  const Pair pair;
  bool cancelled = false;
  std::optional<Replier> saved;
  pair.b->SetHandler([&](const auto&, const Replier& replier) {
    saved = replier;
    replier.OnCancel([&] { cancelled = true; });
    (void)replier.SendChunk(TextMessage("first"));
  });
  int chunks = 0;
  int ends = 0;
  const StreamHandle stream =
      pair.a->OpenStream(pair.right_id, TextMessage("go"), test::kDeadline,
                         {.on_chunk = [&](const auto&) { ++chunks; },
                          .on_end = [&](const auto&) { ++ends; }});
  REQUIRE(WaitUntil([&] { return chunks == 1; }));
  pair.a->CancelStream(stream);
  REQUIRE(WaitUntil([&] { return cancelled; }));
  REQUIRE_FALSE(saved->IsOpen());
  REQUIRE_FALSE(core::IsOk(saved->SendChunk(TextMessage("late"))));
  REQUIRE(ends == 0);
}

TEST_CASE("an error of the replier reaches the requester after the chunks") {
  const Pair pair;
  pair.b->SetHandler([&](const auto&, const Replier& replier) {
    (void)replier.SendChunk(TextMessage("first"));
    core::Error error;
    error.code = core::ErrorCode::kBudgetExceeded;
    error.message = "no tokens left";
    error.execution = core::Execution::kRan;
    error.retry_after = milliseconds(70);
    replier.Fail(error);
  });
  int chunks = 0;
  std::optional<core::Status> end;
  pair.a->OpenStream(pair.right_id, TextMessage("go"), test::kDeadline,
                     {.on_chunk = [&](const auto&) { ++chunks; },
                      .on_end = [&](const auto& status) { end = status; }});
  REQUIRE(WaitUntil([&] { return end.has_value(); }));
  const core::Error& error = core::ErrorOf(*end);
  REQUIRE(chunks == 1);
  REQUIRE(error.code == core::ErrorCode::kBudgetExceeded);
  REQUIRE(error.execution == core::Execution::kRan);
  REQUIRE(error.retry_after == milliseconds(70));
}

TEST_CASE(
    "a replier that sends too fast gets kOverloaded and continues later") {
  PeerOptions right = test::OptionsOf("right");
  right.max_stream_queued_bytes = 100'000;
  const Pair pair(test::OptionsOf("left"), right);
  constexpr size_t kChunks = 100;
  size_t sent = 0;
  size_t overloads = 0;
  std::optional<Replier> saved;
  std::function<void()> write = [&] {
    while (sent < kChunks) {
      const auto status =
          saved->SendChunk(TextMessage(std::string(40'000, 'x')));
      if (!core::IsOk(status)) {
        REQUIRE(core::ErrorOf(status).code == core::ErrorCode::kOverloaded);
        ++overloads;
        saved->OnWritable(write);
        return;
      }
      ++sent;
    }
    saved->Finish();
  };
  pair.b->SetHandler([&](const auto&, const Replier& replier) {
    saved = replier;
    write();
  });
  size_t received = 0;
  std::optional<core::Status> end;
  pair.a->OpenStream(pair.right_id, TextMessage("go"), test::kDeadline,
                     {.on_chunk = [&](const auto&) { ++received; },
                      .on_end = [&](const auto& status) { end = status; }});
  REQUIRE(WaitUntil([&] { return end.has_value(); }));
  REQUIRE(core::IsOk(*end));
  REQUIRE(overloads > 0);
  REQUIRE(received == kChunks);
}

TEST_CASE("a request without a reply fails as unknown") {
  const Pair pair;
  pair.b->SetHandler([](const auto&, const Replier&) {});
  const auto reply = SendRequest(*pair.a, pair.right_id, "ignored");
  REQUIRE(core::ErrorOf(*reply).code == core::ErrorCode::kInternal);
  REQUIRE(core::ErrorOf(*reply).execution == core::Execution::kUnknown);
}

TEST_CASE("a reply after the timeout is discarded") {
  const Pair pair;
  std::optional<Replier> saved;
  pair.b->SetHandler([&](const auto& message, const Replier& replier) {
    if (message.configuration() == "slow") {
      saved = replier;
    } else {
      test::Echo(message, replier);
    }
  });
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "warm")) == "warm");
  const auto reply =
      SendRequest(*pair.a, pair.right_id, "slow", milliseconds(50));
  REQUIRE(core::ErrorOf(*reply).code == core::ErrorCode::kDeadlineExceeded);
  REQUIRE(core::ErrorOf(*reply).execution == core::Execution::kUnknown);
  REQUIRE(saved.has_value());
  saved->Reply(TextMessage("late"));
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "next")) == "next");
}

TEST_CASE("an idle link closes and opens again when needed") {
  PeerOptions left = test::OptionsOf("left");
  left.idle_timeout = milliseconds(50);
  const Pair pair(left);
  pair.b->SetHandler(test::Echo);
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "one")) == "one");
  REQUIRE(WaitUntil([&] { return !pair.a->IsConnected(pair.right_id); }));
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "two")) == "two");
  REQUIRE(pair.a->counters().links_opened == 2);
}

TEST_CASE("framing of a small message stays within 40 bytes") {
  constexpr uint64_t kMessages = 200;
  const Pair pair;
  uint64_t received = 0;
  pair.b->SetHandler([&](const auto&, const Replier&) { ++received; });
  const auto send = [&] {
    const uint64_t wanted = received + 1;
    (void)pair.a->Send(pair.right_id, TextMessage("gossip"));
    REQUIRE(WaitUntil([&] { return received == wanted; }));
  };
  send();
  const PeerCounters before = pair.b->counters();
  for (uint64_t n = 0; n < kMessages; ++n) {
    send();
  }
  const PeerCounters after = pair.b->counters();
  const uint64_t bytes =
      after.bytes_in - before.bytes_in + after.bytes_out - before.bytes_out;
  const uint64_t framing =
      bytes / kMessages - TextMessage("gossip").ByteSizeLong();
  CAPTURE(framing);
  REQUIRE(framing > 0);
  REQUIRE(framing <= 40);
}

TEST_CASE("an unknown instance and an invalid address are refused") {
  const Pair pair;
  const core::InstanceId nobody("nobody");
  const auto reply = SendRequest(*pair.a, nobody, "hello");
  REQUIRE(core::ErrorOf(*reply).code == core::ErrorCode::kNotFound);
  REQUIRE_FALSE(core::IsOk(pair.a->Send(nobody, TextMessage("hello"))));
  for (const char* address : {"127.0.0.1", "host:12", "127.0.0.1:99999", ""}) {
    REQUIRE_FALSE(core::IsOk(pair.a->SetPeer(nobody, address)));
  }
}

}  // namespace
}  // namespace hawthorn::peer

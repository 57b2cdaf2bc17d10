#include "main/groups/replicated_groups.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "core/clock.h"

namespace hawthorn::main {
namespace {

using std::chrono::milliseconds;

/// Records requests, so that a test can reply to them.
class Peers final : public PeerSink {
 public:
  void Send(const core::InstanceId& /*to*/,
            schema::PeerMessage /*message*/) override {}
  void Request(const core::InstanceId& to, schema::PeerMessage message,
               milliseconds /*timeout*/, ReplyHandler on_reply) override {
    requested_hosts.push_back(to.text());
    commands.push_back(message.propose().command());
    last = std::move(on_reply);
  }

  std::vector<std::string> requested_hosts;
  std::vector<std::string> commands;
  ReplyHandler last;
};

class NoJournal final : public storage::JournalSink {
 public:
  void Write(const std::string& /*group*/, storage::LogStore& /*store*/,
             storage::LogBatch /*batch*/) override {}
};

struct Fixture {
  Fixture() : groups({clock, peers, journal, timers, "a1"}) {
    groups.SetHosts("control", {"a1", "a2", "a3"});
    groups.Propose("control", "change",
                   [this](const core::Result<std::string>& it) { reply = it; });
  }

  void LoseReply() {
    peers.last(core::Error{core::ErrorCode::kDeadlineExceeded,
                           "no answer in time",
                           core::Execution::kUnknown,
                           {}});
    clock.Advance(milliseconds(100));
    timers.RunDue(clock.Now());
  }

  core::ManualClock clock;
  Peers peers;
  NoJournal journal;
  Timers timers;
  ReplicatedGroups groups;
  std::optional<core::Result<std::string>> reply;
};

TEST_CASE("a command is proposed again after its reply is lost") {
  Fixture it;
  it.LoseReply();
  REQUIRE_FALSE(it.reply);
  REQUIRE(it.peers.requested_hosts.size() == 2);
  REQUIRE(it.peers.commands.back() == "change");
  schema::PeerMessage message;
  message.mutable_propose_reply()->set_status(
      schema::ProposeReply::STATUS_COMMITTED);
  message.mutable_propose_reply()->set_reply("done");
  it.peers.last(message);
  REQUIRE(it.reply);
  REQUIRE(core::Value(*it.reply) == "done");
}

TEST_CASE("a command that may be committed is never reported as not run") {
  Fixture it;
  it.LoseReply();
  // Replies to later attempts say nothing about the first one.
  for (int n = 0; n < 1000 && !it.reply; ++n) {
    schema::PeerMessage message;
    message.mutable_propose_reply()->set_status(
        schema::ProposeReply::STATUS_NOT_LEADER);
    it.peers.last(message);
    it.clock.Advance(milliseconds(100));
    it.timers.RunDue(it.clock.Now());
  }
  REQUIRE(it.reply);
  REQUIRE(core::ErrorOf(*it.reply).execution == core::Execution::kUnknown);
}

TEST_CASE("a refusal after a lost reply leaves the outcome unknown") {
  Fixture it;
  it.LoseReply();
  schema::PeerMessage message;
  message.mutable_propose_reply()->set_status(
      schema::ProposeReply::STATUS_REFUSED);
  it.peers.last(message);
  REQUIRE(it.reply);
  REQUIRE(core::ErrorOf(*it.reply).execution == core::Execution::kUnknown);
}

}  // namespace
}  // namespace hawthorn::main

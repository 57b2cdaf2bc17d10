// A replica knows how old its state may be, whatever it hears from its leader.
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "consensus/group.h"
#include "tests/consensus/simulation.h"

namespace hawthorn::consensus {
namespace {

using std::chrono::milliseconds;

/// A state machine that counts its commands.
class CountingMachine {
 public:
  std::string Apply(uint64_t /*index*/, std::string_view /*command*/) {
    return std::to_string(++count_);
  }
  std::string Snapshot() const { return std::to_string(count_); }
  core::Status Restore(std::string_view bytes) {
    count_ = std::stoi(std::string(bytes));
    return std::monostate{};
  }
  int count() const { return count_; }

 private:
  int count_ = 0;
};

struct Node {
  std::unique_ptr<SimulatedDisk> store;
  CountingMachine machine;
  std::unique_ptr<Group<CountingMachine>> group;
  bool disk_stalled = false;
  bool is_down = false;
  /// Time that messages to this replica are on their way.
  milliseconds delay{0};
};

/// Three replicas on an injected clock, whose disks stall and whose messages
/// are delayed or changed.
class Fixture {
 public:
  using Filter = std::function<void(schema::ConsensusMessage*)>;

  Fixture() {
    uint64_t incarnation = 0;
    for (const std::string name : {"a", "b", "c"}) {
      nodes_[name].store = std::make_unique<SimulatedDisk>(++incarnation, true);
      Open(name);
    }
    for (int i = 0; i < 300 && Leader().empty(); ++i) {
      Run(milliseconds(10));
    }
    REQUIRE_FALSE(Leader().empty());
    Run(milliseconds(500));
  }

  void Open(const std::string& name) {
    GroupOptions options;
    options.replica.id.instance = name;
    options.replica.seed = name.front();
    options.replica.lease_reads = false;
    options.replica.election_timeout = milliseconds(350);
    options.replica.heartbeat_interval = milliseconds(90);
    options.replica.max_appends_in_flight = 4;
    options.snapshot_entries = 50;
    options.replica.retained_entries = 10;
    uint64_t incarnation = 0;
    for (const std::string member : {"a", "b", "c"}) {
      options.replica.initial_members.push_back(
          Member{ReplicaId{member, ++incarnation}, true, true});
    }
    Node& node = nodes_[name];
    node.group = core::TakeValue(Group<CountingMachine>::Open(
        options, node.store.get(), &node.machine, now_));
  }

  void Run(milliseconds length) {
    for (milliseconds t{0}; t < length; t += milliseconds(5)) {
      now_ += milliseconds(5);
      for (auto& [name, node] : nodes_) {
        if (!node.is_down) {
          node.group->Tick(now_);
        }
      }
      // Some rounds of messages, as many as fit into 5 ms.
      for (int i = 0; i < 4; ++i) {
        Exchange();
      }
    }
  }

  /// Commits commands one after the other.
  void Commit(int count) {
    for (int i = 0; i < count; ++i) {
      bool done = false;
      nodes_[Leader()].group->Propose(
          "x", [&done](const auto& result) { done = core::IsOk(result); },
          now_);
      for (int n = 0; n < 200 && !done; ++n) {
        Run(milliseconds(5));
      }
      REQUIRE(done);
    }
  }

  std::string Leader() const {
    for (const auto& [name, node] : nodes_) {
      if (node.group && !node.is_down && node.group->is_leader()) {
        return name;
      }
    }
    return {};
  }
  std::string Follower() const { return Leader() == "a" ? "b" : "a"; }
  core::TimePoint now() const { return now_; }
  Node& node(const std::string& name) { return nodes_.at(name); }
  milliseconds StateAge(const std::string& name) {
    const auto at = node(name).group->replica().CurrentAsOf();
    return at ? core::MillisecondsBetween(*at, now_) : milliseconds::max();
  }
  milliseconds ContactAge(const std::string& name) {
    const auto at = node(name).group->replica().LastContact();
    return at ? core::MillisecondsBetween(*at, now_) : milliseconds::max();
  }
  void SetFilter(Filter filter) { filter_ = std::move(filter); }

 private:
  void Exchange() {
    for (auto& [name, node] : nodes_) {
      if (node.is_down) {
        continue;
      }
      if (!node.disk_stalled) {
        node.group->Persist(now_);
      }
      for (schema::ConsensusMessage& message : node.group->TakeOutbox(now_)) {
        if (filter_) {
          filter_(&message);
        }
        const std::string to = message.to().instance();
        network_.emplace(now_ + nodes_[to].delay, std::move(message));
      }
    }
    while (!network_.empty() && network_.begin()->first <= now_) {
      const schema::ConsensusMessage message =
          std::move(network_.extract(network_.begin()).mapped());
      Node& to = nodes_[message.to().instance()];
      if (!to.is_down) {
        to.group->Step(message, now_);
      }
    }
  }

  core::TimePoint now_ = core::TimePoint() + milliseconds(1000);
  std::map<std::string, Node> nodes_;
  std::multimap<core::TimePoint, schema::ConsensusMessage> network_;
  Filter filter_;
};

/// Three heartbeat intervals and what a round trip takes here: the leader hears
/// a reply, has its leadership confirmed, and tells of it.
constexpr milliseconds kSteadyAge{420};

TEST_CASE("the state of replicas in a calm group stays young") {
  Fixture it;
  for (int i = 0; i < 20; ++i) {
    it.Commit(1);
    it.Run(milliseconds(95));
    for (const std::string name : {"a", "b", "c"}) {
      CHECK(it.StateAge(name) < kSteadyAge);
    }
  }
}

// Guards against a follower that hears heartbeats alone and takes its state for
// current, because its disk does not acknowledge the entries before.
TEST_CASE("the state of a follower whose disk stalls grows old") {
  Fixture it;
  const std::string follower = it.Follower();
  it.node(follower).disk_stalled = true;
  it.Commit(20);
  it.Run(milliseconds(2000));
  CHECK(it.ContactAge(follower) < kSteadyAge);
  CHECK(it.StateAge(follower) > milliseconds(1500));
  CHECK(it.node(follower).machine.count() <
        it.node(it.Leader()).machine.count());
  it.node(follower).disk_stalled = false;
  it.Run(milliseconds(500));
  CHECK(it.StateAge(follower) < kSteadyAge);
  CHECK(it.node(follower).machine.count() ==
        it.node(it.Leader()).machine.count());
}

// Guards against messages that were on their way for long, or that a suspended
// process finds in its buffers, and that count as news.
TEST_CASE("the state is no younger than the messages that tell of it") {
  Fixture it;
  const std::string follower = it.Follower();
  it.node(follower).delay = milliseconds(700);
  it.Run(milliseconds(4000));
  REQUIRE(it.Leader() != follower);
  REQUIRE(it.ContactAge(follower) < kSteadyAge);
  CHECK(it.StateAge(follower) >= milliseconds(700));
  it.node(follower).delay = milliseconds(0);
  it.Run(milliseconds(3000));
  CHECK(it.StateAge(follower) < kSteadyAge);
}

// Guards against the commit index of a new leader, which is too low until it
// has committed an entry of its term.
TEST_CASE("nobody is current before a new leader commits in its term") {
  Fixture it;
  const std::string old_leader = it.Leader();
  // The old leader commits an entry that the others hold but were not told of.
  it.SetFilter([](schema::ConsensusMessage* message) {
    if (message->has_append() && message->append().entries().empty()) {
      message->mutable_append()->set_commit(0);
    }
  });
  it.Commit(1);
  // In the next term no follower has synced the entries that it acknowledges.
  const uint64_t term = it.node(old_leader).group->replica().term();
  it.SetFilter([term](schema::ConsensusMessage* message) {
    if (message->has_append_reply() && message->term() > term) {
      message->mutable_append_reply()->clear_match();
    }
  });
  REQUIRE(
      core::IsOk(it.node(old_leader).group->TransferLeadership("", it.now())));
  it.Run(milliseconds(1500));
  const std::string leader = it.Leader();
  REQUIRE(leader != old_leader);
  REQUIRE_FALSE(leader.empty());
  CHECK(it.ContactAge(leader) < kSteadyAge);
  CHECK_FALSE(it.node(leader).group->replica().KnowsCommits());
  for (const std::string name : {"a", "b", "c"}) {
    CHECK(it.StateAge(name) > milliseconds(1000));
  }
  it.SetFilter(nullptr);
  it.Run(milliseconds(1500));
  CHECK(it.node(it.Leader()).group->replica().KnowsCommits());
  for (const std::string name : {"a", "b", "c"}) {
    CHECK(it.StateAge(name) < kSteadyAge);
  }
}

// Guards against a leader that forgets what it knew when it hears of a later
// term, and then refuses what it could serve.
TEST_CASE("a leader that hands over knows how old its state is") {
  Fixture it;
  it.Commit(3);
  it.Run(milliseconds(2000));
  const std::string old_leader = it.Leader();
  REQUIRE(
      core::IsOk(it.node(old_leader).group->TransferLeadership("", it.now())));
  for (int i = 0; i < 100 && it.Leader() != it.Follower(); ++i) {
    it.Run(milliseconds(5));
    CHECK(it.StateAge(old_leader) < milliseconds(900));
  }
  CHECK(it.Leader() != old_leader);
}

// Guards against an election after a crash that ends the watches of all other
// instances, which serve a state up to 1100 ms old.
TEST_CASE("the state of the others outlasts the crash of their leader") {
  Fixture it;
  for (int round = 0; round < 20; ++round) {
    const std::string crashed = it.Leader();
    it.node(crashed).is_down = true;
    for (int i = 0; i < 300; ++i) {
      it.Run(milliseconds(5));
      for (const std::string name : {"a", "b", "c"}) {
        if (name != crashed) {
          CAPTURE(round, i, name);
          CHECK(it.StateAge(name) < milliseconds(1100));
        }
      }
    }
    it.node(crashed).is_down = false;
    it.Run(milliseconds(2000 + 7 * round));
  }
}

// Guards against a planned change of leader after which the old leader ends all
// its watches, because it forgot how current its state is.
TEST_CASE("a leader that is replaced knows how old its state is") {
  Fixture it;
  it.Commit(5);
  const std::string old_leader = it.Leader();
  REQUIRE(
      core::IsOk(it.node(old_leader).group->TransferLeadership("", it.now())));
  for (int n = 0; n < 100 && it.node(old_leader).group->is_leader(); ++n) {
    it.Run(milliseconds(5));
  }
  REQUIRE_FALSE(it.node(old_leader).group->is_leader());
  CHECK(it.StateAge(old_leader) < kSteadyAge);
}

TEST_CASE("a replica that restarts is not current before it hears its leader") {
  Fixture it;
  it.Commit(5);
  const std::string follower = it.Follower();
  it.node(follower).machine = {};
  it.Open(follower);
  CHECK(it.StateAge(follower) == milliseconds::max());
  it.Run(milliseconds(500));
  CHECK(it.StateAge(follower) < kSteadyAge);
  CHECK(it.node(follower).machine.count() == 5);
}

TEST_CASE("a replica that gets a snapshot is not current before the end") {
  Fixture it;
  const std::string follower = it.Follower();
  // A snapshot without its bytes never ends.
  it.SetFilter([](schema::ConsensusMessage* message) {
    if (message->has_snapshot()) {
      message->mutable_snapshot()->clear_data();
    }
  });
  it.node(follower).disk_stalled = true;
  it.Commit(120);
  REQUIRE(it.node(it.Leader()).group->snapshot_count() > 0);
  it.node(follower).disk_stalled = false;
  it.Run(milliseconds(1000));
  CHECK(it.ContactAge(follower) < kSteadyAge);
  CHECK(it.StateAge(follower) > milliseconds(1000));
  it.SetFilter(nullptr);
  it.Run(milliseconds(1000));
  CHECK(it.StateAge(follower) < kSteadyAge);
  CHECK(it.node(follower).machine.count() ==
        it.node(it.Leader()).machine.count());
}

// Leaders of an earlier build do not echo replies. Their commit index alone has
// to show that a follower is behind.
TEST_CASE("a follower that is behind a leader of an earlier build knows it") {
  Fixture it;
  const std::string follower = it.Follower();
  it.SetFilter([](schema::ConsensusMessage* message) {
    if (message->has_append()) {
      message->mutable_append()->clear_last_reply();
    }
    if (message->has_append_reply()) {
      message->mutable_append_reply()->clear_number();
    }
  });
  it.Run(milliseconds(500));
  CHECK(it.StateAge(follower) < kSteadyAge);
  it.node(follower).disk_stalled = true;
  it.Commit(20);
  it.Run(milliseconds(2000));
  CHECK(it.ContactAge(follower) < kSteadyAge);
  CHECK(it.StateAge(follower) > milliseconds(1500));
}

}  // namespace
}  // namespace hawthorn::consensus

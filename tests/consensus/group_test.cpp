#include "consensus/group.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "storage/memory_log_store.h"

namespace hawthorn::consensus {
namespace {

using std::chrono::milliseconds;

/// A state machine that appends each command to a text.
class TextMachine {
 public:
  std::string Apply(uint64_t /*index*/, std::string_view command) {
    text_ += command;
    return text_;
  }
  std::string Snapshot() const { return text_; }
  core::Status Restore(std::string_view bytes) {
    text_ = bytes;
    return std::monostate{};
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

struct Node {
  std::unique_ptr<storage::MemoryLogStore> store;
  TextMachine machine;
  std::unique_ptr<Group<TextMachine>> group;
};

/// The replicas of a group, connected by a network without faults.
class TestGroup {
 public:
  explicit TestGroup(std::vector<std::string> names, bool bootstrap = false,
                     GroupOptions options = {}) {
    for (size_t i = 0; i < names.size(); ++i) {
      if (bootstrap) {
        options.replica.instances.push_back(names[i]);
      } else {
        options.replica.initial_members.push_back(
            Member{ReplicaId{names[i], i + 1}, true, false});
      }
    }
    for (size_t i = 0; i < names.size(); ++i) {
      options.replica.id.instance = names[i];
      options.replica.seed = i + 1;
      Node& node = nodes_[names[i]];
      node.store = std::make_unique<storage::MemoryLogStore>(i + 1);
      node.group = core::TakeValue(Group<TextMachine>::Open(
          options, node.store.get(), &node.machine, now_));
    }
  }

  void Run(milliseconds length) {
    for (milliseconds t{0}; t < length; t += milliseconds(10)) {
      now_ += milliseconds(10);
      for (auto& [name, node] : nodes_) {
        if (node.group) {
          node.group->Tick(now_);
        }
      }
      Deliver();
    }
  }

  void Deliver() {
    bool moved = true;
    while (moved) {
      moved = false;
      for (auto& [name, node] : nodes_) {
        if (!node.group) {
          continue;
        }
        node.group->Persist(now_);
        for (const auto& message : node.group->TakeOutbox(now_)) {
          messages_with_entries_ += message.append().entries().empty() ? 0 : 1;
          Node& to = nodes_[message.to().instance()];
          if (to.group) {
            to.group->Step(message, now_);
            moved = true;
          }
        }
      }
    }
  }

  Node* Leader() {
    for (auto& [name, node] : nodes_) {
      if (node.group && node.group->is_leader()) {
        return &node;
      }
    }
    return nullptr;
  }

  std::map<std::string, Node>& nodes() { return nodes_; }
  core::TimePoint now() const { return now_; }
  int messages_with_entries() const { return messages_with_entries_; }

 private:
  int messages_with_entries_ = 0;
  std::map<std::string, Node> nodes_;
  core::TimePoint now_ = core::TimePoint() + milliseconds(1000);
};

// Guards against a leader that is held up longer and longer: the whole state
// was saved each time that the same number of entries was applied.
TEST_CASE("what snapshots cost for each command does not grow") {
  GroupOptions options;
  options.snapshot_entries = 10;
  TestGroup group({"a"}, false, options);
  group.Deliver();
  Node* leader = group.Leader();
  REQUIRE(leader != nullptr);
  uint64_t command_bytes = 0;
  uint64_t saved_bytes = 0;
  uint64_t snapshots = 0;
  for (int n = 0; n < 3000; ++n) {
    const std::string command = "command " + std::to_string(n);
    command_bytes += command.size();
    leader->group->Propose(
        command, [](const auto&) {}, group.now());
    group.Deliver();
    if (leader->group->snapshot_count() != snapshots) {
      snapshots = leader->group->snapshot_count();
      saved_bytes += leader->group->snapshot_bytes();
    }
  }
  CHECK(snapshots > 5);
  CHECK(saved_bytes < 4 * command_bytes);
}

// Guards against leaders that are held up by their log after a restart, one
// after the other: each applied all of it at once and lost its followers.
TEST_CASE("a long log is applied in pieces and the state is old until then") {
  constexpr uint64_t kEntries = 3000;
  ReplicaOptions options;
  options.id = ReplicaId{"a", 1};
  storage::StoredState state;
  state.hard_state = storage::HardState{1, {}};
  const Membership alone({Member{options.id, true, true}});
  state.entries.push_back(
      {1, 1, storage::EntryKind::kMembership, alone.Serialize()});
  for (uint64_t n = 2; n <= kEntries; ++n) {
    state.entries.push_back({n, 1, storage::EntryKind::kCommand, "x"});
  }
  core::TimePoint now = core::TimePoint() + milliseconds(1000);
  Replica replica(options, std::move(state), now);
  uint64_t returned = 0;
  for (int n = 0; n < 20; ++n) {
    now += milliseconds(10);
    replica.Tick(now);
    const Actions actions = replica.TakeActions(now);
    CHECK(actions.committed.size() <= options.max_committed_entries);
    returned += actions.committed.size();
    // All of the log and the first entry of the leader's term.
    const bool is_complete = returned == kEntries + 1;
    CHECK(replica.CurrentAsOf().has_value() == is_complete);
    CHECK(replica.KnowsCommits() == is_complete);
    if (actions.persist) {
      replica.OnPersisted(actions.persist->sequence, now);
    }
  }
  CHECK(returned == kEntries + 1);
}

TEST_CASE("a group of one voter elects itself and commits at once") {
  TestGroup group({"a"});
  group.Deliver();
  Node* leader = group.Leader();
  REQUIRE(leader != nullptr);
  std::string reply;
  leader->group->Propose(
      "x", [&](const auto& result) { reply = core::Value(result); },
      group.now());
  group.Deliver();
  REQUIRE(reply == "x");
}

TEST_CASE("three replicas elect one leader and apply equal commands") {
  TestGroup group({"a", "b", "c"});
  group.Run(milliseconds(2500));
  Node* leader = group.Leader();
  REQUIRE(leader != nullptr);
  std::vector<std::string> replies;
  for (const std::string command : {"x", "y", "z"}) {
    leader->group->Propose(
        command,
        [&](const auto& result) { replies.push_back(core::Value(result)); },
        group.now());
  }
  group.Run(milliseconds(300));
  REQUIRE(replies == std::vector<std::string>{"x", "xy", "xyz"});
  for (const auto& [name, node] : group.nodes()) {
    REQUIRE(node.machine.text() == "xyz");
  }
}

TEST_CASE("new replicas bootstrap one group without an operator") {
  TestGroup group({"a", "b", "c"}, true);
  group.Run(milliseconds(5000));
  Node* leader = group.Leader();
  REQUIRE(leader != nullptr);
  REQUIRE(leader->group->replica().membership().voter_count() == 3);
}

TEST_CASE("leadership is transferred without an election timeout") {
  TestGroup group({"a", "b", "c"});
  group.Run(milliseconds(2500));
  Node* leader = group.Leader();
  REQUIRE(leader != nullptr);
  const auto status = leader->group->TransferLeadership("", group.now());
  REQUIRE(core::IsOk(status));
  group.Deliver();
  Node* next = group.Leader();
  REQUIRE(next != nullptr);
  REQUIRE(next != leader);
}

TEST_CASE("followers that no commit needs get entries in batches") {
  GroupOptions options;
  options.replica.lazy_interval = milliseconds(50);
  options.replica.announce_commits = false;
  TestGroup group({"a", "b", "c", "d", "e"}, false, options);
  group.Run(milliseconds(3500));
  Node* leader = group.Leader();
  REQUIRE(leader != nullptr);
  const int before = group.messages_with_entries();
  int done = 0;
  const auto propose = [&] {
    leader->group->Propose(
        "x", [&](const auto& result) { done += core::IsOk(result) ? 1 : 0; },
        group.now());
    group.Run(milliseconds(10));
  };
  for (int n = 0; n < 20; ++n) {
    propose();
    REQUIRE(done == n + 1);
  }
  // Two voters get each entry at once; the other two get a batch every 50 ms.
  CHECK(group.messages_with_entries() - before <= 20 * 2 + 5 * 2);
  group.Run(milliseconds(300));
  for (const auto& [name, node] : group.nodes()) {
    CHECK(node.machine.text() == std::string(20, 'x'));
  }
  // Whichever follower stops, a commit is delayed by at most the lazy interval.
  int lost = 0;
  for (auto& [name, node] : group.nodes()) {
    if (&node != leader && lost < 2) {
      node.group.reset();
      propose();
      group.Run(milliseconds(100));
      CHECK(done == 20 + ++lost);
    }
  }
}

// Guards against a follower that stays behind until the next command, because
// one batch could not hold all entries that it lacked.
TEST_CASE("followers that no commit needs get the last entry of a burst") {
  GroupOptions options;
  options.replica.lazy_interval = milliseconds(50);
  options.replica.announce_commits = false;
  options.replica.max_appends_in_flight = 1;
  options.replica.max_append_bytes = 1;
  TestGroup group({"a", "b", "c", "d", "e"}, false, options);
  group.Run(milliseconds(3500));
  Node* leader = group.Leader();
  REQUIRE(leader != nullptr);
  int done = 0;
  for (int n = 0; n < 8; ++n) {
    leader->group->Propose(
        "x", [&](const auto& result) { done += core::IsOk(result) ? 1 : 0; },
        group.now());
  }
  group.Run(milliseconds(1000));
  REQUIRE(done == 8);
  for (const auto& [name, node] : group.nodes()) {
    CAPTURE(name);
    CHECK(node.machine.text() == std::string(8, 'x'));
  }
}

TEST_CASE("the last contact is kept after the leader is lost") {
  TestGroup group({"a", "b", "c"});
  group.Run(milliseconds(2500));
  Node* leader = group.Leader();
  REQUIRE(leader != nullptr);
  leader->group.reset();
  const core::TimePoint lost = group.now();
  while (group.Leader() == nullptr) {
    for (const auto& [name, node] : group.nodes()) {
      if (node.group) {
        const auto contact = node.group->replica().LastContact();
        REQUIRE(contact);
        REQUIRE(*contact <= lost);
      }
    }
    group.Run(milliseconds(10));
  }
}

TEST_CASE("a replica replies to each challenge of a leader once") {
  ReplicaOptions options;
  options.id = ReplicaId{"b", 2};
  options.instances = {"a", "b", "c"};
  Replica replica(options, {}, core::TimePoint());
  const auto replies = [&](uint64_t nonce) {
    schema::ConsensusMessage challenge;
    *challenge.mutable_from() = ToProto(ReplicaId{"a", 1});
    *challenge.mutable_to() = ToProto(options.id);
    challenge.set_term(3);
    challenge.mutable_announce()->set_nonce(nonce);
    replica.Step(challenge, core::TimePoint());
    size_t n = 0;
    for (const auto& message :
         replica.TakeActions(core::TimePoint()).messages) {
      n += message.announce().nonce() == nonce ? 1 : 0;
    }
    return n;
  };
  REQUIRE(replies(5) == 1);
  REQUIRE(replies(5) == 0);
  REQUIRE(replies(6) == 1);
}

}  // namespace
}  // namespace hawthorn::consensus

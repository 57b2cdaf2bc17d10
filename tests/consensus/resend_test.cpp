#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "consensus/group.h"
#include "tests/consensus/simulation.h"

namespace hawthorn::consensus {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kElectionTimeout{350};
constexpr milliseconds kStep{5};
constexpr size_t kCommandBytes = 1000;
constexpr int kCommands = 200;
constexpr uint64_t kSnapshotEntries = 50;

/// A state machine whose state is as large as its commands.
class TextMachine {
 public:
  std::string Apply(uint64_t /*index*/, std::string_view command) {
    text_ += command;
    return {};
  }
  std::string Snapshot() const { return text_; }
  core::Status Restore(std::string_view bytes) {
    text_ = bytes;
    return std::monostate{};
  }

 private:
  std::string text_;
};

/// Two of three replicas; the third one gets messages and does not answer.
class Fixture {
 public:
  Fixture() {
    for (const std::string name : {"a", "b"}) {
      GroupOptions options;
      options.replica.id.instance = name;
      options.replica.seed = name.front();
      options.replica.election_timeout = kElectionTimeout;
      options.replica.heartbeat_interval = milliseconds(90);
      options.replica.retained_entries = 10;
      options.snapshot_entries = kSnapshotEntries;
      uint64_t incarnation = 0;
      for (const std::string member : {"a", "b", "c"}) {
        options.replica.initial_members.push_back(
            Member{ReplicaId{member, ++incarnation}, true, true});
      }
      Node& node = nodes_[name];
      node.store = std::make_unique<SimulatedDisk>(nodes_.size(), true);
      node.group = core::TakeValue(Group<TextMachine>::Open(
          options, node.store.get(), &node.machine, now_));
    }
    for (int n = 0; n < 400 && Leader() == nullptr; ++n) {
      Run(kStep);
    }
    REQUIRE(Leader() != nullptr);
    int committed = 0;
    for (int n = 0; n < kCommands; ++n) {
      Leader()->Propose(
          std::string(kCommandBytes, 'x'),
          [&committed](const auto& it) { committed += core::IsOk(it) ? 1 : 0; },
          now_);
      Run(kStep);
    }
    Run(milliseconds(50));
    REQUIRE(committed == kCommands);
    snapshot_messages = 0;
  }

  void Run(milliseconds length) {
    for (milliseconds t{0}; t < length; t += kStep) {
      now_ += kStep;
      for (auto& [name, node] : nodes_) {
        node.group->Tick(now_);
      }
      for (int round = 0; round < 4; ++round) {
        for (auto& [name, node] : nodes_) {
          REQUIRE(core::IsOk(node.group->Persist(now_)));
          for (const auto& message : node.group->TakeOutbox(now_)) {
            Deliver(message);
          }
        }
      }
    }
  }

  /// Messages with a part of a snapshot that the silent replica was sent.
  int snapshot_messages = 0;

 private:
  struct Node {
    std::unique_ptr<SimulatedDisk> store;
    TextMachine machine;
    std::unique_ptr<Group<TextMachine>> group;
  };

  void Deliver(const schema::ConsensusMessage& message) {
    const auto it = nodes_.find(message.to().instance());
    if (it != nodes_.end()) {
      it->second.group->Step(message, now_);
      return;
    }
    snapshot_messages += message.snapshot().data().empty() ? 0 : 1;
  }

  Group<TextMachine>* Leader() {
    for (auto& [name, node] : nodes_) {
      if (node.group->is_leader()) {
        return node.group.get();
      }
    }
    return nullptr;
  }

  core::TimePoint now_{std::chrono::hours(1)};
  std::map<std::string, Node> nodes_;
};

/// Guards against a leader that sends the same part of a snapshot with each
/// heartbeat to a replica that is slow to answer, which makes it slower.
TEST_CASE("A part of a snapshot is not sent again with each heartbeat") {
  constexpr int kTimeouts = 4;
  Fixture it;
  it.Run(kElectionTimeout * kTimeouts);
  // Again only once the first one may be lost.
  CHECK(it.snapshot_messages > 0);
  CHECK(it.snapshot_messages <= kTimeouts + 1);
}

}  // namespace
}  // namespace hawthorn::consensus

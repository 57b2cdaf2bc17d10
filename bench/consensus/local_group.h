#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/group.h"
#include "storage/log_store.h"

namespace hawthorn::consensus {

/// A state machine that counts commands and their bytes.
class CountingMachine {
 public:
  std::string Apply(uint64_t /*index*/, std::string_view command) {
    ++count_;
    bytes_ += command.size();
    return {};
  }
  std::string Snapshot() const { return std::to_string(count_); }
  core::Status Restore(std::string_view bytes) {
    count_ = std::stoull(std::string(bytes));
    return std::monostate{};
  }
  uint64_t count() const { return count_; }
  uint64_t bytes() const { return bytes_; }

 private:
  uint64_t count_ = 0;
  uint64_t bytes_ = 0;
};

/// Runs the voters of one group in one thread without a network. Messages that
/// a step produces are delivered in the next one.
class LocalGroup {
 public:
  using CountingGroup = Group<CountingMachine>;
  using StoreFactory =
      std::function<std::unique_ptr<storage::LogStore>(size_t)>;

  /// Opens `size` voters. `seed` should differ between runs.
  LocalGroup(size_t size, uint64_t seed, const StoreFactory& open_store,
             core::TimePoint now)
      : nodes_(size) {
    GroupOptions options;
    options.snapshot_entries = kNoSnapshot;
    for (size_t i = 0; i < size; ++i) {
      nodes_[i].store = open_store(i);
      options.replica.initial_members.push_back(
          Member{{NameOf(i), nodes_[i].store->incarnation()},
                 true,
                 nodes_[i].store->durable()});
    }
    for (size_t i = 0; i < size; ++i) {
      options.replica.id.instance = NameOf(i);
      options.replica.seed = seed * size + i;
      nodes_[i].group = core::TakeValue(CountingGroup::Open(
          options, nodes_[i].store.get(), &nodes_[i].machine, now));
    }
  }

  /// Delivers messages, ticks and persists once. Returns whether messages are
  /// pending.
  bool Step(core::TimePoint now) {
    for (const auto& message : std::exchange(messages_, {})) {
      const auto to = static_cast<size_t>(message.to().instance()[0] - 'a');
      if (nodes_[to].group) {
        nodes_[to].group->Step(message, now);
      }
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
      StepNode(&nodes_[i], now);
    }
    return !messages_.empty();
  }

  std::optional<size_t> Leader() const {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].group && nodes_[i].group->is_leader()) {
        return i;
      }
    }
    return std::nullopt;
  }

  /// Stops one voter permanently.
  void Kill(size_t node) { nodes_[node].group.reset(); }
  CountingGroup& group(size_t node) { return *nodes_[node].group; }
  const CountingMachine& machine(size_t node) const {
    return nodes_[node].machine;
  }

 private:
  static constexpr uint64_t kNoSnapshot = uint64_t{1} << 40U;

  struct Node {
    std::unique_ptr<storage::LogStore> store;
    CountingMachine machine;
    std::unique_ptr<CountingGroup> group;
  };

  static std::string NameOf(size_t node) {
    return std::string(1, static_cast<char>('a' + node));
  }

  /// Sends the messages of a leader before its own sync, as the production host
  /// does.
  void StepNode(Node* node, core::TimePoint now) {
    if (!node->group) {
      return;
    }
    node->group->Tick(now);
    Collect(node, now);
    node->group->Persist(now);
    Collect(node, now);
  }

  void Collect(Node* node, core::TimePoint now) {
    for (auto& message : node->group->TakeOutbox(now)) {
      messages_.push_back(std::move(message));
    }
  }

  std::vector<Node> nodes_;
  std::vector<schema::ConsensusMessage> messages_;
};

}  // namespace hawthorn::consensus

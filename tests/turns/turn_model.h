#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "tests/turns/chain_requests.h"

namespace hawthorn::turns {

using std::chrono::milliseconds;

/// What must be readable: the turns whose writes succeeded.
struct ModelTurn {
  std::string previous;
  core::TimePoint expires;
};

/// Traffic of a deployment, and a simple map that its answers are compared
/// with.
class Model {
 public:
  explicit Model(TurnWorld& world) : world_(world) {}

  /// Reads a turn and compares the answer with the model.
  void Check(const std::string& turn, size_t client, bool must_be_certain) {
    const auto organisation = turn.substr(0, 2);
    world_.client(client).Read(
        organisation, turn, milliseconds(1500),
        [this, turn,
         must_be_certain](const core::Result<relay::TurnChain>& result) {
          ++answers;
          OnRead(turn, must_be_certain, result);
        });
    ++asked;
  }

  void OnRead(const std::string& turn, bool must_be_certain,
              const core::Result<relay::TurnChain>& result) {
    const auto it = turns.find(turn);
    const bool is_live =
        it != turns.end() && it->second.expires > world_.clock().Now();
    if (core::IsOk(result)) {
      const auto expected = texts.find(turn);
      INFO("turn " << turn);
      REQUIRE(expected != texts.end());
      REQUIRE(core::Value(result).text == expected->second);
      ++found;
      return;
    }
    INFO("turn " << turn << ": " << core::ErrorOf(result).message);
    const bool denied =
        core::ErrorOf(result).code == core::ErrorCode::kNotFound;
    REQUIRE_FALSE((denied && is_live));
    REQUIRE_FALSE((must_be_certain && is_live));
    REQUIRE_FALSE((must_be_certain && it == turns.end() && !denied));
    denied ? ++denials : ++uncertain;
  }

  /// Continues a turn as the relay does: reads its chain, then writes.
  void Continue(const std::string& previous, size_t client) {
    const std::string organisation =
        previous.empty() ? (world_.random()() % 2 == 0 ? "o1" : "o2")
                         : previous.substr(0, 2);
    const std::string turn = organisation + "-" + std::to_string(next_++);
    if (previous.empty()) {
      Write(turn, "", {}, client);
      return;
    }
    world_.client(client).Read(
        organisation, previous, milliseconds(1500),
        [this, turn, previous,
         client](const core::Result<relay::TurnChain>& result) {
          OnRead(previous, false, result);
          if (core::IsOk(result)) {
            Write(turn, previous, core::Value(result), client);
          }
        });
  }

  void Write(const std::string& turn, const std::string& previous,
             const relay::TurnChain& chain, size_t client) {
    relay::TurnRecord record;
    record.organisation = turn.substr(0, 2);
    record.turn = turn;
    record.previous = previous;
    record.chain_key = chain.chain_key;
    record.input = std::string(world_.random()() % 300, 'i') + turn + "\n";
    record.output = "out " + turn + "\n";
    record.retention = kRetention;
    texts[turn] = chain.text + record.input + record.output;
    world_.client(client).Write(
        record, milliseconds(2000),
        [this, turn, previous](const core::Status& status) {
          if (!core::IsOk(status)) {
            ++failed_writes;
            return;
          }
          ++writes;
          const core::TimePoint expires = world_.clock().Now() + kRetention;
          turns[turn] = {previous, expires};
          for (auto it = turns.find(previous); it != turns.end();
               it = turns.find(it->second.previous)) {
            it->second.expires = std::max(it->second.expires, expires);
          }
        });
  }

  /// A turn that may be continued, or an empty text for a new chain.
  std::string PickTurn() {
    std::vector<std::string> live;
    for (const auto& [turn, it] : turns) {
      if (it.expires > world_.clock().Now()) {
        live.push_back(turn);
      }
    }
    const uint64_t number = world_.random()();
    return live.empty() || number % 4 == 0 ? std::string()
                                           : live[number % live.size()];
  }

  std::map<std::string, ModelTurn> turns;
  /// Text of every turn that was ever written, acknowledged or not.
  std::map<std::string, std::string> texts;
  size_t asked = 0;
  size_t answers = 0;
  size_t found = 0;
  size_t denials = 0;
  size_t uncertain = 0;
  size_t writes = 0;
  size_t failed_writes = 0;

 private:
  TurnWorld& world_;
  uint64_t next_ = 1;
};

inline bool WaitHealthy(TurnWorld& world) {
  for (int i = 0; i < 600 && !world.IsHealthy(); ++i) {
    world.Run(milliseconds(500));
  }
  return world.IsHealthy();
}

}  // namespace hawthorn::turns

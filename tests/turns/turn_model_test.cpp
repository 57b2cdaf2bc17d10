#include "tests/turns/turn_model.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

namespace hawthorn::turns {

namespace {

/// Random traffic and faults. Disks are lost two at a time at most, with repair
/// between; any machines may be cut off or crash at any time.
void RunModel(uint64_t seed) {
  INFO("seed " << seed);
  TurnWorld world(seed, 5 + seed % 6, 2 + seed % 3);
  Model model(world);
  std::mt19937_64& random = world.random();
  std::set<size_t> down;
  std::set<size_t> erased;
  for (int step = 0; step < 600; ++step) {
    const size_t client = random() % world.client_count();
    model.Continue(model.PickTurn(), client);
    if (!model.turns.empty()) {
      auto it = model.turns.begin();
      std::advance(it, random() % model.turns.size());
      model.Check(it->first, random() % world.client_count(), false);
    }
    model.Check("o1-none" + std::to_string(step), client, false);
    const size_t victim = random() % world.store_count();
    switch (random() % 25) {
      case 0:  // Process crash.
        world.Crash(victim);
        down.insert(victim);
        break;
      case 1:  // Lost disk.
        if (erased.size() < kTolerated) {
          world.EraseDisk(victim);
          down.insert(victim);
          erased.insert(victim);
        }
        break;
      case 2:  // Power loss of all machines.
        for (size_t i = 0; i < world.store_count(); ++i) {
          world.Crash(i);
          down.insert(i);
        }
        break;
      case 3:
        world.cut.insert(world.NameOf(victim));
        break;
      case 4:
        world.cut.clear();
        break;
      case 5:
        world.lost_per_mille = random() % 100;
        world.duplicated_per_mille = random() % 200;
        break;
      case 6:
        world.Run(milliseconds(random() % 20000));
        break;
      default:
        break;
    }
    if (random() % 3 == 0) {
      for (const size_t it : std::exchange(down, {})) {
        world.StartStore(it, false);
      }
    }
    if (!erased.empty() && down.empty() && random() % 10 == 0) {
      world.cut.clear();
      world.lost_per_mille = 0;
      REQUIRE(WaitHealthy(world));
      erased.clear();
    }
    world.Run(milliseconds(random() % 1000));
  }
  for (const size_t it : down) {
    world.StartStore(it, false);
  }
  world.cut.clear();
  world.lost_per_mille = 0;
  REQUIRE(WaitHealthy(world));
  world.Run(milliseconds(5000));
  // With everything in order, every answer is certain.
  for (const auto& [turn, it] : model.turns) {
    if (it.expires > world.clock().Now() + milliseconds(2000)) {
      model.Check(turn, random() % world.client_count(), true);
    }
  }
  model.Check("o2-none", 0, true);
  world.Run(milliseconds(2000));
  CHECK(model.answers == model.asked);
  CHECK(model.writes > 100);
  CHECK(model.found > 50);
  CHECK(model.denials > 50);
}

}  // namespace

// Guards against a retained turn that is denied, and a chain that is truncated
// or mixed, after crashes, lost disks, partitions and lost, delayed or repeated
// messages. HAWTHORN_TURN_SEEDS sets the number of seeds.
TEST_CASE("kept turns agree with a simple map under faults") {
  const char* text = std::getenv("HAWTHORN_TURN_SEEDS");
  const uint64_t seeds = text == nullptr ? 12 : std::stoul(text);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    RunModel(seed);
  }
}

// Guards against denials after two losses of two disks each: what the first
// two had must have three copies again before they count as complete.
TEST_CASE("turns survive two disks, repair, and two other disks") {
  TurnWorld world(7, 6, 3);
  Model model(world);
  for (int i = 0; i < 200; ++i) {
    model.Continue(model.PickTurn(), i % world.client_count());
    world.Run(milliseconds(50));
  }
  world.Run(milliseconds(1000));
  const size_t written = model.writes;
  REQUIRE(written > 150);
  for (size_t first = 0; first < 6; first += 2) {
    world.EraseDisk(first);
    world.EraseDisk(first + 1);
    world.StartStore(first, false);
    world.StartStore(first + 1, false);
    world.Run(milliseconds(500));
    // During repair, answers may be uncertain but never wrong.
    for (const auto& [turn, it] : model.turns) {
      model.Check(turn, 0, false);
    }
    const core::TimePoint started = world.clock().Now();
    REQUIRE(WaitHealthy(world));
    CHECK(world.clock().Now() - started < std::chrono::seconds(15));
  }
  for (const auto& [turn, it] : model.turns) {
    model.Check(turn, 1, true);
  }
  world.Run(milliseconds(3000));
  CHECK(model.answers == model.asked);
}

// Guards against writes that succeed with too few copies or in one zone only.
TEST_CASE("a write fails without three machines in two zones") {
  TurnWorld world(3, 6, 2);
  Model model(world);
  // Only one zone is left in contact: s1, s3 and s5.
  world.cut = {"s0", "s2", "s4"};
  model.Continue("", 1);
  world.Run(milliseconds(4000));
  CHECK(model.writes == 0);
  CHECK(model.failed_writes == 1);
  // Two machines in two zones.
  world.cut = {"s1", "s2", "s3", "s4"};
  model.Continue("", 1);
  world.Run(milliseconds(4000));
  CHECK(model.failed_writes == 2);
  // Three machines in two zones.
  world.cut = {"s2", "s3", "s4"};
  model.Continue("", 1);
  world.Run(milliseconds(4000));
  CHECK(model.writes == 1);
}

// Guards against a retirement that is reported complete while the machine has
// the third copy of a turn, and against one that never is.
TEST_CASE("a retiring store hands its turns over") {
  TurnWorld world(5, 6, 3);
  Model model(world);
  for (int i = 0; i < 100; ++i) {
    model.Continue(model.PickTurn(), i % world.client_count());
    world.Run(milliseconds(50));
  }
  world.retiring = {"s0"};
  world.Announce();
  REQUIRE(world.store(0)->size() > 0);
  CHECK(world.store(1)->unplaced_turns() == world.store(1)->size() + 1);
  CHECK(world.store(0)->unplaced_turns() == world.store(0)->size());
  for (int i = 0; i < 100 && world.store(0)->unplaced_turns() > 0; ++i) {
    world.Run(milliseconds(100));
  }
  REQUIRE(world.store(0)->unplaced_turns() == 0);
  world.EraseDisk(0);
  world.cut = {"s1", "s2"};
  for (const auto& [turn, it] : model.turns) {
    model.Check(turn, 0, true);
  }
  world.Run(milliseconds(3000));
  CHECK(model.answers == model.asked);
}

// Guards against turns that are kept for ever, and against an ancestor that
// expires before the turn that continues it.
TEST_CASE("a chain expires as a whole after its newest turn") {
  TurnWorld world(9, 4, 2);
  Model model(world);
  model.Continue("", 0);
  world.Run(milliseconds(500));
  const std::string first = model.turns.begin()->first;
  std::string last = first;
  for (int i = 0; i < 4; ++i) {
    world.Run(milliseconds(50000));
    model.Continue(last, 1);
    world.Run(milliseconds(500));
    last = model.turns.rbegin()->first;
  }
  REQUIRE(model.writes == 5);
  model.Check(first, 0, true);
  model.Check(last, 0, true);
  world.Run(kRetention + TurnStore::kExtraRetention + milliseconds(5000));
  for (size_t i = 0; i < world.store_count(); ++i) {
    CHECK(world.store(i)->size() == 0);
  }
  const size_t denials = model.denials;
  model.Check(first, 0, false);
  world.Run(milliseconds(2000));
  CHECK(model.denials == denials + 1);
}

}  // namespace hawthorn::turns

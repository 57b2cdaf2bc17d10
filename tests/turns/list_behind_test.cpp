#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/turns/chain_requests.h"
#include "tests/turns/turn_world.h"

// Lists of keepers that are behind, at entry instances and at keepers, and
// those with keepers that retire.
namespace hawthorn::turns {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{1500};

ChainRequests Requests(TurnWorld& world, size_t client) {
  return {world.client(client), kTimeout,
          [&world](const auto&) { world.Run(kTimeout + milliseconds(100)); }};
}

std::vector<std::string> WriteChains(TurnWorld& world, size_t client,
                                     const std::string& prefix = "t") {
  return Requests(world, client).Write(prefix);
}

Reads ReadAll(TurnWorld& world, size_t client,
              const std::vector<std::string>& turns) {
  return Requests(world, client).Read(turns);
}

/// Hands a store the list of the first three, without the order and zones.
void TellFirstThree(TurnWorld& world, size_t store) {
  std::vector<Keeper> list;
  for (const char* it : {"s0", "s1", "s2"}) {
    list.push_back({it, "a", "", false});
  }
  world.store(store)->SetKeepers(list);
}

void RunUntilComplete(TurnWorld& world, size_t store) {
  for (int i = 0; i < 200 && !world.store(store)->complete(); ++i) {
    world.Run(milliseconds(100));
  }
  REQUIRE(world.store(store)->complete());
}

}  // namespace

// Guards against 404 for a kept turn whose copies are at keepers that joined
// and that the watch of the reading instance has not told of yet.
TEST_CASE(
    "a client that is behind does not deny turns at keepers that joined") {
  const size_t before = GENERATE(1, 2, 3, 4, 7);
  const size_t joined = GENERATE(1, 2, 3);
  CAPTURE(before, joined);
  TurnWorld world(11, before, 2);
  world.behind = {"c1"};
  for (size_t i = 0; i < joined; ++i) {
    RunUntilComplete(world, world.AddStore(i % 2 == 0 ? "a" : "b"));
  }
  const std::vector<std::string> kept = WriteChains(world, 0);
  REQUIRE(kept.size() == kChains);
  CHECK(ReadAll(world, 1, kept) == Reads{kChains, 0, 0});
  // What does not exist is still denied.
  CHECK(ReadAll(world, 1, {"none"}) == Reads{0, 1, 0});
}

// Guards against 404 at an instance that is cut off from the group and whose
// list stands still, while it reaches keepers that have no copy.
TEST_CASE("a client that the group does not answer denies nothing") {
  TurnWorld world(12, 3, 3);
  world.behind = {"c1"};
  for (const char* zone : {"a", "b", "c"}) {
    RunUntilComplete(world, world.AddStore(zone));
  }
  const std::vector<std::string> kept = WriteChains(world, 0);
  REQUIRE(kept.size() == kChains);
  world.group_answers = false;
  const Reads reads = ReadAll(world, 1, kept);
  CHECK(reads.denied == 0);
  CHECK(reads.found + reads.uncertain == kChains);
  CHECK(ReadAll(world, 1, {"none"}) == Reads{0, 0, 1});
}

// Guards against a turn that counts as kept with fewer copies than reads rely
// on, since its writer knew too few keepers.
TEST_CASE("a writer that is behind writes all copies") {
  const size_t before = GENERATE(1, 2);
  CAPTURE(before);
  TurnWorld world(13, before, 2);
  world.behind = {"c0"};
  for (size_t i = 0; i < 4; ++i) {
    RunUntilComplete(world, world.AddStore(i % 2 == 0 ? "b" : "a"));
  }
  // Repair would add the missing copies later.
  for (size_t i = 0; i < before; ++i) {
    world.behind.insert(world.NameOf(i));
  }
  const std::vector<std::string> kept = WriteChains(world, 0);
  REQUIRE(kept.size() == kChains);
  CHECK(ReadAll(world, 1, kept) == Reads{kChains, 0, 0});
}

// Guards against turns that are kept with too few copies while the group does
// not tell whether there are more keepers.
TEST_CASE("a writer with few keepers needs the word of the group") {
  TurnWorld world(14, 2, 2);
  world.group_answers = false;
  CHECK(WriteChains(world, 0).empty());
}

// Guards against denials by a keeper that lost its disk and counts as complete
// again, although keepers that it has not heard of have the only other copies.
TEST_CASE("a keeper that returns empty is not complete while it is behind") {
  TurnWorld world(15, 3, 3);
  const size_t first = world.AddStore("a");
  const size_t second = world.AddStore("b");
  RunUntilComplete(world, first);
  RunUntilComplete(world, second);
  const std::vector<std::string> kept = WriteChains(world, 0);
  REQUIRE(kept.size() == kChains);
  world.cut = {world.NameOf(first), world.NameOf(second)};
  world.EraseDisk(0);
  world.behind = {"s0"};
  world.StartStore(0, false);
  // It starts with a list from before the two joined.
  TellFirstThree(world, 0);
  world.Run(milliseconds(20000));
  CHECK_FALSE(world.store(0)->complete());
  CHECK(ReadAll(world, 0, kept).denied == 0);
  world.cut = {};
  world.behind = {};
  world.Announce();
  RunUntilComplete(world, 0);
}

// Guards against a confirmed read that answers a question asked after it began.
TEST_CASE("a read of the list that is under way serves no later question") {
  std::vector<InstanceListCallback> begun;
  InstanceListQuery query(
      [&begun](InstanceListCallback it) { begun.push_back(std::move(it)); });
  std::vector<size_t> sizes;
  const auto read = [&] {
    query.Read([&sizes](const auto& list) {
      sizes.push_back(core::Value(list).size());
    });
  };
  read();
  read();
  read();
  REQUIRE(begun.size() == 1);
  std::exchange(begun, {}).front()(std::vector<schema::InstanceRecord>(3));
  CHECK(sizes == std::vector<size_t>{3});
  REQUIRE(begun.size() == 1);
  begun.front()(std::vector<schema::InstanceRecord>(5));
  CHECK(sizes == std::vector<size_t>{3, 5, 5});
}

// Guards against 404 for a turn that was written without the retiring one of
// three keepers, which denies it: the writer placed two copies, and the reader
// counted on three.
TEST_CASE("turns written beside a retiring keeper are not denied") {
  TurnWorld world(21, 3, 3);
  world.retiring = {"s0"};
  world.Announce();
  for (size_t client = 0; client < world.client_count(); ++client) {
    const std::string prefix = "c" + std::to_string(client) + "-";
    const std::vector<std::string> kept = WriteChains(world, client, prefix);
    REQUIRE(kept.size() == kChains);
    for (size_t reader = 0; reader < world.client_count(); ++reader) {
      CHECK(ReadAll(world, reader, kept) == Reads{kChains, 0, 0});
    }
  }
  CHECK(ReadAll(world, 0, {"none"}) == Reads{0, 1, 0});
}

// Guards against 404 by a reader that has not heard of the order yet, or that
// has just started.
TEST_CASE("a reader that is behind an order does not deny turns") {
  TurnWorld world(22, 3, 3);
  world.behind = {"c0"};
  world.retiring = {"s0"};
  world.Announce();
  const std::vector<std::string> kept = WriteChains(world, 1);
  REQUIRE(kept.size() == kChains);
  CHECK(ReadAll(world, 0, kept) == Reads{kChains, 0, 0});
  world.behind = {};
  world.RestartClient(0);
  CHECK(ReadAll(world, 0, kept) == Reads{kChains, 0, 0});
}

// Guards against a keeper that lost its disk and counts as complete while the
// only other keeper of a turn does not answer: with one of three keepers
// retiring, a turn has two copies.
TEST_CASE("an empty keeper waits for the only other active one") {
  TurnWorld world(23, 3, 3);
  world.retiring = {"s0"};
  // The keeper that loses its disk learns of the order from the group alone.
  world.behind = {"s1"};
  world.Announce();
  const std::vector<std::string> kept = WriteChains(world, 0);
  REQUIRE(kept.size() == kChains);
  world.cut = {"s2"};
  world.EraseDisk(1);
  world.StartStore(1, false);
  TellFirstThree(world, 1);
  world.Run(milliseconds(20000));
  CHECK_FALSE(world.store(1)->complete());
  CHECK(ReadAll(world, 0, kept).denied == 0);
  world.cut = {};
  world.behind = {};
  world.Announce();
  REQUIRE(WaitHealthy(world));
  CHECK(ReadAll(world, 0, kept) == Reads{kChains, 0, 0});
}

// Guards against 404 for a turn that counts as kept with two copies, of which
// one is at a keeper that retires by then, while one that joined and is
// complete already has none: the writer compared only the numbers of copies.
TEST_CASE("two copies count only at keepers that stay active") {
  TurnWorld world(24, 3, 3);
  world.retiring = {"s0"};
  world.Announce();
  world.behind = {"c0"};
  const size_t joined = world.AddStore("b");
  REQUIRE(WaitHealthy(world));
  world.retiring = {"s0", "s1"};
  // Repair would add the missing copies later.
  world.behind = {"c0", "s0", "s1", "s2", world.NameOf(joined)};
  world.Announce();
  const std::vector<std::string> kept = WriteChains(world, 0);
  REQUIRE(kept.size() == kChains);
  for (size_t reader = 1; reader < world.client_count(); ++reader) {
    CHECK(ReadAll(world, reader, kept) == Reads{kChains, 0, 0});
  }
  // The copies survive the loss of one of two.
  world.cut = {"s2"};
  for (size_t reader = 1; reader < world.client_count(); ++reader) {
    CHECK(ReadAll(world, reader, kept) == Reads{kChains, 0, 0});
  }
}

// Guards against a retirement that is reported complete by an instance that has
// not heard of it: it knows no other keepers and has handed over nothing.
TEST_CASE("a store without a list of keepers reports unplaced turns") {
  TurnWorld world(25, 3, 3);
  world.behind = {"s1"};
  world.Crash(1);
  world.StartStore(1, false);
  world.Run(milliseconds(3000));
  REQUIRE(world.store(1)->is_open());
  CHECK(world.store(1)->unplaced_turns() > 0);
}

}  // namespace hawthorn::turns

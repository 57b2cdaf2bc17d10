#include "turns/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "turns/turn_key.h"

namespace hawthorn::turns {

namespace {

std::vector<Keeper> MakeKeepers(size_t count, size_t zones) {
  std::vector<Keeper> keepers;
  for (size_t i = 0; i < count; ++i) {
    keepers.push_back({"10.0.0." + std::to_string(i),
                       std::string(1, static_cast<char>('a' + i % zones)), "",
                       false});
  }
  return keepers;
}

/// Keepers of one zone, of which the last ones are retiring.
std::vector<Keeper> MakeLeavingKeepers(size_t active, size_t retiring) {
  std::vector<Keeper> keepers = MakeKeepers(active + retiring, 1);
  for (size_t i = active; i < keepers.size(); ++i) {
    keepers[i].retiring = true;
  }
  return keepers;
}

/// Instances of `keepers` whose bit is set.
std::set<std::string> Select(const std::vector<Keeper>& keepers, size_t bits) {
  std::set<std::string> selected;
  for (size_t i = 0; i < keepers.size(); ++i) {
    if ((bits >> i & 1U) != 0) {
      selected.insert(keepers[i].instance);
    }
  }
  return selected;
}

/// Whether `covering` has a member in every set of instances that a record may
/// be placed on by a list with any of the retiring instances active.
bool CoversByEnumeration(const std::vector<Keeper>& keepers,
                         const std::set<std::string>& covering) {
  bool has_placement = false;
  for (size_t list = 0; list < size_t{1} << keepers.size(); ++list) {
    const std::set<std::string> active = Select(keepers, list);
    const bool was_in_force =
        std::all_of(keepers.begin(), keepers.end(), [&](const Keeper& it) {
          return it.retiring || active.contains(it.instance);
        });
    for (size_t place = 1; was_in_force && place < size_t{1} << keepers.size();
         ++place) {
      const std::set<std::string> placed = Select(keepers, place);
      const bool is_placement = placed.size() == CopiesAmong(active.size()) &&
                                std::includes(active.begin(), active.end(),
                                              placed.begin(), placed.end());
      if (!is_placement) {
        continue;
      }
      has_placement = true;
      if (std::none_of(placed.begin(), placed.end(),
                       [&](const auto& it) { return covering.contains(it); })) {
        return false;
      }
    }
  }
  return has_placement;
}

}  // namespace

// Guards against copies in one zone only, on too few machines, or all on the
// same few machines.
TEST_CASE("two copies are in the home zone and one is elsewhere") {
  const std::vector<Keeper> keepers = MakeKeepers(10, 4);
  std::map<std::string, int> load;
  for (int i = 0; i < 3000; ++i) {
    const std::string home(1, static_cast<char>('a' + i % 4));
    const ChainPlace place =
        PlaceOf(MakeChainKey(home, "turn" + std::to_string(i)));
    const auto order = PreferredKeepers(place, keepers);
    REQUIRE(order.size() == keepers.size());
    const auto chosen = CompleteCopies(order, {}, kCopies, kZones);
    REQUIRE(chosen.size() == kCopies);
    CHECK(chosen[0]->zone == home);
    CHECK(chosen[1]->zone == home);
    CHECK(chosen[2]->zone != home);
    for (const Keeper* it : chosen) {
      ++load[it->instance];
    }
  }
  for (const auto& [instance, count] : load) {
    CHECK(count > 450);
    CHECK(count < 1600);
  }
}

// Guards against a third copy that leaves the two others alone in their zone
// when instances do not answer.
TEST_CASE("the last copy brings the missing zone") {
  const std::vector<Keeper> keepers = MakeKeepers(6, 2);
  const auto order = PreferredKeepers(PlaceOf("a/t"), keepers);
  const std::vector<const Keeper*> one_zone = {order[0], order[1]};
  const auto added = CompleteCopies(order, one_zone, kCopies, kZones);
  REQUIRE(added.size() == 1);
  CHECK(added[0]->zone == "b");
  std::vector<const Keeper*> only_a;
  for (const Keeper* it : order) {
    if (it->zone == "a") {
      only_a.push_back(it);
    }
  }
  const auto chosen = CompleteCopies(only_a, {}, kCopies, kZones);
  CHECK_FALSE(Suffices(chosen, kCopies, kZones));
}

// Guards against turns that go to control instances or to retiring ones.
TEST_CASE("instances without control keep the turns") {
  std::vector<schema::InstanceRecord> records(3);
  records[0].set_instance("c");
  records[0].set_serves_control(true);
  records[1].set_instance("l1");
  records[2].set_instance("l2");
  records[2].set_retiring(true);
  CHECK(KeepersOf(records).size() == 2);
  CHECK(PreferredKeepers(PlaceOf("a/t"), KeepersOf(records)).size() == 1);
  CHECK(RequiredCopies(KeepersOf(records)) == 1);
  records.resize(1);
  CHECK(KeepersOf(records).size() == 1);
}

// Guards against keys of different organisations that coincide, and against
// lists of keys that change in a message or crash when it is cut.
TEST_CASE("keys of turns are distinct and survive a message") {
  CHECK(KeyOf("ab", "c") != KeyOf("a", "bc"));
  CHECK(KeyOf("", "abc") != KeyOf("abc", ""));
  std::mt19937_64 random(1);
  for (int round = 0; round < 200; ++round) {
    std::vector<TurnKey> keys(random() % 5);
    for (TurnKey& it : keys) {
      it = {random(), random()};
    }
    const std::string packed = PackKeys(keys);
    CHECK(UnpackKeys(packed) == keys);
    CHECK(UnpackKeys(packed + "x") == keys);
  }
}

// Guards against a rule for denials that does not fit the rule for copies: it
// is compared with every placement by every list that may have been in force.
TEST_CASE("what covers all placements has a copy of each record") {
  for (size_t active = 0; active <= 5; ++active) {
    for (size_t retiring = 0; retiring <= 3; ++retiring) {
      const std::vector<Keeper> keepers = MakeLeavingKeepers(active, retiring);
      for (size_t bits = 0; bits < size_t{1} << keepers.size(); ++bits) {
        const std::set<std::string> covering = Select(keepers, bits);
        CAPTURE(active, retiring, bits);
        REQUIRE(CoversAllPlacements(keepers, covering) ==
                CoversByEnumeration(keepers, covering));
      }
    }
  }
}

// Guards against denials that wait for more instances than before while none
// retires.
TEST_CASE("without retirements all keepers but two deny a turn") {
  for (size_t n = kCopies; n <= 10; ++n) {
    const std::vector<Keeper> keepers = MakeLeavingKeepers(n, 0);
    for (size_t denials = 0; denials <= n; ++denials) {
      CAPTURE(n, denials);
      CHECK(CoversAllPlacements(keepers,
                                Select(keepers, (size_t{1} << denials) - 1)) ==
            (denials >= n - kTolerated));
    }
  }
}

}  // namespace hawthorn::turns

#include "relay/forwarder_table.h"

#include <catch2/catch.hpp>

namespace hawthorn::relay {
namespace {

using std::chrono::milliseconds;

const core::TimePoint kStart{milliseconds(1000)};

ForwarderTable TableOf(const std::vector<ForwarderInfo>& listed) {
  ForwarderTable table("a");
  table.Set(listed, kStart);
  return table;
}

TEST_CASE("The forwarder with the fewest exchanges is chosen") {
  ForwarderTable table = TableOf({{"i1", "a"}, {"i2", "a"}, {"i3", "b"}});
  CHECK(table.Choose({}, kStart) == "i1");
  table.OnStarted("i1");
  CHECK(table.Choose({}, kStart) == "i2");
  table.OnStarted("i2");
  table.OnStarted("i2");
  // Another zone costs as much as one exchange.
  CHECK(table.Choose({}, kStart) == "i1");
  table.OnStarted("i1");
  CHECK(table.Choose({}, kStart) == "i3");
  CHECK(table.Choose({"i3"}, kStart) == "i1");
}

TEST_CASE("A forwarder that failed is passed over for a while") {
  ForwarderTable table = TableOf({{"i1", "a"}});
  table.OnFailure("i1", kStart);
  CHECK_FALSE(table.Choose({}, kStart + milliseconds(999)).has_value());
  CHECK(table.Choose({}, kStart + ForwarderTable::kFailureTime) == "i1");
  table.OnFailure("i1", kStart);
  table.OnSuccess("i1", kStart);
  CHECK(table.Choose({}, kStart) == "i1");
}

TEST_CASE("A proven forwarder goes before others") {
  ForwarderTable table = TableOf({{"i1", "a"}, {"i2", "b"}});
  table.OnSuccess("i2", kStart);
  CHECK(table.Choose({}, kStart) == "i2");
  CHECK(table.Choose({}, kStart + ForwarderTable::kProvenTime) == "i1");
}

// If a whole zone is partitioned, probes within the zone alone find nobody.
TEST_CASE("Probes go to the own zone and to others, to each in turn") {
  ForwarderTable table = TableOf(
      {{"i1", "a"}, {"i2", "a"}, {"i3", "b"}, {"i4", "b"}, {"i5", "c"}});
  const std::vector<std::string> first = table.ChooseProbes(3, kStart);
  const std::vector<std::string> second = table.ChooseProbes(3, kStart);
  CHECK(first == std::vector<std::string>{"i3", "i1", "i4"});
  CHECK(second == std::vector<std::string>{"i5", "i2", "i3"});
}

// A new leader hears of the instances one after the other, so that its first
// lists are short.
TEST_CASE("A forwarder that is no longer listed is kept for a while") {
  ForwarderTable table = TableOf({{"i1", "a"}});
  CHECK(table.Set({}, kStart).empty());
  CHECK(table.Choose({}, kStart) == "i1");
  const core::TimePoint later = kStart + ForwarderTable::kRetention;
  CHECK(table.Set({}, later) == std::vector<std::string>{"i1"});
  CHECK(table.empty());
}

}  // namespace
}  // namespace hawthorn::relay

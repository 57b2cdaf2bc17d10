#include "cluster/forwarder_list.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace hawthorn::cluster {
namespace {

constexpr int kInstances = 300;
constexpr int kZones = 5;

std::string IdOf(int n) { return "i" + std::to_string(n); }
std::string ZoneOf(int n) { return "z" + std::to_string(n % kZones); }

ForwarderList ListOf(int first, int last) {
  ForwarderList::Builder builder;
  for (int n = first; n < last; ++n) {
    schema::Forwarder it;
    it.set_instance(IdOf(n));
    it.set_zone(ZoneOf(n));
    it.set_peer_address(IdOf(n) + ":1");
    builder.Add(it);
  }
  return builder.Build();
}

std::set<std::string> SampleOf(const ForwarderList& list, int n) {
  std::set<std::string> ids;
  for (const schema::Forwarder& it : list.SampleFor(IdOf(n), ZoneOf(n))) {
    ids.insert(it.instance());
  }
  return ids;
}

TEST_CASE("An instance is told of others in its zone and elsewhere") {
  const ForwarderList list = ListOf(0, kInstances);
  std::map<std::string, int> told;
  for (int n = 0; n < kInstances; ++n) {
    size_t near = 0;
    for (const schema::Forwarder& it : list.SampleFor(IdOf(n), ZoneOf(n))) {
      CHECK(it.instance() != IdOf(n));
      near += it.zone() == ZoneOf(n) ? 1 : 0;
      ++told[it.instance()];
    }
    CHECK(near == ForwarderList::kSampleSize);
    CHECK(SampleOf(list, n).size() == 2 * ForwarderList::kSampleSize);
  }
  // Nobody is told of much more often than others.
  for (const auto& [id, count] : told) {
    CHECK(count < 5 * static_cast<int>(ForwarderList::kSampleSize));
  }
}

TEST_CASE("A change of the list changes few samples") {
  const ForwarderList before = ListOf(0, kInstances);
  const ForwarderList after = ListOf(1, kInstances);
  CHECK(before.digest() != after.digest());
  int changed = 0;
  for (int n = 1; n < kInstances; ++n) {
    changed += SampleOf(before, n) == SampleOf(after, n) ? 0 : 1;
  }
  CHECK(changed < kInstances / 5);
}

TEST_CASE("Lists with the same instances have the same digest") {
  ForwarderList::Builder builder;
  builder.Add(ListOf(2, 4).ToMessage().forwarders());
  builder.Add(ListOf(0, 3).ToMessage().forwarders());
  CHECK(builder.Build() == ListOf(0, 4));
  CHECK(ForwarderList().digest() == 0);
}

}  // namespace
}  // namespace hawthorn::cluster

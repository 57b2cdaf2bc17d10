#include "membership/instance_directory.h"

#include <catch2/catch.hpp>

#include "tests/membership/cluster.h"

namespace hawthorn::membership {
namespace {

using std::chrono::milliseconds;
using test::Cluster;

const InstanceSeed kSelf{core::InstanceId("a"), core::ZoneId("z")};
const InstanceSeed kOther{core::InstanceId("b"), core::ZoneId("z")};

core::TimePoint At(int64_t ms) {
  return core::TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

Heartbeat MakeHeartbeat(uint64_t number, uint32_t incarnation = 1) {
  Heartbeat heartbeat;
  heartbeat.instance = kOther.instance;
  heartbeat.incarnation = incarnation;
  heartbeat.number = number;
  return heartbeat;
}

TEST_CASE("an instance becomes suspect and dead by the age of its heartbeat") {
  InstanceDirectory directory(kSelf, {kSelf, kOther}, 1, At(0));
  REQUIRE(directory.StateOf(kOther.instance) == InstanceState::kUnknown);
  Heartbeat aged = MakeHeartbeat(1);
  aged.age = milliseconds(300);
  REQUIRE(directory.ApplyHeartbeat(aged, At(300)));
  directory.Tick(At(1499));
  REQUIRE(directory.StateOf(kOther.instance) == InstanceState::kAlive);
  directory.Tick(At(1500));
  REQUIRE(directory.StateOf(kOther.instance) == InstanceState::kSuspect);
  directory.Tick(At(4000));
  REQUIRE(directory.StateOf(kOther.instance) == InstanceState::kDead);
  const std::vector<InstanceEvent> events = directory.TakeEvents();
  REQUIRE(events.size() == 2);
  REQUIRE(std::get<InstanceAlive>(events[0]).instance == kOther.instance);
  REQUIRE(std::get<InstanceDied>(events[1]).instance == kOther.instance);
}

TEST_CASE("an old heartbeat does not keep an instance alive") {
  InstanceDirectory directory(kSelf, {kSelf, kOther}, 1, At(0));
  REQUIRE(directory.ApplyHeartbeat(MakeHeartbeat(5, 2), At(0)));
  REQUIRE_FALSE(directory.ApplyHeartbeat(MakeHeartbeat(5, 2), At(1400)));
  REQUIRE_FALSE(directory.ApplyHeartbeat(MakeHeartbeat(9, 1), At(1400)));
  directory.Tick(At(1600));
  REQUIRE(directory.StateOf(kOther.instance) == InstanceState::kSuspect);
}

TEST_CASE("a dead instance becomes alive only after several heartbeats") {
  InstanceDirectory directory(kSelf, {kSelf, kOther}, 1, At(0));
  directory.ApplyHeartbeat(MakeHeartbeat(1), At(0));
  directory.Tick(At(5000));
  (void)directory.TakeEvents();
  // One message every five seconds does not make the instance alive.
  uint64_t number = 1;
  uint64_t single_messages = 0;
  for (int64_t at = 5000; at <= 15'000; at += 5000) {
    directory.ApplyHeartbeat(MakeHeartbeat(++number), At(at));
    ++single_messages;
    REQUIRE(directory.StateOf(kOther.instance) == InstanceState::kDead);
    directory.Tick(At(at + 4999));
    if (single_messages == 2) {
      break;
    }
  }
  REQUIRE(single_messages == 2);
  REQUIRE(directory.TakeEvents().empty());
  directory.ApplyHeartbeat(MakeHeartbeat(++number), At(20'000));
  REQUIRE(directory.StateOf(kOther.instance) == InstanceState::kAlive);
  REQUIRE(directory.TakeEvents().size() == 1);
}

TEST_CASE("a restarted instance is reported as dead and alive again") {
  InstanceDirectory directory(kSelf, {kSelf, kOther}, 1, At(0));
  directory.ApplyHeartbeat(MakeHeartbeat(50, 1), At(0));
  (void)directory.TakeEvents();
  directory.ApplyHeartbeat(MakeHeartbeat(1, 2), At(100));
  const std::vector<InstanceEvent> events = directory.TakeEvents();
  REQUIRE(events.size() == 2);
  REQUIRE(std::get<InstanceDied>(events[0]).instance == kOther.instance);
  REQUIRE(std::get<InstanceAlive>(events[1]).incarnation == 2);
}

TEST_CASE("a healthy cluster reports no failed instances") {
  Cluster cluster({9}, {.loss = 0.05, .jitter = milliseconds(20)});
  cluster.Run(milliseconds(3000));
  for (const core::InstanceId& id : cluster.Live(0)) {
    (void)cluster.at(id).instances().TakeEvents();
  }
  cluster.Run(milliseconds(60'000));
  REQUIRE(cluster.counts().lost > 0);
  for (const core::InstanceId& id : cluster.Live(0)) {
    REQUIRE(cluster.at(id).instances().TakeEvents().empty());
  }
}

TEST_CASE("failure and restart are detected within and across zones") {
  Cluster cluster({3, 3, 3});
  cluster.Run(milliseconds(4000));
  const core::InstanceId victim = Cluster::IdOf(0, 2);
  REQUIRE(cluster.at(0, 0).instances().StateOf(victim) ==
          InstanceState::kAlive);
  REQUIRE(cluster.at(1, 1).instances().StateOf(victim) ==
          InstanceState::kAlive);
  cluster.Kill(victim);
  cluster.Run(milliseconds(8000));
  REQUIRE(cluster.at(0, 0).instances().StateOf(victim) == InstanceState::kDead);
  REQUIRE(cluster.at(1, 1).instances().StateOf(victim) == InstanceState::kDead);
  cluster.Start(victim);
  cluster.Run(milliseconds(8000));
  REQUIRE(cluster.at(0, 1).instances().StateOf(victim) ==
          InstanceState::kAlive);
  REQUIRE(cluster.at(2, 2).instances().StateOf(victim) ==
          InstanceState::kAlive);
}

TEST_CASE("an instance rejoins after a long network partition") {
  Cluster cluster({3});
  cluster.Run(milliseconds(2000));
  const core::InstanceId victim = Cluster::IdOf(0, 1);
  cluster.CutInstance(victim);
  cluster.Run(milliseconds(30'000));
  REQUIRE(cluster.counts().cut > 0);
  REQUIRE(cluster.at(victim).instances().StateOf(Cluster::IdOf(0, 0)) ==
          InstanceState::kDead);
  cluster.HealInstances();
  cluster.Run(milliseconds(8000));
  REQUIRE(cluster.at(0, 0).instances().StateOf(victim) ==
          InstanceState::kAlive);
  REQUIRE(cluster.at(victim).instances().StateOf(Cluster::IdOf(0, 0)) ==
          InstanceState::kAlive);
}

TEST_CASE("a zone partition is detected and heals") {
  Cluster cluster({3, 3, 3});
  cluster.Run(milliseconds(4000));
  REQUIRE(cluster.at(0, 2).instances().ReachableZones().size() == 3);
  cluster.CutZone(1);
  cluster.Run(milliseconds(10'000));
  REQUIRE(cluster.counts().cut > 0);
  REQUIRE(cluster.at(0, 2).instances().ReachableZones() ==
          std::set{Cluster::ZoneOf(0), Cluster::ZoneOf(2)});
  REQUIRE(cluster.at(1, 0).instances().ReachableZones() ==
          std::set{Cluster::ZoneOf(1)});
  cluster.HealZones();
  cluster.Run(milliseconds(6000));
  REQUIRE(cluster.at(0, 2).instances().ReachableZones().size() == 3);
  REQUIRE(cluster.at(1, 0).instances().ReachableZones().size() == 3);
}

TEST_CASE("a zone whose relays fail gets new ones") {
  Cluster cluster({4, 4});
  cluster.Run(milliseconds(4000));
  cluster.Kill(Cluster::IdOf(1, 0));
  cluster.Kill(Cluster::IdOf(1, 1));
  cluster.Run(milliseconds(20'000));
  REQUIRE(cluster.at(1, 2).instances().IsRelay());
  REQUIRE(cluster.at(0, 3).instances().ReachableZones().size() == 2);
  REQUIRE(cluster.at(0, 3).instances().StateOf(Cluster::IdOf(1, 0)) ==
          InstanceState::kDead);
  REQUIRE(cluster.at(0, 3).instances().StateOf(Cluster::IdOf(1, 3)) ==
          InstanceState::kAlive);
}

TEST_CASE("a restarted instance serves only under the highest revision") {
  Cluster cluster({3, 3});
  for (size_t zone = 0; zone < 2; ++zone) {
    for (size_t n = 0; n < 3; ++n) {
      cluster.at(zone, n).instances().SetRevision(7);
    }
  }
  cluster.at(1, 2).instances().SetRevision(8);
  cluster.Run(milliseconds(5000));
  const core::InstanceId restarted = Cluster::IdOf(0, 0);
  cluster.Start(restarted);
  REQUIRE_FALSE(cluster.at(restarted).instances().MayServe(cluster.now()));
  cluster.Run(milliseconds(5000));
  InstanceDirectory& instances = cluster.at(restarted).instances();
  instances.SetRevision(7);
  REQUIRE_FALSE(instances.MayServe(cluster.now()));
  REQUIRE(instances.HighestRevision() == 8);
  instances.SetRevision(8);
  REQUIRE(instances.MayServe(cluster.now()));
}

TEST_CASE("an instance without peers serves after the discovery period") {
  InstanceDirectory directory(kSelf, {kSelf, kOther}, 1, At(0));
  REQUIRE_FALSE(directory.MayServe(At(1999)));
  REQUIRE(directory.MayServe(At(2000)));
}

TEST_CASE("a restart with an older clock gets a newer incarnation") {
  Cluster cluster({3});
  cluster.Run(milliseconds(2000));
  const core::InstanceId id = Cluster::IdOf(0, 0);
  cluster.Kill(id);
  cluster.StartWith(id, 5);
  cluster.AddUpstream("u", "chat", id);
  cluster.Run(milliseconds(8000));
  REQUIRE(cluster.at(id).instances().incarnation() > 100);
  REQUIRE(cluster.at(0, 1).instances().StateOf(id) == InstanceState::kAlive);
  REQUIRE(cluster.RoutersOf("u", 0) == 3);
}

}  // namespace
}  // namespace hawthorn::membership

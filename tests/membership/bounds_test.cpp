#include <catch2/catch.hpp>

#include "tests/membership/cluster.h"

namespace hawthorn::membership {
namespace {

using std::chrono::milliseconds;
using test::Cluster;
using test::Faults;

constexpr milliseconds kLeaveBound{1000};
constexpr milliseconds kExpiryBound{3000};

/// Time from now until no instance of the zone routes to `upstream` any more.
milliseconds TimeUntilUnrouted(Cluster& cluster, const std::string& upstream) {
  const core::TimePoint start = cluster.now();
  core::TimePoint last = start;
  cluster.Run(milliseconds(4000), [&] {
    if (cluster.RoutersOf(upstream, 0) > 0) {
      last = cluster.now();
    }
  });
  return std::chrono::duration_cast<milliseconds>(last - start) +
         Cluster::kStep;
}

TEST_CASE("upstreams known to one instance become known to the zone") {
  Cluster cluster({9}, {.loss = 0.1});
  cluster.Run(milliseconds(2000));
  cluster.AddUpstream("u", "chat", Cluster::IdOf(0, 4));
  cluster.Run(milliseconds(1000));
  REQUIRE(cluster.RoutersOf("u", 0) == 9);
  cluster.Run(milliseconds(20'000));
  REQUIRE(cluster.RoutersOf("u", 0) == 9);
  REQUIRE(cluster.refused_renewals() == 0);
  REQUIRE(cluster.counts().lost > 0);
}

TEST_CASE("a leaving upstream gets no new work within one second") {
  for (const size_t size : {3, 9, 31}) {
    for (const uint64_t seed : {1, 2, 3, 4, 5}) {
      Cluster cluster(
          {size}, {.loss = 0.2, .duplication = 0.1, .jitter = milliseconds(30)},
          seed);
      cluster.Run(milliseconds(2000));
      cluster.AddUpstream("u", "chat", Cluster::IdOf(0, 0));
      cluster.Run(milliseconds(3000));
      REQUIRE(cluster.RoutersOf("u", 0) > 0);
      const uint64_t lost = cluster.counts().lost;
      REQUIRE(core::IsOk(cluster.Leave("u", Cluster::IdOf(0, 1))));
      const milliseconds took = TimeUntilUnrouted(cluster, "u");
      CAPTURE(size, seed);
      REQUIRE(took <= kLeaveBound);
      REQUIRE(cluster.counts().lost > lost);
      REQUIRE(cluster.counts().duplicated > 0);
      REQUIRE(cluster.counts().reordered > 0);
    }
  }
}

TEST_CASE("a leave takes effect within one second if an update is lost") {
  for (const size_t size : {3, 31}) {
    Cluster cluster({size});
    cluster.Run(milliseconds(2000));
    cluster.AddUpstream("u", "chat", Cluster::IdOf(0, 0));
    cluster.Run(milliseconds(2000));
    REQUIRE(cluster.RoutersOf("u", 0) == size);
    const core::InstanceId receiver = Cluster::IdOf(0, size - 1);
    bool first = true;
    cluster.SetDrop([&](const auto&, const OutgoingGossip& message) {
      const bool is_update =
          message.to == receiver && message.gossip.deltas_size() > 0;
      return is_update && std::exchange(first, false);
    });
    REQUIRE(core::IsOk(cluster.Leave("u", Cluster::IdOf(0, 0))));
    REQUIRE(TimeUntilUnrouted(cluster, "u") <= kLeaveBound);
    REQUIRE(cluster.counts().lost == 1);
  }
}

TEST_CASE("an upstream without renewals is unrouted within three seconds") {
  for (const size_t size : {3, 9, 31}) {
    for (const uint64_t seed : {1, 2, 3, 4, 5}) {
      Cluster cluster(
          {size}, {.loss = 0.2, .duplication = 0.1, .jitter = milliseconds(30)},
          seed);
      cluster.Run(milliseconds(2000));
      cluster.AddUpstream("u", "chat", Cluster::IdOf(0, 0));
      cluster.Run(milliseconds(3000));
      REQUIRE(cluster.RoutersOf("u", 0) > 0);
      cluster.StopRenewing("u");
      const milliseconds took = TimeUntilUnrouted(cluster, "u");
      CAPTURE(size, seed);
      REQUIRE(took <= kExpiryBound);
      REQUIRE(cluster.counts().lost > 0);
    }
  }
}

TEST_CASE("an expired upstream is unrouted in time if all updates are lost") {
  Cluster cluster({5});
  cluster.Run(milliseconds(2000));
  cluster.AddUpstream("u", "chat", Cluster::IdOf(0, 0));
  cluster.Run(milliseconds(2000));
  cluster.StopRenewing("u");
  cluster.SetDrop([](const auto&, const OutgoingGossip& message) {
    return message.gossip.deltas_size() > 0;
  });
  REQUIRE(TimeUntilUnrouted(cluster, "u") <= kExpiryBound);
  REQUIRE(cluster.counts().lost > 0);
}

TEST_CASE("an upstream lost with its reporter is unrouted in three seconds") {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    Cluster cluster({9}, {.loss = 0.1}, seed);
    cluster.Run(milliseconds(2000));
    cluster.AddUpstream("u", "chat", Cluster::IdOf(0, 0));
    cluster.Run(milliseconds(2000));
    REQUIRE(cluster.RoutersOf("u", 0) > 1);
    cluster.StopRenewing("u");
    cluster.Kill(Cluster::IdOf(0, 0));
    REQUIRE(TimeUntilUnrouted(cluster, "u") <= kExpiryBound);
  }
}

TEST_CASE("an upstream stays routable when its reporter fails") {
  for (const size_t size : {3, 31}) {
    Cluster cluster({size});
    cluster.Run(milliseconds(2000));
    cluster.AddUpstream("u", "chat", Cluster::IdOf(0, 0));
    cluster.Run(milliseconds(2000));
    cluster.Kill(Cluster::IdOf(0, 0));
    cluster.MoveUpstream("u", Cluster::IdOf(0, 1));
    size_t least = size;
    cluster.Run(milliseconds(10'000),
                [&] { least = std::min(least, cluster.RoutersOf("u", 0)); });
    CAPTURE(size);
    REQUIRE(cluster.refused_renewals() == 0);
    REQUIRE(least == size - 1);
    REQUIRE(
        cluster.at(0, 1).upstreams().Find(core::UpstreamId("u"))->reporter ==
        Cluster::IdOf(0, 1));
  }
}

TEST_CASE("an upstream stays routable when its reporter drains") {
  Cluster cluster({3});
  cluster.Run(milliseconds(2000));
  cluster.AddUpstream("u", "chat", Cluster::IdOf(0, 0));
  cluster.Run(milliseconds(2000));
  cluster.at(0, 0).instances().SetDraining(true);
  cluster.Run(milliseconds(1000));
  cluster.MoveUpstream("u", Cluster::IdOf(0, 1));
  cluster.Run(milliseconds(1000));
  REQUIRE(cluster.at(0, 2).upstreams().Find(core::UpstreamId("u"))->reporter ==
          Cluster::IdOf(0, 1));
  cluster.Kill(Cluster::IdOf(0, 0));
  size_t least = 2;
  cluster.Run(milliseconds(5000),
              [&] { least = std::min(least, cluster.RoutersOf("u", 0)); });
  REQUIRE(least == 2);
  REQUIRE(cluster.refused_renewals() == 0);
}

TEST_CASE("renewals at alternating instances keep an upstream alive") {
  Cluster cluster({5}, {.loss = 0.1});
  cluster.Run(milliseconds(2000));
  cluster.AddUpstream("u", "chat", Cluster::IdOf(0, 0));
  cluster.Run(milliseconds(2000));
  size_t least = 5;
  for (size_t n = 0; n < 60; ++n) {
    cluster.MoveUpstream("u", Cluster::IdOf(0, n % 5));
    cluster.Run(milliseconds(400),
                [&] { least = std::min(least, cluster.RoutersOf("u", 0)); });
  }
  REQUIRE(least > 0);
  REQUIRE(cluster.counts().lost > 0);
  REQUIRE(cluster.RoutersOf("u", 0) == 5);
}

TEST_CASE("upstreams of another zone are routable while it is reachable") {
  Cluster cluster({3, 3});
  cluster.Run(milliseconds(3000));
  cluster.AddUpstream("far", "chat", Cluster::IdOf(1, 2));
  cluster.AddUpstream("near", "chat", Cluster::IdOf(0, 2));
  cluster.Run(milliseconds(6000));
  const core::ServiceId chat("chat");
  const auto routes =
      cluster.at(0, 1).upstreams().Routable(chat, cluster.now());
  REQUIRE(routes.size() == 2);
  REQUIRE(routes[0].upstream.upstream.text() == "near");
  REQUIRE(routes[1].upstream.upstream.text() == "far");
  REQUIRE(routes[1].crosses_zone);
  const auto loads = cluster.at(0, 1).OtherZoneLoads();
  REQUIRE(loads.at(Cluster::ZoneOf(1)).at(0).upstreams == 1);

  cluster.CutZone(1);
  cluster.Run(milliseconds(8000));
  REQUIRE(cluster.counts().cut > 0);
  REQUIRE(cluster.RoutersOf("far", 0) == 0);
  REQUIRE(cluster.RoutersOf("near", 0) == 3);
  REQUIRE(cluster.RoutersOf("far", 1) == 3);

  cluster.HealZones();
  cluster.Run(milliseconds(6000));
  REQUIRE(cluster.RoutersOf("far", 0) == 3);
  REQUIRE(core::IsOk(cluster.Leave("far", Cluster::IdOf(1, 0))));
  cluster.Run(milliseconds(5000));
  REQUIRE(cluster.RoutersOf("far", 0) == 0);
}

}  // namespace
}  // namespace hawthorn::membership

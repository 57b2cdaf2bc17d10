#include <QElapsedTimer>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "deployment_fixture.h"
#include "fake_source.h"

namespace hawthorn::cluster {
namespace {

/// Entries by which a follower that hears its leader is clearly behind it.
constexpr uint64_t kBehind = 500;

schema::DeploymentCommand SmallCommand() {
  schema::DeploymentCommand command;
  command.set_succeeded_request(1);
  return command;
}

/// A client that watches one instance first.
struct Watcher {
  Watcher(Deployment* it, const std::string& source)
      : peers(it->NewTransport("127.0.0.10", 0)),
        client({SeedOf(it, source)}, 1, it->clock(), it->metrics(), *peers,
               [this](const schema::DeploymentUpdate& update) {
                 if (update.has_configuration()) {
                   version = update.configuration().version();
                 }
               }) {
    client.Start();
  }

  static std::string SeedOf(Deployment* it, const std::string& source) {
    for (const std::string& seed : it->Seeds()) {
      if (HostOf(seed) == source) {
        return seed;
      }
    }
    return {};
  }

  std::unique_ptr<peer::PeerTransport> peers;
  uint64_t version = 0;
  DeploymentClient client;
};

std::string FollowerOf(Deployment* it) {
  const std::string leader = it->Leader();
  return it->initial_member(0) == leader ? it->initial_member(1)
                                         : it->initial_member(0);
}

/// Commits commands until `follower` lacks kBehind entries.
bool FallBehind(Deployment* it, const std::string& follower) {
  return WaitFor([&] {
    const std::string leader = it->Leader();
    if (leader.empty()) {
      return false;
    }
    it->Propose(leader, SmallCommand());
    return it->host(leader).applied_index() >
           it->host(follower).applied_index() + kBehind;
  });
}

// Guards against entry instances that keep an old configuration because the
// instance that they watch is behind its leader.
TEST_CASE(
    "A follower whose disk stalls ends its watches once it is "
    "behind") {
  Deployment it(3);
  it.StartInitialMembers({0, 1, 2});
  REQUIRE(it.Publish(1));
  const std::string follower = FollowerOf(&it);
  Watcher watcher(&it, follower);
  REQUIRE(WaitFor(
      [&] { return watcher.version == 1 && watcher.client.IsCurrent(); }));
  it.SetDiskStalled(follower, true);
  REQUIRE(FallBehind(&it, follower));
  REQUIRE(it.Publish(2));
  QElapsedTimer timer;
  timer.start();
  constexpr qint64 kApplyMs = 2000;
  while (timer.elapsed() < kApplyMs && watcher.version < 2) {
    test::ProcessEvents();
  }
  CHECK(watcher.version == 2);
}

/// A client that watches the first of two sources.
struct TwoSources {
  TwoSources()
      : first(&it, "127.0.0.71"),
        second(&it, "127.0.0.72"),
        peers(it.NewTransport("127.0.0.10", 0)),
        client({first.address(), second.address()}, 0, it.clock(), it.metrics(),
               *peers, [this](const schema::DeploymentUpdate& update) {
                 if (update.upstreams_size() > 0) {
                   known = update.upstreams(0).upstream();
                 }
               }) {}

  Deployment it{0};
  FakeSource first;
  FakeSource second;
  std::unique_ptr<peer::PeerTransport> peers;
  std::string known;
  DeploymentClient client;
};

// Guards against upstreams that drain or have left and that come back with the
// table of a source that is behind.
TEST_CASE("A client takes no state older than the one it has") {
  TwoSources it;
  it.first.update = TableAt(20);
  it.second.update = TableAt(10);
  it.client.Start();
  REQUIRE(WaitFor([&] { return it.known == "at 20"; }));
  it.first.EndWatch();
  // It asks the other source, which lacks ten entries, and returns.
  REQUIRE(WaitFor([&] { return it.first.watches == 2; }));
  CHECK(it.second.watches == 1);
  CHECK(it.second.request.position().index() == 20);
  CHECK(it.known == "at 20");
  // Once it has caught up, it serves.
  it.second.update = TableAt(21);
  it.first.EndWatch();
  CHECK(WaitFor([&] { return it.known == "at 21"; }));
}

// Guards against an instance that refuses every source until it starts again,
// because it holds a position of another log, with a higher index.
TEST_CASE("A client takes the state of a later term at a lower index") {
  TwoSources it;
  it.first.update = TableAt(20);
  it.second.update = TableAt(10);
  it.second.update.mutable_position()->set_term(2);
  it.client.Start();
  REQUIRE(WaitFor([&] { return it.known == "at 20"; }));
  it.first.EndWatch();
  CHECK(WaitFor([&] { return it.known == "at 10"; }));
}

TEST_CASE("A client that is ahead of all current sources follows them again") {
  TwoSources it;
  it.first.update = TableAt(20);
  it.second.update = TableAt(11);
  it.client.Start();
  REQUIRE(WaitFor([&] { return it.known == "at 20"; }));
  it.first.update = TableAt(10);
  it.first.EndWatch();
  QElapsedTimer timer;
  timer.start();
  REQUIRE(WaitFor([&] { return it.known != "at 20"; }));
  CHECK(timer.elapsed() >= DeploymentClient::kPositionDoubtAfter.count() / 2);
  CHECK(it.it.metrics().CounterValue("positions_dropped") == 1);
}

/// Watches that a client begins at two sources within a time.
int WatchesWithin(TwoSources* it, qint64 waited_ms) {
  it->client.Start();
  QElapsedTimer timer;
  timer.start();
  REQUIRE(WaitFor([&] { return timer.elapsed() >= waited_ms; }));
  return it->first.watches + it->second.watches;
}

// Guards against sources that are kept busy by instances that have none.
TEST_CASE("A client asks sources that refuse it less and less often") {
  TwoSources it;
  it.first.refuses = true;
  it.second.refuses = true;
  constexpr qint64 kWaitedMs = 2000;
  const int asked = WatchesWithin(&it, kWaitedMs);
  CHECK(asked >= 4);
  CHECK(asked <= 4 + kWaitedMs / DeploymentClient::kMaxWatchRetryDelay.count());
}

// Guards against sources that are all too slow for the first update, and are
// asked for whole tables more and more often, so that they stay slow.
TEST_CASE("A client asks sources that do not answer less and less often") {
  TwoSources it;
  it.first.is_silent = true;
  it.second.is_silent = true;
  constexpr qint64 kWaitedMs = 4000;
  const int asked = WatchesWithin(&it, kWaitedMs);
  CHECK(asked >= 4);
  CHECK(asked <= static_cast<int>(DeploymentClient::kQuickWatches) + 3 +
                     kWaitedMs / DeploymentClient::kUpdateTimeout.count());
}

TEST_CASE("A client leaves a source whose state falls back") {
  TwoSources it;
  it.first.update = TableAt(20);
  it.second.update = TableAt(30);
  it.client.Start();
  REQUIRE(WaitFor([&] { return it.known == "at 20"; }));
  it.first.update = TableAt(19);
  it.first.Send();
  CHECK(WaitFor([&] { return it.known == "at 30"; }));
}

TEST_CASE("A client prefers sources that tell what their state contains") {
  TwoSources it;
  it.first.update = TableAt(20);
  it.second.update = TableAt(25);
  // The build before does not tell.
  it.second.update.clear_position();
  it.client.Start();
  REQUIRE(WaitFor([&] { return it.known == "at 20"; }));
  it.first.EndWatch();
  REQUIRE(WaitFor([&] { return it.first.watches == 2; }));
  CHECK(it.second.watches == 1);
  CHECK(it.known == "at 20");
  // Without any other source, it serves.
  it.first.update.clear_position();
  it.first.EndWatch();
  CHECK(WaitFor([&] { return it.known == "at 25"; }));
}

}  // namespace
}  // namespace hawthorn::cluster

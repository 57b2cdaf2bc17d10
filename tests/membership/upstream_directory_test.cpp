#include "membership/upstream_directory.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace hawthorn::membership {
namespace {

using std::chrono::milliseconds;

const core::InstanceId kSelf("a");
const core::ZoneId kZone("z");
const core::UpstreamId kUpstream("u");
const core::ServiceId kService("chat");

core::TimePoint At(int64_t ms) {
  return core::TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

Announcement Announce(const std::string& id = "u") {
  Announcement it;
  it.upstream = core::UpstreamId(id);
  it.service = kService;
  it.zone = kZone;
  it.address = "10.0.0.1:80";
  it.max_running = 4;
  return it;
}

/// Copies all changes and the confirmation of one directory to another.
void Sync(const UpstreamDirectory& from, const core::InstanceId& id,
          UpstreamDirectory& to, core::TimePoint now) {
  const SetKey key{id, false};
  const KnownSet& set = *from.FindSet(key);
  const KnownSet* copy = to.FindSet(key);
  const uint64_t since = copy == nullptr ? 0 : copy->set.version();
  to.Apply(key, set.incarnation, set.set.ChangesSince(since, 100), now);
  to.Confirm(key, set.incarnation, set.set.version(), now);
}

TEST_CASE("an announced upstream is routable while it renews") {
  UpstreamDirectory directory(kSelf, kZone, 1);
  REQUIRE(core::Value(directory.Announce(Announce(), At(0))) == 1);
  REQUIRE(directory.Routable(kService, At(1199)).size() == 1);
  REQUIRE(directory.Routable(core::ServiceId("other"), At(0)).empty());
  // The lease also ends without a call of Expire.
  REQUIRE(directory.Routable(kService, At(1200)).empty());
  REQUIRE(core::IsOk(directory.Renew(kUpstream, {.running = 3}, At(1000))));
  directory.Expire(At(2199));
  REQUIRE(directory.Routable(kService, At(2199))[0].upstream.load.running == 3);
  directory.Expire(At(2200));
  REQUIRE(directory.Find(kUpstream)->phase == Phase::kGone);
  const auto late = directory.Renew(kUpstream, {}, At(2300));
  REQUIRE(core::ErrorOf(late).code == core::ErrorCode::kNotFound);
  REQUIRE(core::Value(directory.Announce(Announce(), At(2400))) == 2);
  REQUIRE(directory.IsRoutable(kUpstream, At(2400)));
}

TEST_CASE("a leaving upstream can renew and remains leaving") {
  UpstreamDirectory directory(kSelf, kZone, 1);
  (void)directory.Announce(Announce(), At(0));
  REQUIRE(core::IsOk(directory.Leave(kUpstream, At(100))));
  REQUIRE(core::IsOk(directory.Renew(kUpstream, {}, At(200))));
  REQUIRE_FALSE(directory.IsRoutable(kUpstream, At(200)));
  REQUIRE(core::IsOk(directory.Leave(kUpstream, At(300))));
  REQUIRE(directory.Find(kUpstream)->phase == Phase::kLeaving);
  (void)directory.Announce(Announce(), At(400));
  REQUIRE(directory.IsRoutable(kUpstream, At(400)));
}

TEST_CASE("an announcement without a field is refused with its name") {
  UpstreamDirectory directory(kSelf, kZone, 1);
  Announcement announcement = Announce();
  announcement.address.clear();
  const auto refused = directory.Announce(announcement, At(0));
  REQUIRE(core::ErrorOf(refused).code == core::ErrorCode::kInvalidArgument);
  REQUIRE(core::ErrorOf(refused).message.find("address") != std::string::npos);
  REQUIRE_FALSE(core::IsOk(directory.Leave(kUpstream, At(0))));
  REQUIRE_FALSE(core::IsOk(directory.Renew(kUpstream, {}, At(0))));
}

TEST_CASE("upstreams of the local zone are first and others are flagged") {
  UpstreamDirectory directory(kSelf, kZone, 1);
  Announcement far = Announce("a-far");
  far.zone = core::ZoneId("y");
  (void)directory.Announce(far, At(0));
  (void)directory.Announce(Announce("near"), At(0));
  const auto routes = directory.Routable(kService, At(0));
  REQUIRE(routes.size() == 2);
  REQUIRE(routes[0].upstream.upstream.text() == "near");
  REQUIRE_FALSE(routes[0].crosses_zone);
  REQUIRE(routes[1].crosses_zone);
}

TEST_CASE("renewals at another instance are forwarded to the reporter") {
  const core::InstanceId other("b");
  UpstreamDirectory a(kSelf, kZone, 1);
  UpstreamDirectory b(other, kZone, 1);
  (void)a.Announce(Announce(), At(0));
  Sync(a, kSelf, b, At(0));
  REQUIRE(b.IsRoutable(kUpstream, At(1000)));
  const auto outcome = b.Renew(kUpstream, {.running = 2}, At(900));
  REQUIRE(std::get<Forwarded>(core::Value(outcome)).reporter == kSelf);
  for (const PendingRenewal& it : b.TakePendingRenewals(kSelf)) {
    a.ApplyForwardedRenewal(it, At(1001));
  }
  REQUIRE(b.TakePendingRenewals(kSelf).empty());
  a.Expire(At(2000));
  REQUIRE(a.IsRoutable(kUpstream, At(2000)));
  REQUIRE(a.Find(kUpstream)->load.running == 2);
}

TEST_CASE("another instance takes over from a failed reporter") {
  const core::InstanceId other("b");
  UpstreamDirectory a(kSelf, kZone, 1);
  UpstreamDirectory b(other, kZone, 1);
  (void)a.Announce(Announce(), At(0));
  Sync(a, kSelf, b, At(0));
  const auto outcome = b.Renew(kUpstream, {}, At(1800));
  REQUIRE(std::holds_alternative<Renewed>(core::Value(outcome)));
  REQUIRE(b.Find(kUpstream)->reporter == other);
  REQUIRE(b.IsRoutable(kUpstream, At(1800)));
  // The former reporter gives up the upstream when it receives that change.
  Sync(b, other, a, At(1810));
  REQUIRE(a.FindSet({kSelf, false})->set.Find(kUpstream)->moved);
  REQUIRE(a.Find(kUpstream)->reporter == other);
  REQUIRE(a.IsRoutable(kUpstream, At(1810)));
}

TEST_CASE("an upstream that renews is restored after a wrong expiry") {
  const core::InstanceId other("b");
  UpstreamDirectory a(kSelf, kZone, 1);
  UpstreamDirectory b(other, kZone, 1);
  (void)a.Announce(Announce(), At(0));
  Sync(a, kSelf, b, At(0));
  (void)b.Renew(kUpstream, {}, At(1900));
  a.Expire(At(1900));
  REQUIRE(a.Find(kUpstream)->phase == Phase::kGone);
  Sync(a, kSelf, b, At(2000));
  Sync(b, other, a, At(2000));
  REQUIRE(a.IsRoutable(kUpstream, At(2000)));
  REQUIRE(b.IsRoutable(kUpstream, At(2000)));
  REQUIRE(b.Find(kUpstream)->incarnation == 2);
}

TEST_CASE("directories converge in any order and never undo a leave") {
  uint64_t skipped = 0;
  rc::prop("three directories converge on one winner", [&] {
    const core::InstanceId ids[3] = {
        core::InstanceId("a"), core::InstanceId("b"), core::InstanceId("c")};
    std::vector<UpstreamDirectory> all;
    all.reserve(3);
    for (const core::InstanceId& id : ids) {
      all.emplace_back(id, kZone, 1);
    }
    int64_t time = 0;
    uint64_t left = 0;
    for (int n = 0; n < 25; ++n) {
      time += *rc::gen::inRange(0, 500);
      UpstreamDirectory& at = all[*rc::gen::inRange(0, 3)];
      Announcement announcement = Announce();
      announcement.announced_at = core::WallTime(milliseconds(time + 1));
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          (void)at.Announce(announcement, At(time));
          break;
        case 1:
          (void)at.Renew(kUpstream, {}, At(time));
          break;
        case 2:
          if (core::IsOk(at.Leave(kUpstream, At(time)))) {
            left = std::max(left, at.Find(kUpstream)->incarnation);
          }
          break;
        default:
          at.Expire(At(time));
      }
      const int from = *rc::gen::inRange(0, 3);
      const int to = *rc::gen::inRange(0, 3);
      if (from == to) {
        ++skipped;
        continue;
      }
      Sync(all[from], ids[from], all[to], At(time));
    }
    for (int round = 0; round < 4; ++round) {
      for (int from = 0; from < 3; ++from) {
        for (int to = 0; to < 3; ++to) {
          if (from != to) {
            Sync(all[from], ids[from], all[to], At(time));
          }
        }
      }
    }
    const auto winner = all[0].Find(kUpstream);
    for (const UpstreamDirectory& directory : all) {
      RC_ASSERT(directory.Find(kUpstream).has_value() == winner.has_value());
      if (winner) {
        RC_ASSERT(directory.Find(kUpstream)->incarnation ==
                  winner->incarnation);
        RC_ASSERT(directory.Find(kUpstream)->phase == winner->phase);
        RC_ASSERT(directory.Find(kUpstream)->reporter == winner->reporter);
        RC_ASSERT(winner->incarnation > left ||
                  winner->phase != Phase::kActive);
      }
    }
  });
  REQUIRE(skipped > 0);
}

}  // namespace
}  // namespace hawthorn::membership

#include "membership/lease.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace hawthorn::membership {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr LeaseTerms kTerms{milliseconds(1000), 10'000};

core::TimePoint At(milliseconds time) { return core::TimePoint(time); }

/// Clock with an error of up to half of the allowed drift.
struct DriftingClock {
  int64_t ppm = 0;

  core::TimePoint Read(nanoseconds elapsed) const {
    return core::TimePoint(std::chrono::hours(1) + elapsed +
                           elapsed * ppm / 1'000'000);
  }
};

TEST_CASE("two holders never overlap under drifting clocks") {
  uint64_t holder_changes = 0;
  uint64_t lost = 0;
  rc::prop("leases of two holders are disjoint", [&] {
    const auto drift = [] {
      return DriftingClock{*rc::gen::inRange<int64_t>(-4'900, 4'901)};
    };
    const DriftingClock granter_clock = drift();
    const DriftingClock clocks[2] = {drift(), drift()};
    Lease leases[2] = {Lease(kTerms), Lease(kTerms)};
    LeaseGranter granter(kTerms);
    nanoseconds elapsed{0};
    int last = -1;
    for (int n = 0; n < 60; ++n) {
      elapsed += milliseconds(*rc::gen::inRange(1, 700));
      const int holder = *rc::gen::inRange(0, 2);
      const core::TimePoint requested_at = clocks[holder].Read(elapsed);
      leases[holder].StartRequest(requested_at);
      elapsed += milliseconds(*rc::gen::inRange(0, 300));
      const auto token =
          granter.Grant(holder == 0 ? "a" : "b", granter_clock.Read(elapsed));
      elapsed += milliseconds(*rc::gen::inRange(0, 300));
      const bool reply_lost = *rc::gen::inRange(0, 4) == 0;
      if (token && reply_lost) {
        ++lost;
      } else if (token) {
        leases[holder].Grant(*token, requested_at);
        holder_changes += last >= 0 && last != holder ? 1 : 0;
        last = holder;
      }
      RC_ASSERT(!(leases[0].Covers(clocks[0].Read(elapsed)) &&
                  leases[1].Covers(clocks[1].Read(elapsed))));
    }
  });
  REQUIRE(holder_changes > 0);
  REQUIRE(lost > 0);
}

TEST_CASE("a lease covers only work that ends inside it") {
  Lease lease(kTerms);
  REQUIRE_FALSE(lease.Covers(At(milliseconds(0))));
  lease.Grant(FencingToken(1), At(milliseconds(0)));
  REQUIRE(lease.Covers(At(milliseconds(0)), milliseconds(989)));
  REQUIRE_FALSE(lease.Covers(At(milliseconds(0)), milliseconds(990)));
  REQUIRE_FALSE(lease.Covers(At(milliseconds(990))));
  REQUIRE_FALSE(lease.IsRenewalDue(At(milliseconds(400))));
  REQUIRE(lease.IsRenewalDue(At(milliseconds(500))));
  lease.Release();
  REQUIRE_FALSE(lease.Covers(At(milliseconds(1))));
}

TEST_CASE("a late reply extends neither a newer lease nor an older token") {
  Lease lease(kTerms);
  lease.Grant(FencingToken(5), At(milliseconds(500)));
  lease.Grant(FencingToken(5), At(milliseconds(100)));
  REQUIRE(lease.Covers(At(milliseconds(1400))));
  lease.Grant(FencingToken(4), At(milliseconds(900)));
  REQUIRE(lease.token() == FencingToken(5));
  REQUIRE_FALSE(lease.Covers(At(milliseconds(1490))));
}

TEST_CASE("a restarted granter waits until the old lease expires") {
  LeaseGranter granter(kTerms, FencingCounter(FencingToken(7)));
  granter.AssumeGranted(At(milliseconds(0)));
  REQUIRE_FALSE(granter.Grant("a", At(milliseconds(1009))));
  const auto token = granter.Grant("a", At(milliseconds(1010)));
  REQUIRE(token == FencingToken(8));
  REQUIRE(granter.Grant("a", At(milliseconds(1500))) == token);
  granter.Release("a");
  REQUIRE(granter.Grant("b", At(milliseconds(1501))) == FencingToken(9));
}

TEST_CASE("a fenced resource refuses a lower token") {
  rc::prop("the admitted tokens of a resource never decrease", [] {
    FencingGuard guard;
    FencingToken highest;
    for (const auto number : *rc::gen::arbitrary<std::vector<uint8_t>>()) {
      const FencingToken token(number);
      RC_ASSERT(guard.Admit("engine", token) == (token >= highest));
      highest = std::max(highest, token);
      RC_ASSERT(guard.HighestOf("engine") == highest);
    }
    RC_ASSERT(guard.Admit("other", FencingToken(0)));
  });
}

}  // namespace
}  // namespace hawthorn::membership

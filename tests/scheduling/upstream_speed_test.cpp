#include "scheduling/upstream_speed.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "scheduling/shared_pool.h"
#include "scheduling/shared_scheduler.h"

namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;

core::TimePoint At(int64_t ms) {
  return core::TimePoint() + std::chrono::hours(1) + milliseconds(ms);
}

UpstreamState Plain(const std::string& id) {
  UpstreamState state;
  state.id = core::UpstreamId(id);
  state.service = core::ServiceId("s");
  state.zone = core::ZoneId("z");
  state.max_running = 8;
  return state;
}

std::string Name(int n) { return "u" + std::to_string(10 + n); }

int NumberOf(const core::UpstreamId& upstream) {
  return std::stoi(upstream.text().substr(1)) - 10;
}

SharedPool PoolOf(int upstreams, uint64_t seed) {
  SharedPool pool(core::ZoneId("z"), seed);
  for (int n = 0; n < upstreams; ++n) {
    pool.Set(Plain(Name(n)), At(0));
  }
  return pool;
}

constexpr int kUpstreams = 12;

/// Mean run time of calls, as a multiple of the usual time, for an instance
/// that keeps two calls running for each upstream. `is_slow` tells whether an
/// upstream is slow at a time.
double MeanSlowdown(const std::function<bool(int, int64_t)>& is_slow,
                    bool with_news) {
  constexpr int64_t kRunMs = 100;
  constexpr int64_t kNewsAgeMs = 100;
  SharedPool pool = PoolOf(kUpstreams, 7);
  std::multimap<int64_t, core::UpstreamId> ends;
  double total = 0;
  int calls = 0;
  for (int64_t ms = 0; ms < 6000; ++ms) {
    while (!ends.empty() && ends.begin()->first <= ms) {
      pool.End(ends.begin()->second, {}, milliseconds(kRunMs), At(ms));
      ends.erase(ends.begin());
    }
    for (int n = 0; with_news && ms % 100 == 0 && n < kUpstreams; ++n) {
      pool.OnSlowdown(core::UpstreamId(Name(n)),
                      is_slow(n, ms - kNewsAgeMs) ? 2.5 : 1,
                      At(ms - kNewsAgeMs));
    }
    while (ends.size() < size_t{2} * kUpstreams) {
      const core::UpstreamId chosen = *pool.Choose({}, At(ms));
      pool.Start(chosen, {}, At(ms));
      const double slowdown = is_slow(NumberOf(chosen), ms) ? 2.5 : 1;
      total += slowdown;
      ++calls;
      ends.emplace(ms + static_cast<int64_t>(kRunMs * slowdown), chosen);
    }
  }
  return total / calls;
}

}  // namespace

// A report that kept its weight sent calls round an upstream that had long
// recovered.
TEST_CASE("A slowdown ages back to the usual speed within a spell") {
  UpstreamSpeed speed;
  CHECK(speed.SlowdownAt(At(0)) == 1);
  speed.OnReport(2.5, At(0));
  CHECK(speed.SlowdownAt(At(0)) == 2.5);
  CHECK(speed.SlowdownAt(At(300)) == Approx(1.75));
  CHECK(speed.SlowdownAt(At(600)) == 1);
  CHECK_FALSE(speed.OnReport(5, At(-100)));
  CHECK(speed.SlowdownAt(At(0)) == 2.5);
  speed.OnReport(1, At(50));
  CHECK(speed.SlowdownAt(At(50)) == 1);
  speed.OnReport(4e9, At(60));
  CHECK(speed.SlowdownAt(At(60)) == UpstreamSpeed::kMost);
}

// Load: a third of the pool is slow all the time, or the slow upstreams change
// every 600 ms. Placement by count sends a large part of the calls there; news
// that outlives its spell would send them to the next slow ones.
TEST_CASE("Calls avoid slow upstreams, also if slowness moves") {
  const bool moves = GENERATE(false, true);
  const auto is_slow = [moves](int n, int64_t ms) {
    return moves ? (n + (ms + 600) / 600) % 6 == 0 : n % 3 == 0;
  };
  const double blind = MeanSlowdown(is_slow, false);
  const double informed = MeanSlowdown(is_slow, true);
  CAPTURE(moves, blind, informed);
  CHECK(blind > 1.1);
  CHECK(informed - 1 < (blind - 1) / (moves ? 2 : 5));
}

// Load: 64 instances read the same news at once. If ties were broken in one
// order, all would choose the same upstream of those that are not slow.
TEST_CASE("Instances with the same news do not choose the same upstream") {
  constexpr int kInstances = 64;
  std::map<core::UpstreamId, int> chosen;
  for (uint64_t seed = 1; seed <= kInstances; ++seed) {
    SharedPool pool = PoolOf(kUpstreams, seed * 7919);
    for (int n = 0; n < kUpstreams; n += 3) {
      pool.OnSlowdown(core::UpstreamId(Name(n)), 2.5, At(0));
    }
    ++chosen[*pool.Choose({}, At(10))];
  }
  CHECK(chosen.size() == 8);
  for (const auto& [upstream, count] : chosen) {
    // The fair part is 8.
    CHECK(count <= 2 * 8);
    CHECK(NumberOf(upstream) % 3 != 0);
  }
}

// A slow upstream was taken for an outlier: it must still get calls while the
// others are full, and must not be suspended.
TEST_CASE("A slow upstream runs calls while the others are full") {
  SharedPool pool = PoolOf(2, 1);
  const core::UpstreamId slow(Name(0));
  pool.OnSlowdown(slow, 2.5, At(0));
  int at_slow = 0;
  int total = 0;
  while (const auto chosen = pool.Choose({}, At(1))) {
    pool.Start(*chosen, {}, At(1));
    ++total;
    at_slow += *chosen == slow ? 1 : 0;
  }
  // All slots of both; fewer calls wait at the slow one.
  CHECK(at_slow == 8);
  CHECK(total == 18);
  CHECK_FALSE(pool.IsSuspended(slow));
  CHECK(pool.SlowCount(At(1)) == 1);
}

// Load: one upstream whose figure changes with each response, many times a
// second. Each change was a message to all instances.
TEST_CASE("A flapping upstream is reported once in a batch") {
  SpeedReports reports;
  size_t sent = 0;
  for (int64_t ms = 0; ms < 1000; ++ms) {
    reports.OnMeasured("u", ms % 2 == 0 ? 2.5 : 1, At(ms));
    sent += reports.Take(At(ms)).size();
  }
  CHECK(sent > 0);
  CHECK(sent <= 10);
}

// Reports cost messages at every instance, so that nothing may be sent where
// all is as usual or the others know already.
TEST_CASE("Only a speed that the others do not know is reported") {
  SpeedReports reports;
  reports.OnMeasured("u", 1, At(0));
  reports.OnMeasured("u", 1.2, At(1));
  CHECK_FALSE(reports.DueAt());
  reports.OnNews({"u", 2.5, At(10)});
  reports.OnMeasured("u", 2.5, At(20));
  CHECK_FALSE(reports.DueAt());
  // The others believe it slow.
  reports.OnMeasured("u", 1, At(30));
  CHECK(reports.Take(At(30)) == std::vector<SpeedReport>{{"u", 1, At(30)}});
  reports.OnMeasured("u", 1, At(40));
  CHECK_FALSE(reports.DueAt());
  // News that is later than a report in the batch replaces it.
  reports.OnMeasured("u", 3, At(50));
  REQUIRE(reports.DueAt() == At(130));
  reports.OnNews({"u", 3, At(55)});
  CHECK_FALSE(reports.DueAt());
}

}  // namespace hawthorn::scheduling

#include "cluster/speed_board.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace hawthorn::cluster {
namespace {

core::TimePoint At(int64_t ms) {
  return core::TimePoint() + std::chrono::hours(1) +
         std::chrono::milliseconds(ms);
}

schema::UpstreamSpeeds Speeds(const std::string& upstream, uint32_t percent,
                              uint32_t age_ms = 0) {
  schema::UpstreamSpeeds speeds;
  schema::UpstreamSpeed* it = speeds.add_speeds();
  it->set_upstream(upstream);
  it->set_slowdown_percent(percent);
  it->set_age_ms(age_ms);
  return speeds;
}

}  // namespace

// A report that came back to its sender, or went round between the instances
// that serve watchers, would never end.
TEST_CASE("Reports reach all other watchers and go one hop to peers") {
  SpeedBoard board;
  board.OnSpeeds(Speeds("u1", 250), "entry-1", true, At(0));
  board.OnSpeeds(Speeds("u2", 250, 40), "control-2", false, At(0));
  CHECK(board.Since(0, "entry-1", At(10)).speeds_size() == 1);
  const schema::UpstreamSpeeds all = board.Since(0, "entry-2", At(10));
  REQUIRE(all.speeds_size() == 2);
  CHECK(all.speeds(0).age_ms() == 10);
  CHECK(all.speeds(1).age_ms() == 50);
  const schema::UpstreamSpeeds to_peers = board.TakeForPeers(At(10));
  REQUIRE(to_peers.speeds_size() == 1);
  CHECK(to_peers.speeds(0).upstream() == "u1");
  CHECK(board.TakeForPeers(At(200)).speeds().empty());
  CHECK_FALSE(board.HasNews(board.cursor(), "entry-2", At(10)));
}

// Load: one upstream is reported by 64 instances within one interval. The
// messages to a receiver grew with the number of senders.
TEST_CASE("Only the latest report of an upstream is passed on") {
  SpeedBoard board;
  for (uint32_t n = 0; n < 64; ++n) {
    board.OnSpeeds(Speeds("u", 100 + n), std::to_string(n), true, At(n));
  }
  board.OnSpeeds(Speeds("u", 900, 300), "late", true, At(64));
  const schema::UpstreamSpeeds news = board.Since(0, "other", At(64));
  REQUIRE(news.speeds_size() == 1);
  CHECK(news.speeds(0).slowdown_percent() == 163);
}

// Reports with ids of the sender's choice would fill the memory, and old ones
// send calls round sound upstreams.
TEST_CASE("Old, malformed and excess reports are dropped") {
  SpeedBoard board;
  CHECK(board.OnSpeeds(Speeds("u", 250, 600), "e", true, At(0)) == 0);
  CHECK(board.OnSpeeds(Speeds("", 250), "e", true, At(0)) == 1);
  CHECK(board.OnSpeeds(Speeds("u", 0), "e", true, At(0)) == 1);
  const std::string long_id(SpeedBoard::kMaxIdBytes + 1, 'u');
  CHECK(board.OnSpeeds(Speeds(long_id, 250), "e", true, At(0)) == 1);
  CHECK_FALSE(board.HasNews(0, "other", At(0)));
  for (size_t n = 0; n < SpeedBoard::kMaxUpstreams; ++n) {
    REQUIRE(board.OnSpeeds(Speeds("u" + std::to_string(n), 250), "e", true,
                           At(1)) == 0);
  }
  CHECK(board.OnSpeeds(Speeds("more", 250), "e", true, At(2)) == 1);
  // Room returns once the others are old.
  CHECK(board.OnSpeeds(Speeds("more", 250), "e", true, At(700)) == 0);
  CHECK(board.Since(0, "other", At(700)).speeds_size() == 1);
}

}  // namespace hawthorn::cluster

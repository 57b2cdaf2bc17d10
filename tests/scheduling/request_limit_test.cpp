#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "scheduling/rate_share.h"
#include "scheduling/shared_scheduler.h"

namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;

const core::ServiceId kService("llm");
constexpr core::TimePoint kStart{std::chrono::hours(1)};

CallRequest Call(CallId id, core::TimePoint now, int64_t attained = 0) {
  CallRequest call;
  call.id = id;
  call.service = kService;
  call.program = core::ProgramId("p" + std::to_string(id));
  call.attained_tokens = attained;
  call.prompt_tokens = 100;
  call.deadline = now + milliseconds(3000);
  return call;
}

UpstreamState State(const std::string& id, std::optional<double> limit) {
  UpstreamState state;
  state.id = core::UpstreamId(id);
  state.service = kService;
  state.zone = core::ZoneId("a");
  state.max_running = 12;
  state.request_limit = limit;
  return state;
}

SharedScheduler MakeScheduler(uint64_t seed, size_t instances) {
  SharedScheduler::Settings settings;
  settings.zone = core::ZoneId("a");
  settings.seed = seed;
  SharedScheduler scheduler(settings);
  scheduler.SetInstanceCount(instances, kStart);
  return scheduler;
}

void Finish(SharedScheduler* scheduler, CallId id, core::TimePoint now) {
  CallResult result;
  result.call = id;
  scheduler->OnFinished(result, now);
}

/// Largest number of requests in any 4 s.
size_t MostInWindow(std::vector<core::TimePoint> times) {
  std::sort(times.begin(), times.end());
  size_t most = 0;
  for (size_t from = 0, to = 0; to < times.size(); ++to) {
    while (times[to] - times[from] >= milliseconds(4000)) {
      ++from;
    }
    most = std::max(most, to - from + 1);
  }
  return most;
}

// Guards against instances that each obey the limit of an upstream for itself,
// or that save up requests and send them together.
TEST_CASE("Instances together keep a request limit, however calls arrive") {
  const auto [instances, limit] =
      GENERATE(table<size_t, double>({{1, 5.0},
                                      {3, 0.5},
                                      {9, 2.0},
                                      {9, 8.8},
                                      {9, 40.0},
                                      {64, 1.0},
                                      {64, 7.0},
                                      {64, 60.0},
                                      {259, 3.0},
                                      {259, 9.0},
                                      {259, 150.0}}));
  const auto seed = GENERATE(1U, 2U, 3U);
  CAPTURE(instances, limit, seed);
  std::mt19937 random(seed);
  std::vector<SharedScheduler> schedulers;
  for (size_t n = 0; n < instances; ++n) {
    schedulers.push_back(MakeScheduler(seed * 1000 + n, instances));
    schedulers.back().SetUpstream(State("limited", limit), kStart);
    schedulers.back().SetUpstream(State("other", std::nullopt), kStart);
  }
  std::vector<core::TimePoint> sent;
  CallId next = 1;
  // Half of the calls arrive at a quarter of the instances; after 10 s a pause,
  // then a burst.
  for (auto now = kStart; now < kStart + milliseconds(20000);
       now += milliseconds(10)) {
    const auto second = (now - kStart) / std::chrono::seconds(1);
    const size_t calls = second >= 10 && second < 14 ? 0
                         : second == 14              ? 3 * instances
                                                     : 1 + instances / 8;
    for (size_t n = 0; n < calls; ++n) {
      const size_t range =
          random() % 2 == 0 ? instances : std::max<size_t>(1, instances / 4);
      SharedScheduler& scheduler = schedulers[random() % range];
      const CallId id = next++;
      (void)scheduler.Enqueue(Call(id, now), now);
      for (const Dispatch& dispatch : scheduler.Next(now)) {
        if (dispatch.upstream.text() == "limited") {
          sent.push_back(now);
        }
        Finish(&scheduler, dispatch.call, now);
      }
    }
  }
  const double allowed = 1.5 * limit * 4 + 5;
  CHECK(static_cast<double>(MostInWindow(sent)) <= allowed);
  // The limit is also made use of.
  CHECK(static_cast<double>(sent.size()) >= std::min(limit, 20.0) * 16 * 0.3);
}

TEST_CASE("A share allows evenly spaced requests and saves up one second") {
  RateShare share(4, 0.5, kStart);
  CHECK_FALSE(share.Allows(kStart));
  CHECK(share.Wait(kStart) == milliseconds(125));
  CHECK(share.Allows(kStart + milliseconds(125)));
  share.Take(kStart + milliseconds(125));
  CHECK_FALSE(share.Allows(kStart + milliseconds(374)));
  CHECK(share.Allows(kStart + milliseconds(375)));
  // After a long pause the slots of one second are left.
  const auto later = kStart + std::chrono::seconds(60);
  int saved = 0;
  while (share.Allows(later)) {
    share.Take(later);
    ++saved;
  }
  CHECK(saved >= 4);
  CHECK(saved <= 5);
}

TEST_CASE("A changed rate scales the wait for the next request") {
  RateShare share(1, 0.8, kStart);
  share.SetRate(2, kStart);
  CHECK(share.Wait(kStart) == milliseconds(400));
  share.SetRate(0.5, kStart);
  CHECK(share.Wait(kStart) == milliseconds(1600));
}

// Guards against calls that wait for an upstream that takes no more requests.
TEST_CASE("A call beyond all limits is refused at once, with later returns") {
  SharedScheduler scheduler = MakeScheduler(1, 1);
  scheduler.SetUpstream(State("u", 2.0), kStart);
  scheduler.SetUpstream(State("v", 2.0), kStart);
  std::vector<milliseconds> told;
  for (CallId id = 1; id <= 20; ++id) {
    const core::Status status = scheduler.Enqueue(Call(id, kStart), kStart);
    if (!core::IsOk(status)) {
      CHECK(core::ErrorOf(status).code == core::ErrorCode::kLimitExceeded);
      CHECK(core::ErrorOf(status).execution == core::Execution::kNotRun);
      told.push_back(*core::ErrorOf(status).retry_after);
    }
  }
  CHECK(scheduler.queued() <= 3);
  REQUIRE(told.size() >= 17);
  // They return at the rate that both limits allow.
  for (size_t n = 1; n < 8; ++n) {
    CHECK(told[n] - told[n - 1] == milliseconds(250));
  }
  CHECK(scheduler.TakeRefused(kStart).empty());
}

// Guards against a call of a started program that takes the place of a waiting
// one, which is then refused only when its time is over.
TEST_CASE("A waiting call that falls behind the limit is refused then") {
  SharedScheduler scheduler = MakeScheduler(1, 1);
  scheduler.SetUpstream(State("u", 2.0), kStart);
  // A first call is let in once the first slot is near.
  auto now = kStart;
  const CallId id = 1;
  while (!core::IsOk(scheduler.Enqueue(Call(id, now), now))) {
    now += milliseconds(10);
    REQUIRE(now < kStart + milliseconds(1000));
  }
  CHECK(scheduler.TakeRefused(now).empty());
  REQUIRE(core::IsOk(scheduler.Enqueue(Call(id + 1, now, 100), now)));
  REQUIRE(core::IsOk(scheduler.Enqueue(Call(id + 2, now, 100), now)));
  const auto refused = scheduler.TakeRefused(now);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].call == id);
  CHECK(refused[0].error.code == core::ErrorCode::kLimitExceeded);
}

TEST_CASE("A limit that ends, or that slots bind before, takes nothing away") {
  SharedScheduler scheduler = MakeScheduler(1, 9);
  scheduler.SetUpstream(State("u", 0.0), kStart);
  CHECK_FALSE(core::IsOk(scheduler.Enqueue(Call(1, kStart), kStart)));
  scheduler.SetUpstream(State("u", std::nullopt), kStart);
  REQUIRE(core::IsOk(scheduler.Enqueue(Call(2, kStart), kStart)));
  CHECK(scheduler.Next(kStart).size() == 1);
}

// Guards against sending a broken call once more to the same upstream past its
// limit.
TEST_CASE("A repeat at the same upstream counts against its limit") {
  SharedScheduler scheduler = MakeScheduler(1, 1);
  scheduler.SetUpstream(State("u", 1.0), kStart);
  auto now = kStart;
  while (!core::IsOk(scheduler.Enqueue(Call(1, now, 100), now)) ||
         scheduler.Next(now).empty()) {
    scheduler.Cancel(1);
    now += milliseconds(50);
    REQUIRE(now < kStart + milliseconds(2000));
  }
  CHECK_FALSE(scheduler.TakeRepeat(1, now));
  now += milliseconds(1100);
  CHECK(scheduler.TakeRepeat(1, now));
  CHECK_FALSE(scheduler.TakeRepeat(1, now));
}

}  // namespace
}  // namespace hawthorn::scheduling

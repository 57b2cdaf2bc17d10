#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "scheduling/shared_pool.h"

namespace hawthorn::scheduling {
namespace {

constexpr int kUpstreams = 36;
constexpr int kPrograms = 200;
constexpr int64_t kFirstPrompt = 1166;
constexpr int64_t kSecondPrompt = 1900;

core::TimePoint At(int64_t ms) {
  return core::TimePoint() + std::chrono::hours(1) +
         std::chrono::milliseconds(ms);
}

/// An instance of a deployment with `instances` instances.
SharedPool InstanceOf(size_t instances, uint64_t seed) {
  SharedPool pool(core::ZoneId("z"), seed);
  pool.SetInstanceCount(instances, At(0));
  for (int n = 0; n < kUpstreams; ++n) {
    UpstreamState state;
    state.id = core::UpstreamId("u" + std::to_string(n));
    state.service = core::ServiceId("s");
    state.zone = core::ZoneId("z");
    state.max_running = 8;
    state.cache_tokens = 64000;
    pool.Set(state, At(0));
  }
  return pool;
}

CallRequest Turn(int program, int64_t prompt_tokens, bool is_first) {
  CallRequest call;
  call.program = core::ProgramId("p" + std::to_string(program));
  call.service = core::ServiceId("s");
  call.prompt_tokens = prompt_tokens;
  call.attained_tokens = is_first ? 0 : prompt_tokens;
  call.prefix = {{static_cast<uint64_t>(program) + 1, prompt_tokens}};
  return call;
}

/// Number of programs whose second call goes to the upstream of the first one,
/// though it arrives at another instance.
int CountKept(size_t instances) {
  SharedPool one = InstanceOf(instances, 1);
  SharedPool other = InstanceOf(instances, 2);
  int kept = 0;
  for (int n = 0; n < kPrograms; ++n) {
    const auto first = one.Choose(Turn(n, kFirstPrompt, true), At(n));
    const auto second = other.Choose(Turn(n, kSecondPrompt, false), At(n));
    REQUIRE(first);
    REQUIRE(second);
    kept += *first == *second ? 1 : 0;
  }
  return kept;
}

}  // namespace

// Load: the calls of a program arrive at one of many instances each. Its prompt
// was read anew at nearly every call, as no instance knew where it was cached,
// and a burst left the engines reading prompts long after it had ended.
TEST_CASE("Many instances send the calls of a program to one upstream") {
  CHECK(CountKept(64) == kPrograms);
}

// With few instances each knows most of the caches itself, and the least loaded
// upstream is the better choice for a new program.
TEST_CASE("Few instances place new programs by load alone") {
  CHECK(CountKept(9) < kPrograms / 2);
}

// Load: many programs share a home. The preference must not fill one upstream
// while others are idle.
TEST_CASE("A new program leaves a home that has no room") {
  SharedPool pool = InstanceOf(64, 1);
  const CallRequest call = Turn(7, kFirstPrompt, true);
  const auto home = pool.Choose(call, At(0));
  REQUIRE(home);
  int at_home = 0;
  while (pool.Choose(call, At(0)) == home) {
    pool.Start(*home, call, At(0));
    REQUIRE(++at_home <= 10);
  }
  CHECK(at_home >= 1);
  CHECK(pool.Choose(call, At(0)));
}

// A home that drains was still preferred.
TEST_CASE("A program whose home drains gets another one") {
  SharedPool pool = InstanceOf(64, 1);
  const CallRequest call = Turn(3, kFirstPrompt, true);
  const auto home = pool.Choose(call, At(0));
  REQUIRE(home);
  UpstreamState state;
  state.id = *home;
  state.service = core::ServiceId("s");
  state.zone = core::ZoneId("z");
  state.max_running = 8;
  state.cache_tokens = 64000;
  state.leaving = true;
  pool.Set(state, At(1));
  const auto next = pool.Choose(call, At(2));
  REQUIRE(next);
  CHECK(*next != *home);
}

}  // namespace hawthorn::scheduling

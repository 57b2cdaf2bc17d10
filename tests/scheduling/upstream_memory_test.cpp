#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "scheduling/shared_scheduler.h"

namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kCapacity = 49110;

core::TimePoint At(int64_t ms) {
  return core::TimePoint() + std::chrono::hours(1) + milliseconds(ms);
}

UpstreamState Engine(const std::string& id, int64_t capacity = kCapacity) {
  UpstreamState state;
  state.id = core::UpstreamId(id);
  state.service = core::ServiceId("s");
  state.zone = core::ZoneId("z");
  state.max_running = 8;
  state.cache_tokens = capacity;
  return state;
}

CallRequest Call(CallId id, int64_t prompt, int64_t output = 100) {
  CallRequest call;
  call.id = id;
  call.service = core::ServiceId("s");
  call.program = core::ProgramId("p" + std::to_string(id));
  call.attained_tokens = 1;
  call.prompt_tokens = prompt;
  call.max_output_tokens = output;
  return call;
}

SharedScheduler NewScheduler(const std::vector<UpstreamState>& upstreams) {
  SharedScheduler::Settings settings;
  settings.zone = core::ZoneId("z");
  SharedScheduler it(settings);
  for (const UpstreamState& upstream : upstreams) {
    it.SetUpstream(upstream, At(0));
  }
  return it;
}

void Finish(SharedScheduler* it, CallId id, int64_t ms) {
  CallResult result;
  result.call = id;
  it->OnFinished(result, At(ms));
}

}  // namespace

// Load: more calls of 2,500 to 20,500 tokens than two upstreams can hold. They
// fit by number but not by tokens, and the upstreams crashed under them.
TEST_CASE("The calls at an upstream never exceed its memory") {
  SharedScheduler it = NewScheduler({Engine("a"), Engine("b")});
  std::map<CallId, std::pair<std::string, int64_t>> running;
  std::map<std::string, int64_t> held;
  int64_t most = 0;
  for (CallId id = 1; id <= 200; ++id) {
    const int64_t ms = static_cast<int64_t>(id) * 10;
    const int64_t prompt = 2000 + static_cast<int64_t>(id * 7919 % 18000);
    REQUIRE(core::IsOk(it.Enqueue(Call(id, prompt, 500), At(ms))));
    for (const Dispatch& sent : it.Next(At(ms))) {
      const int64_t tokens =
          2500 + static_cast<int64_t>(sent.call * 7919 % 18000);
      running[sent.call] = {sent.upstream.text(), tokens};
      most = std::max(most, held[sent.upstream.text()] += tokens);
    }
    if (id % 2 == 0) {
      Finish(&it, running.begin()->first, ms);
      held[running.begin()->second.first] -= running.begin()->second.second;
      running.erase(running.begin());
    }
  }
  CHECK(most <= kCapacity);
  CHECK(most > kCapacity * 3 / 4);
}

// Load: one huge prompt among small ones. The small ones took each bit of
// memory as it became free, or waited behind the huge one.
TEST_CASE("A huge prompt neither starves nor stops the small ones") {
  SharedScheduler it = NewScheduler({Engine("a"), Engine("b")});
  constexpr CallId kHuge = 1000;
  std::multimap<int64_t, CallId> ends;
  int small_sent = 0;
  int64_t huge_sent_at = -1;
  CallId next = 1;
  for (int64_t ms = 0; ms < 1500; ms += 5) {
    if (ms == 300) {
      REQUIRE(core::IsOk(it.Enqueue(Call(kHuge, 45000, 1000), At(ms))));
    }
    // More small calls than the two can run.
    for (int n = 0; n < 2; ++n) {
      REQUIRE(core::IsOk(it.Enqueue(Call(next++, 5000), At(ms))));
    }
    for (; !ends.empty() && ends.begin()->first <= ms;
         ends.erase(ends.begin())) {
      Finish(&it, ends.begin()->second, ms);
    }
    for (const Dispatch& dispatch : it.Next(At(ms))) {
      ends.emplace(ms + 100, dispatch.call);
      huge_sent_at = dispatch.call == kHuge ? ms : huge_sent_at;
      small_sent += dispatch.call != kHuge && ms >= 300 && huge_sent_at < 0;
    }
  }
  // It is last in the queue of its rank at 300 ms, and sent soon after its
  // turn.
  CHECK(huge_sent_at > 300);
  CHECK(small_sent > 10);
}

// A call that is larger than the memory of an upstream crashed it when it was
// the only one there.
TEST_CASE("A call larger than an upstream's memory is not sent there") {
  SharedScheduler it = NewScheduler({Engine("small"), Engine("large", 64385)});
  for (CallId id = 1; id <= 3; ++id) {
    REQUIRE(core::IsOk(it.Enqueue(Call(id, 50000), At(10))));
    const std::vector<Dispatch> sent = it.Next(At(10));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].upstream.text() == "large");
    Finish(&it, id, 10);
  }
  // One that no upstream can hold is refused at once, without a time to retry.
  const core::Status status = it.Enqueue(Call(9, 64000, 1000), At(20));
  REQUIRE_FALSE(core::IsOk(status));
  CHECK(core::ErrorOf(status).code == core::ErrorCode::kInvalidArgument);
  CHECK_FALSE(core::ErrorOf(status).retry_after);
  // So is one that waits when the only upstream that could hold it leaves.
  REQUIRE(core::IsOk(it.Enqueue(Call(10, 50000), At(30))));
  it.RemoveUpstream(core::UpstreamId("large"));
  CHECK(it.Next(At(30)).empty());
  CHECK(it.TakeRefused(At(30)).size() == 1);
}

// Load: the calls of other instances, known by number only. Counting the own
// calls alone let 64 instances fill an upstream several times over.
TEST_CASE("Calls of other instances count at their mean size") {
  SharedScheduler it = NewScheduler({Engine("a")});
  REQUIRE(core::IsOk(it.Enqueue(Call(1, 8900), At(0))));
  REQUIRE(it.Next(At(0)).size() == 1);
  it.OnReport(core::UpstreamId("a"), {At(1), 5, 0, 0});
  REQUIRE(core::IsOk(it.Enqueue(Call(2, 8900), At(1))));
  CHECK(it.Next(At(1)).empty());
  CHECK(it.lacking_memory() == 1);
  it.OnReport(core::UpstreamId("a"), {At(2), 2, 0, 0});
  CHECK(it.Next(At(2)).size() == 1);
}

}  // namespace hawthorn::scheduling

#include "scheduling/admission_controller.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>

namespace hawthorn::scheduling {
namespace {

using std::chrono::milliseconds;

class Fixture {
 public:
  CallRequest Call(int program, uint32_t priority = 0) const {
    CallRequest call;
    call.id = static_cast<CallId>(program);
    call.program = core::ProgramId("p" + std::to_string(program));
    call.priority = priority;
    call.prompt_tokens = 1000;
    call.deadline = now + milliseconds(3000);
    call.program_deadline = now + milliseconds(1400);
    return call;
  }

  void TurnsTake(milliseconds time, int turns = 20) {
    for (int n = 0; n < turns; ++n) {
      controller.OnTurn({milliseconds(0), time, 600, 75, true}, now);
      now += milliseconds(10);
    }
  }

  AdmissionController controller;
  core::TimePoint now{std::chrono::hours(1)};
};

// Guards against refusals while upstreams have room, and against a service that
// lets everybody in while all slots are taken.
TEST_CASE("Programs are admitted in part only while calls exceed the slots") {
  Fixture it;
  it.controller.Observe({100, 100, 0});
  for (int program = 0; program < 500; ++program) {
    CHECK_FALSE(it.controller.Refuse(it.Call(program), it.now));
  }
  it.controller.Observe({100, 112, 0});
  int refused = 0;
  for (int program = 1000; program < 2000; ++program) {
    refused += it.controller.Refuse(it.Call(program), it.now) ? 1 : 0;
  }
  CHECK(refused > 400);
  CHECK(refused < 560);
}

// Guards against work that is done in vain: a program that is let in by one
// instance and refused by the next, or at its next turn.
TEST_CASE("Retries get the same decision for seconds, at all instances") {
  Fixture one;
  Fixture other;
  one.controller.Observe({100, 112, 0});
  other.controller.Observe({100, 112, 0});
  for (int program = 0; program < 300; ++program) {
    const bool refused =
        one.controller.Refuse(one.Call(program), one.now).has_value();
    CHECK(refused ==
          other.controller.Refuse(other.Call(program), other.now).has_value());
    if (!refused) {
      // An admitted program stays admitted, as its sub-agents begin anew.
      one.controller.Observe({100, 200, 0});
      CHECK_FALSE(one.controller.Refuse(one.Call(program),
                                        one.now + milliseconds(500)));
      one.controller.Observe({100, 112, 0});
    }
  }
}

// Guards against starvation: a program whose hash comes last would be refused
// for as long as the overload lasts.
TEST_CASE("The program that was refused longest is admitted first") {
  Fixture it;
  it.controller.Observe({100, 112, 0});
  std::set<int> refused;
  for (int program = 0; program < 200; ++program) {
    CallRequest call = it.Call(program);
    call.program_deadline = it.now + std::chrono::seconds(20);
    if (it.controller.Refuse(call, it.now)) {
      refused.insert(program);
    }
  }
  REQUIRE(refused.size() > 60);
  it.now += milliseconds(4000);
  for (const int program : refused) {
    CallRequest call = it.Call(program);
    CHECK_FALSE(it.controller.Refuse(call, it.now));
  }
}

// Guards against upstreams that are overloaded before their slots are full, by
// long prompts, and against a slow upstream taken for overload.
TEST_CASE("Stretched turns lower the usable slots quickly, then they rise") {
  Fixture it;
  it.controller.Observe({100, 30, 0});
  it.TurnsTake(milliseconds(250), 100);
  it.TurnsTake(milliseconds(600), 5);
  CHECK(it.controller.usable() == 1);
  it.controller.Observe({100, 90, 0});
  it.TurnsTake(milliseconds(400), 100);
  CHECK(it.controller.usable() < 0.85);
  it.TurnsTake(milliseconds(260), 50);
  const double lowered = it.controller.usable();
  CHECK(it.controller.FractionOf(0, it.now) < 0.9);
  it.TurnsTake(milliseconds(260), 100);
  CHECK(it.controller.usable() > lowered);
  CHECK(it.controller.usable() < lowered + 0.1);
  it.TurnsTake(milliseconds(260), 1500);
  CHECK(it.controller.usable() == 1);
}

// Guards against callers that return together, and against times that a caller
// cannot use.
TEST_CASE("Retry-After is staggered and within what the caller can use") {
  Fixture it;
  for (int program = 0; program < 20; ++program) {
    CHECK_FALSE(it.controller.Refuse(it.Call(program), it.now));
    it.now += milliseconds(50);
  }
  it.controller.Observe({100, 1000, 0});
  std::map<int64_t, int> told;
  int refused = 0;
  for (int program = 100; program < 200; ++program) {
    const auto retry_after = it.controller.Refuse(it.Call(program), it.now);
    if (!retry_after) {
      continue;
    }
    ++refused;
    CHECK(*retry_after >= AdmissionController::kLeastRetryAfter);
    CHECK(*retry_after <= milliseconds(350));
    ++told[retry_after->count() / 10];
  }
  REQUIRE(refused > 90);
  for (const auto& [time, callers] : told) {
    CHECK(callers < refused / 5);
  }
}

}  // namespace
}  // namespace hawthorn::scheduling

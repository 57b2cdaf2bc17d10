#include "cluster/state_barrier.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace hawthorn::cluster {
namespace {

using std::chrono::milliseconds;

constexpr core::TimePoint At(int ms) {
  return core::TimePoint() + milliseconds(1000 + ms);
}

// Guards against an answer from a local state that lacks what the group
// committed before the question.
TEST_CASE("A wait ends with a state that is complete up to its start") {
  StateBarrier it;
  std::vector<bool> ended;
  it.Add(At(10),
         [&](const core::Status& s) { ended.push_back(core::IsOk(s)); });
  it.Update(std::nullopt, At(20));
  it.Update(At(9), At(30));
  CHECK(ended.empty());
  it.Update(At(10), At(40));
  CHECK(ended == std::vector<bool>{true});
  it.Update(At(50), At(60));
  CHECK(ended.size() == 1);
}

// Guards against callers that wait forever at an instance that is behind.
TEST_CASE("A wait fails once the state stays behind for too long") {
  StateBarrier it;
  std::vector<bool> ended;
  const auto add = [&](int ms) {
    it.Add(At(ms),
           [&](const core::Status& s) { ended.push_back(core::IsOk(s)); });
  };
  add(0);
  add(100);
  it.Update(std::nullopt, At(699));
  CHECK(ended.empty());
  it.Update(std::nullopt, At(700));
  CHECK(ended == std::vector<bool>{false});
  it.Update(At(100), At(701));
  CHECK(ended == std::vector<bool>{false, true});
}

TEST_CASE("A callback may add a wait") {
  StateBarrier it;
  int ended = 0;
  it.Add(At(0), [&](const core::Status&) {
    ++ended;
    it.Add(At(5), [&](const core::Status&) { ++ended; });
  });
  it.Update(At(1), At(5));
  CHECK(ended == 1);
  it.Update(At(5), At(6));
  CHECK(ended == 2);
}

}  // namespace
}  // namespace hawthorn::cluster

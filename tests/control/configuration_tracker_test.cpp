#include "control/configuration_tracker.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "control_commands.h"
#include "rapidcheck/catch.h"

namespace hawthorn::control {
namespace {

using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{};

ConfigurationTracker MakeTracker(const std::string& instance) {
  std::vector<TrackedPeer> peers;
  for (const char* zone : {"a", "b", "c"}) {
    for (int i = 1; i <= 3; ++i) {
      const std::string id = std::string(zone) + "-" + std::to_string(i);
      if (id != instance) {
        peers.push_back({id, zone});
      }
    }
  }
  return ConfigurationTracker({instance, instance.substr(0, 1)}, peers,
                              TrackerTimes(), kStart);
}

ControlState StateAt(uint64_t revision) {
  ControlState state;
  for (uint64_t n = 0; n < revision; ++n) {
    state.Apply(PutOrganisation(n, static_cast<int64_t>(n), "ana",
                                "org-" + std::to_string(n % 5), 1 + n % 7));
  }
  return state;
}

TEST_CASE("A restarted instance is not ready below the highest revision") {
  const ControlState state = StateAt(30);
  ConfigurationTracker tracker = MakeTracker("a-1");
  tracker.ApplyUpdate(StateAt(10).UpdateFrom(0));
  CHECK_FALSE(tracker.IsReady(kStart));
  const TimePoint later = kStart + seconds(3);
  tracker.NoteLink("b-1", true, later);
  // The link to b-1 is up, but b-1 has not reported its revision yet.
  CHECK_FALSE(tracker.IsReady(later));
  tracker.NoteRevision("b-1", 30, later);
  tracker.NoteRevision("a-2", 20, later);
  CHECK_FALSE(tracker.IsReady(later));
  CHECK(tracker.NextPull(later) == std::optional<std::string>("a-2"));
  REQUIRE(core::IsOk(tracker.ApplyUpdate(StateAt(20).UpdateFrom(10))));
  CHECK_FALSE(tracker.IsReady(later));
  CHECK(tracker.NextPull(later) == std::optional<std::string>("b-1"));
  REQUIRE(core::IsOk(tracker.ApplyUpdate(state.UpdateFrom(20))));
  CHECK(tracker.IsReady(later));
  tracker.NoteRevision("b-1", 31, later);
  CHECK(tracker.IsReady(later));
}

TEST_CASE(
    "An instance without reachable peers serves its stored configuration") {
  ConfigurationTracker tracker = MakeTracker("a-1");
  tracker.ApplyUpdate(StateAt(10).UpdateFrom(0));
  CHECK_FALSE(tracker.IsReady(kStart + seconds(1)));
  CHECK(tracker.IsReady(kStart + seconds(2)));
  ConfigurationTracker empty = MakeTracker("a-2");
  CHECK_FALSE(empty.IsReady(kStart + seconds(60)));
}

TEST_CASE("Only the first instance of a zone pulls from another zone at once") {
  ConfigurationTracker first = MakeTracker("a-1");
  ConfigurationTracker third = MakeTracker("a-3");
  for (const char* id : {"a-1", "a-2"}) {
    third.NoteRevision(id, 0, kStart);
  }
  first.NoteRevision("b-1", 5, kStart);
  third.NoteRevision("b-1", 5, kStart);
  CHECK(first.NextPull(kStart) == std::optional<std::string>("b-1"));
  CHECK_FALSE(third.NextPull(kStart).has_value());
  third.NoteRevision("a-1", 5, kStart + milliseconds(100));
  CHECK(third.NextPull(kStart + milliseconds(100)) ==
        std::optional<std::string>("a-1"));
}

TEST_CASE("A pull without a reply goes to another instance") {
  ConfigurationTracker tracker = MakeTracker("a-1");
  tracker.NoteRevision("b-1", 5, kStart);
  tracker.NoteRevision("b-2", 5, kStart);
  const auto first = tracker.NextPull(kStart);
  REQUIRE(first.has_value());
  CHECK_FALSE(tracker.NextPull(kStart + milliseconds(100)).has_value());
  const auto second = tracker.NextPull(kStart + milliseconds(500));
  REQUIRE(second.has_value());
  CHECK(*first != *second);
}

TEST_CASE(
    "Changes that leave a gap are refused and the next pull asks for all") {
  const ControlState state = StateAt(20);
  ConfigurationTracker tracker = MakeTracker("a-1");
  tracker.ApplyUpdate(StateAt(5).UpdateFrom(0));
  CHECK_FALSE(core::IsOk(tracker.ApplyUpdate(state.UpdateFrom(10))));
  CHECK(tracker.revision() == 5);
  CHECK(tracker.pull_revision() == 0);
  REQUIRE(core::IsOk(tracker.ApplyUpdate(state.UpdateFrom(0))));
  CHECK(tracker.revision() == 20);
  CHECK(tracker.pull_revision() == 20);
  // An older configuration that arrives late changes nothing.
  REQUIRE(core::IsOk(tracker.ApplyUpdate(StateAt(3).UpdateFrom(0))));
  CHECK(tracker.revision() == 20);
}

TEST_CASE("Trackers that lose messages never go back and all catch up") {
  int lost = 0;
  int pulls = 0;
  int late = 0;
  CHECK(rc::check([&](uint64_t seed) {
    std::mt19937_64 random(seed);
    const std::vector<std::string> ids = {"a-1", "a-2", "a-3", "b-1", "b-2"};
    std::vector<ConfigurationTracker> trackers;
    for (const std::string& it : ids) {
      trackers.push_back(MakeTracker(it));
    }
    ControlState state;
    std::vector<std::pair<size_t, schema::ConfigurationUpdate>> delayed;
    TimePoint now = kStart;
    constexpr int kSteps = 300;
    constexpr int kFaultlessSteps = 100;
    for (int step = 0; step < kSteps; ++step) {
      const bool is_faultless = step >= kSteps - kFaultlessSteps;
      now += milliseconds(50);
      if (!is_faultless && random() % 4 == 0) {
        state.Apply(PutOrganisation(state.revision(), step, "ana",
                                    "org-" + std::to_string(random() % 4),
                                    1 + random() % 50));
      }
      trackers[0].UpdateFromLocal(state);
      for (size_t i = 0; i < ids.size(); ++i) {
        const uint64_t before = trackers[i].revision();
        const size_t from = random() % ids.size();
        trackers[i].NoteRevision(ids[from], trackers[from].revision(), now);
        const auto target = trackers[i].NextPull(now);
        if (target.has_value()) {
          ++pulls;
          const size_t peer = static_cast<size_t>(
              std::find(ids.begin(), ids.end(), *target) - ids.begin());
          auto update = trackers[peer].UpdateFrom(trackers[i].pull_revision());
          if (!is_faultless && random() % 3 == 0) {
            ++lost;
          } else if (!is_faultless && random() % 3 == 0) {
            ++late;
            delayed.emplace_back(i, std::move(update));
          } else {
            trackers[i].ApplyUpdate(update);
          }
        }
        RC_ASSERT(trackers[i].revision() >= before);
      }
      if (!delayed.empty() && random() % 3 == 0) {
        const size_t i = delayed.front().first;
        const uint64_t before = trackers[i].revision();
        trackers[i].ApplyUpdate(delayed.front().second);
        RC_ASSERT(trackers[i].revision() >= before);
        delayed.erase(delayed.begin());
      }
    }
    for (const ConfigurationTracker& it : trackers) {
      RC_ASSERT(it.current().SerializeAsString() ==
                state.current().SerializeAsString());
    }
  }));
  CHECK(pulls > 1000);
  CHECK(lost > 100);
  CHECK(late > 100);
}

}  // namespace
}  // namespace hawthorn::control

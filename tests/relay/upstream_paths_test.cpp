#include "relay/upstream_paths.h"

#include <catch2/catch.hpp>

namespace hawthorn::relay {
namespace {

using std::chrono::milliseconds;

/// Checks a forwarded path with success until it is direct again; returns how
/// long that takes.
milliseconds TimeToRestore(UpstreamPaths* paths, core::TimePoint* now) {
  const core::TimePoint start = *now;
  while (paths->Of("u1") == UpstreamPath::kForwarded) {
    *now += milliseconds(50);
    for (const std::string& it : paths->TakeDueChecks(*now)) {
      paths->OnDirectCheck(it, true, *now);
    }
  }
  return std::chrono::duration_cast<milliseconds>(*now - start);
}

TEST_CASE("A path is direct until it is set forwarded") {
  UpstreamPaths paths;
  const core::TimePoint now{milliseconds(1000)};
  CHECK(paths.Of("u1") == UpstreamPath::kDirect);
  paths.SetForwarded("u1", now);
  CHECK(paths.Of("u1") == UpstreamPath::kForwarded);
  CHECK(paths.forwarded_count() == 1);
  CHECK(paths.TakeDueChecks(now).empty());
  CHECK(paths.TakeDueChecks(now + UpstreamPaths::kCheckInterval).size() == 1);
  // The result of the first check is still to come.
  CHECK(paths.TakeDueChecks(now + UpstreamPaths::kCheckInterval).empty());
  paths.Remove("u1");
  CHECK(paths.Of("u1") == UpstreamPath::kDirect);
}

TEST_CASE("One failed check begins the probation anew") {
  UpstreamPaths paths;
  core::TimePoint now{milliseconds(1000)};
  paths.SetForwarded("u1", now);
  CHECK_FALSE(paths.OnDirectCheck("u1", true, now));
  now += UpstreamPaths::kFirstProbation - milliseconds(1);
  CHECK_FALSE(paths.OnDirectCheck("u1", false, now));
  now += milliseconds(1);
  CHECK_FALSE(paths.OnDirectCheck("u1", true, now));
  now += UpstreamPaths::kFirstProbation;
  CHECK(paths.OnDirectCheck("u1", true, now));
  CHECK(paths.Of("u1") == UpstreamPath::kDirect);
}

// Each time that a link fails, the calls on it are delayed or lost.
TEST_CASE("A path that flaps is restored later each time") {
  UpstreamPaths paths;
  core::TimePoint now{milliseconds(1000)};
  milliseconds before{0};
  for (int n = 0; n < 4; ++n) {
    paths.SetForwarded("u1", now);
    const milliseconds took = TimeToRestore(&paths, &now);
    CHECK(took > before);
    before = took;
    now += milliseconds(500);
  }
  now += UpstreamPaths::kStableTime;
  paths.SetForwarded("u1", now);
  CHECK(TimeToRestore(&paths, &now) < before);
}

}  // namespace
}  // namespace hawthorn::relay

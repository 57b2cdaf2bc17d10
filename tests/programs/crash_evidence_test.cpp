// What several crashes have in common, and what they have not.
#include "programs/crash_evidence.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace hawthorn::programs {
namespace {

/// A request: its content, its target, and optionally a prefix of its prompt.
struct Run {
  uint64_t content = 0;
  uint64_t target = 0;
  uint64_t prefix = 0;
};

class Crashes {
 public:
  /// An upstream crashes at `at_ms` while it runs `runs`, which were sent
  /// `running_ms` before.
  void Crash(int64_t at_ms, const std::vector<Run>& runs,
             int64_t running_ms = 50) {
    ++incarnation_;
    for (const Run& it : runs) {
      schema::ReportCrash report;
      report.set_fingerprint(it.content);
      report.set_upstream("u");
      report.set_incarnation(incarnation_);
      report.set_target_digest(it.target);
      report.set_target("GET h/" + std::to_string(it.target));
      if (it.prefix != 0) {
        report.add_prefixes(it.prefix);
      }
      report.set_running_ms(running_ms);
      // Several instances report, or one of them twice.
      evidence.Report(report, false, at_ms);
      evidence.Report(report, false, at_ms);
    }
  }
  bool IsRefused(uint64_t digest) const {
    return evidence.refused().contains(digest);
  }

  CrashEvidence evidence;

 private:
  uint64_t incarnation_ = 0;
};

constexpr uint64_t kPoison = 1000;
constexpr uint64_t kInnocent = 2000;

// Guards against a request that crashes its upstreams under a body of its own
// in each program, beside innocent calls that share them.
TEST_CASE("A target that is part of each crash is refused, others are not") {
  Crashes it;
  for (int64_t n = 1; n <= 3; ++n) {
    // One bystander is there twice, others once.
    it.Crash(n * 100, {{static_cast<uint64_t>(n), kPoison},
                       {50, n < 3 ? kInnocent : kInnocent + 1},
                       {static_cast<uint64_t>(60 + n), kInnocent + 10 + n}});
    CHECK(it.IsRefused(kPoison) == (n == 3));
  }
  REQUIRE(it.evidence.refused().size() == 1);
  const auto& [digest, refusal] = *it.evidence.refused().begin();
  CHECK(refusal.kind == CrashEvidence::Kind::kTarget);
  CHECK(refusal.target == "GET h/1000");
  CHECK(refusal.until_ms == 300 + CrashEvidence::kFirstRefusalMs);
}

// Guards against refusing a target that upstreams run well between crashes.
TEST_CASE("A success between the crashes clears a target") {
  Crashes it;
  for (int64_t n = 1; n <= 9; ++n) {
    it.Crash(n * 100, {{static_cast<uint64_t>(n), kInnocent}});
    if (n % 2 == 0) {
      CHECK(it.evidence.Succeeded(kInnocent));
    }
  }
  CHECK(it.evidence.refused().empty());
}

// Guards against refusing what ran when upstreams were killed together or a
// zone was lost: nothing that was sent after one crash was part of the next.
TEST_CASE("Upstreams that end together refuse nothing") {
  Crashes it;
  const int64_t running_ms = GENERATE(500, 1);
  CAPTURE(running_ms);
  for (uint64_t n = 1; n <= 20; ++n) {
    it.Crash(1000 + static_cast<int64_t>(n),
             {{n, kInnocent}, {n + 100, kInnocent + 1}}, running_ms);
  }
  CHECK(it.evidence.refused().empty());
  // Nor what ran at some of the upstreams that are stopped one by one.
  for (uint64_t n = 1; n <= 20; ++n) {
    it.Crash(5000 + static_cast<int64_t>(n) * 100,
             {{n, kInnocent + 5 + n % 2}});
  }
  CHECK(it.evidence.refused().empty());
}

// Guards against refusing a target for a single content, which is refused by
// itself, and for a prompt that only some of its requests share.
TEST_CASE("The finest grain that explains the crashes is refused") {
  Crashes it;
  SECTION("one content") {
    for (int64_t n = 1; n <= 9; ++n) {
      it.Crash(n * 100, {{7, kPoison}});
    }
    CHECK(it.evidence.refused().empty());
  }
  SECTION("a prefix of the prompt") {
    for (int64_t n = 1; n <= 4; ++n) {
      it.Crash(n * 100, {{static_cast<uint64_t>(n), kPoison, 77}});
    }
    CHECK(it.IsRefused(77));
    CHECK_FALSE(it.IsRefused(kPoison));
  }
}

// Guards against innocent requests of a refused target that never come back,
// and against a guilty target that comes back as often.
TEST_CASE("A refusal ends, and a later one lasts longer") {
  Crashes it;
  for (int64_t n = 1; n <= 3; ++n) {
    it.Crash(n * 100, {{static_cast<uint64_t>(n), kPoison}});
  }
  REQUIRE(it.IsRefused(kPoison));
  // A response to a call that was sent before does not clear it.
  CHECK_FALSE(it.evidence.Succeeded(kPoison));
  const int64_t end = 300 + CrashEvidence::kFirstRefusalMs;
  CHECK_FALSE(it.evidence.EndRefusals(end - 1));
  CHECK(it.evidence.EndRefusals(end));
  CHECK_FALSE(it.IsRefused(kPoison));
  SECTION("an innocent one is cleared") {
    CHECK(it.evidence.Succeeded(kPoison));
    it.Crash(end + 100, {{9, kPoison}});
    CHECK_FALSE(it.IsRefused(kPoison));
  }
  SECTION("a guilty one is refused at its next crash, for twice the time") {
    it.Crash(end + 100, {{9, kPoison}});
    REQUIRE(it.IsRefused(kPoison));
    CHECK(it.evidence.refused().at(kPoison).until_ms ==
          end + 100 + 2 * CrashEvidence::kFirstRefusalMs);
    schema::DeploymentSnapshot snapshot;
    it.evidence.Save(&snapshot);
    CrashEvidence restored;
    restored.Load(snapshot);
    CHECK(restored.refused() == it.evidence.refused());
    CHECK(restored.suspected() == it.evidence.suspected());
  }
  SECTION("evidence is dropped at last") {
    it.evidence.Expire(end + 2 * CrashEvidence::kRetentionMs);
    CHECK(it.evidence.suspected().empty());
  }
}

}  // namespace
}  // namespace hawthorn::programs

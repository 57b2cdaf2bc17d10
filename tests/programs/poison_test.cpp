#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "ledger_fixture.h"
#include "programs/fingerprint.h"

namespace hawthorn::programs {
namespace {

using F = LedgerFixture;

TEST_CASE("cosmetic changes keep a request's fingerprint") {
  const uint64_t base = RequestFingerprint(
      R"({"id":"a1","messages":[{"role":"user","text":"quote a gate 2026-12-03 job 4f9c2a7be01d4c55a8 now"}],"n":2})",
      "model-pool");
  REQUIRE(base != 0);
  REQUIRE(base == RequestFingerprint(
                      R"( {"n": 2, "Request-ID": 99, "timestamp": 1796333000,
               "messages":[{"text":"quote  a gate 2026-12-03 job 00ff11aa22bb33cc44 now ","role":"user"}]})",
                      "model-pool"));
  REQUIRE(
      base !=
      RequestFingerprint(
          R"({"messages":[{"role":"user","text":"quote a gate 2026-12-04 job 4f9c2a7be01d4c55a8 now"}],"n":2})",
          "model-pool"));
  REQUIRE(RequestFingerprint("plain text", "a") ==
          RequestFingerprint("  plain\n text", "a"));
  REQUIRE(RequestFingerprint("plain text", "a") !=
          RequestFingerprint("plain text", "b"));
  REQUIRE(RequestFingerprint("order 12345", "a") !=
          RequestFingerprint("order 12346", "a"));
}

TEST_CASE("a request that crashed two upstreams is refused everywhere") {
  LedgerOptions options;
  options.default_idle_expiry_ms = 2 * options.poison_expiry_ms;
  F f(options);
  f.Create(F::Id(1));
  f.Create(F::Id(2));
  f.Crash(7, "engine-1", 1);
  // Another report of the same crash is not counted again.
  REQUIRE(f.Crash(7, "engine-1", 1) == schema::VERDICT_RECORDED);
  REQUIRE(f.Begin(F::Id(1), 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.last.isolate());
  f.Crash(7, "engine-2", 1);
  REQUIRE(f.Begin(F::Id(2), 1, schema::CALL_KIND_MODEL, "entry-9") ==
          schema::VERDICT_POISONOUS);
  REQUIRE(f.last.retry_after_ms() > 0);
  REQUIRE(f.ledger.PoisonEntries().size() == 1);
  REQUIRE(f.ledger.PoisonEntries()[0].condemned());
  const std::string snapshot = f.ledger.Snapshot();
  f.AdvanceTime(f.options.poison_expiry_ms);
  REQUIRE(f.Begin(F::Id(2), 1) == schema::VERDICT_ACCEPTED);
  REQUIRE_FALSE(f.last.isolate());
  REQUIRE(core::IsOk(f.ledger.Restore(snapshot)));
  schema::LedgerCommand clear;
  clear.mutable_clear_poison()->set_fingerprint(7);
  f.Apply(clear);
  REQUIRE(f.ledger.PoisonEntries().empty());
  REQUIRE(f.Begin(F::Id(2), 1) == schema::VERDICT_ACCEPTED);
}

TEST_CASE("requests that crashed together are suspected and not condemned") {
  F f;
  f.Create(F::Id(1));
  for (const char* const engine : {"engine-1", "engine-2", "engine-3"}) {
    f.Crash(7, engine, 5);
    f.Crash(8, engine, 5);
  }
  REQUIRE(f.Begin(F::Id(1), 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.last.isolate());
  // Its success clears it; the other request stays suspected.
  f.Finish(F::Id(1), 1);
  REQUIRE(f.ledger.PoisonEntries().size() == 1);
  REQUIRE(f.ledger.PoisonEntries()[0].fingerprint() == 8);
}

TEST_CASE("condemning a request clears the others of the same crash") {
  F f;
  f.Crash(7, "engine-1", 2);
  f.Crash(8, "engine-1", 2);
  REQUIRE(f.ledger.Stats().suspected == 2);
  f.Crash(7, "engine-2", 1);
  REQUIRE(f.ledger.Stats().condemned == 1);
  REQUIRE(f.ledger.Stats().suspected == 0);
}

TEST_CASE("two requests reported for one crash did not run alone") {
  F f;
  f.Crash(7, "engine-1", 1);
  f.Crash(7, "engine-2", 1);
  REQUIRE(f.ledger.Stats().condemned == 1);
  // Another instance reports a second request on the same upstream.
  f.Crash(8, "engine-2", 1);
  REQUIRE(f.ledger.Stats().condemned == 0);
  REQUIRE(f.ledger.Stats().suspected == 2);
}

TEST_CASE("only the crashing request is condemned, within two crashes") {
  int together = 0;
  int unrelated_total = 0;
  const bool ok = rc::check("condemned within two crashes", [&] {
    PoisonRegister poison;
    const uint64_t crashing = *rc::gen::inRange<uint64_t>(1, 9);
    std::set<uint64_t> waiting;
    for (uint64_t n = 1; n <= 8; ++n) {
      waiting.insert(n);
    }
    int crashes = 0;
    int unrelated_crashes = 0;
    int upstream = 0;
    while (!waiting.empty()) {
      // Clear requests share an upstream; suspected ones run alone.
      std::set<uint64_t> group;
      for (const uint64_t it : waiting) {
        if (poison.StatusOf(it) == PoisonRegister::RequestStatus::kClear &&
            (group.empty() || *rc::gen::arbitrary<bool>())) {
          group.insert(it);
        }
      }
      if (group.empty()) {
        group.insert(*rc::gen::elementOf(waiting));
      }
      together += group.size() > 1 ? 1 : 0;
      // An unrelated crash while a suspected request runs alone cannot be told
      // from a crash by that request, so the test excludes it.
      const bool suspected = poison.StatusOf(*group.begin()) ==
                             PoisonRegister::RequestStatus::kSuspected;
      const bool crashes_unrelated =
          unrelated_crashes == 0 && !suspected && *rc::gen::arbitrary<bool>();
      if (!group.contains(crashing) && !crashes_unrelated) {
        for (const uint64_t it : group) {
          poison.Succeeded(it);
          waiting.erase(it);
        }
        continue;
      }
      crashes += group.contains(crashing) ? 1 : 0;
      unrelated_crashes += group.contains(crashing) ? 0 : 1;
      unrelated_total += group.contains(crashing) ? 0 : 1;
      ++upstream;
      for (const uint64_t it : group) {
        schema::ReportCrash report;
        report.set_fingerprint(it);
        report.set_upstream("engine-" + std::to_string(upstream));
        report.set_running_together(static_cast<uint32_t>(group.size()));
        poison.Report(report, 1000);
        if (poison.StatusOf(it) == PoisonRegister::RequestStatus::kCondemned) {
          RC_ASSERT(it == crashing);
          waiting.erase(it);
        }
      }
      RC_ASSERT(crashes <= 2);
    }
  });
  REQUIRE(ok);
  REQUIRE(together > 0);
  REQUIRE(unrelated_total > 0);
}

}  // namespace
}  // namespace hawthorn::programs

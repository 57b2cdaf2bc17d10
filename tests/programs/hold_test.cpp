#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

#include "ledger_fixture.h"

namespace hawthorn::programs {
namespace {

using F = LedgerFixture;
const std::string kId = F::Id(1);

schema::Verdict Event(F* f, uint64_t sequence, const std::string& dropped,
                      uint64_t incarnation = 0) {
  schema::LedgerCommand command;
  schema::CacheEvent* const event = command.mutable_cache_event();
  event->set_upstream("engine-1");
  event->set_sequence(sequence);
  event->set_dropped_hold(dropped);
  event->set_incarnation(incarnation);
  return f->Apply(command).verdict();
}

schema::Verdict Listing(F* f, uint64_t sequence,
                        const std::vector<std::string>& holds,
                        uint64_t incarnation = 0) {
  schema::LedgerCommand command;
  schema::ReconcileHolds* const listing = command.mutable_reconcile_holds();
  listing->set_upstream("engine-1");
  listing->set_sequence(sequence);
  listing->set_incarnation(incarnation);
  listing->mutable_holds()->Add(holds.begin(), holds.end());
  return f->Apply(command).verdict();
}

TEST_CASE("holds of an ended program stay listed until the engine confirms") {
  F f;
  f.Create(kId);
  REQUIRE(f.Hold(kId, "h1") == schema::VERDICT_ACCEPTED);
  REQUIRE(f.Hold(kId, "h1") == schema::VERDICT_ACCEPTED);
  REQUIRE(f.ledger.HoldsOf("quetzal", kId).size() == 1);
  f.End(kId);
  REQUIRE(f.ledger.HoldsOf("quetzal", kId).empty());
  // The engine's reply to the release is lost; a replica restored from the
  // snapshot still lists the hold for release.
  core::Status restored = f.ledger.Restore(f.ledger.Snapshot());
  REQUIRE(core::IsOk(restored));
  REQUIRE(f.ledger.HoldsToRelease().size() == 1);
  REQUIRE(f.Release("h1") == schema::VERDICT_ACCEPTED);
  REQUIRE(f.Release("h1") == schema::VERDICT_RECORDED);
  REQUIRE(f.ledger.HoldsToRelease().empty());
  // A hold acquired for an ended program is listed for release.
  REQUIRE(f.Hold(kId, "h2") == schema::VERDICT_ENDED);
  REQUIRE(f.ledger.HoldsToRelease().size() == 1);
}

TEST_CASE("a hold ends with its lease unless it is renewed") {
  F f;
  f.Create(kId);
  f.Create(F::Id(2));
  f.Hold(kId, "h1", 1000);
  f.Hold(kId, "h2", 1000);
  f.AdvanceTime(500);
  f.Hold(kId, "h2", 1000);
  REQUIRE(f.Hold(F::Id(2), "h2") == schema::VERDICT_CONFLICT);
  f.AdvanceTime(500);
  REQUIRE(f.ledger.HoldsToRelease().size() == 1);
  REQUIRE(f.ledger.HoldsToRelease()[0].hold() == "h1");
  REQUIRE(f.Hold(kId, "h1") == schema::VERDICT_EXPIRED);
  REQUIRE(f.ledger.HoldsOf("quetzal", kId).size() == 1);
}

TEST_CASE("a gap in the cache events asks for the engine's listing") {
  F f;
  f.Create(kId);
  f.Hold(kId, "h1", 60'000, 1);
  f.Hold(kId, "h2", 60'000, 2);
  REQUIRE(Event(&f, 1, "") == schema::VERDICT_ACCEPTED);
  REQUIRE(Event(&f, 2, "h1") == schema::VERDICT_ACCEPTED);
  REQUIRE(f.ledger.HoldsOf("quetzal", kId).size() == 1);
  REQUIRE(Event(&f, 2, "h2") == schema::VERDICT_STALE);
  REQUIRE(Event(&f, 4, "") == schema::VERDICT_OUT_OF_ORDER);
  REQUIRE(f.last.reconcile());
  REQUIRE(Event(&f, 3, "") == schema::VERDICT_OUT_OF_ORDER);
  REQUIRE(f.ledger.UpstreamsToReconcile().size() == 1);
  f.Hold(kId, "h3", 60'000, 6);
  REQUIRE(Listing(&f, 5, {"unknown"}) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.ledger.UpstreamsToReconcile().empty());
  // h2 is not listed and is removed, h3 is newer than the listing, and the
  // unknown hold is marked for release.
  REQUIRE(f.ledger.HoldsOf("quetzal", kId).size() == 1);
  REQUIRE(f.ledger.HoldsOf("quetzal", kId)[0].hold() == "h3");
  REQUIRE(f.ledger.HoldsToRelease()[0].hold() == "unknown");
  REQUIRE(Listing(&f, 4, {}) == schema::VERDICT_STALE);
  REQUIRE(Event(&f, 6, "") == schema::VERDICT_ACCEPTED);
}

TEST_CASE("a restarted engine holds only what it lists") {
  F f;
  f.Create(kId);
  f.Hold(kId, "h1", 60'000, 9);
  REQUIRE(Event(&f, 1, "", 1) == schema::VERDICT_OUT_OF_ORDER);
  REQUIRE(Listing(&f, 0, {}, 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.ledger.HoldsOf("quetzal", kId).empty());
  f.Hold(kId, "h2");
  schema::LedgerCommand command;
  command.mutable_upstream_lost()->set_upstream("engine-1");
  f.Apply(command);
  REQUIRE(f.ledger.HoldsOf("quetzal", kId).empty());
  REQUIRE(f.ledger.HoldsToRelease().empty());
}

/// An engine that keeps each hold until it is told to release it.
struct FakeEngine {
  std::map<std::string, std::string> owners;
  int lost_replies = 0;
};

TEST_CASE("once all releases are done only running programs have holds") {
  int ended_programs = 0;
  int lost_replies = 0;
  const bool ok = rc::check("holds match running programs", [&] {
    F f;
    FakeEngine engine;
    for (int n = 0; n < 4; ++n) {
      f.Create(F::Id(n));
    }
    int holds = 0;
    for (const int step :
         *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 600))) {
      const std::string id = F::Id(step / 6 % 4);
      switch (step % 6) {
        case 0:
        case 1: {
          // The engine creates the hold first; the program may end before the
          // ledger records it.
          const std::string hold = "h" + std::to_string(holds++);
          engine.owners[hold] = id;
          if (step % 5 == 0) {
            f.End(id);
            ++ended_programs;
          }
          f.Hold(id, hold, 1 + step % 7 * 1000);
          break;
        }
        case 2:
          f.End(id);
          ++ended_programs;
          break;
        case 3:
          f.AdvanceTime(step * 10);
          break;
        case 4:
          for (const schema::Hold& it : f.ledger.HoldsToRelease()) {
            engine.owners.erase(it.hold());
            if (step % 5 == 0) {
              ++lost_replies;
              continue;
            }
            f.Release(it.hold());
          }
          break;
        default:
          RC_ASSERT(core::IsOk(f.ledger.Restore(f.ledger.Snapshot())));
      }
    }
    while (!f.ledger.HoldsToRelease().empty()) {
      const std::string hold = f.ledger.HoldsToRelease()[0].hold();
      engine.owners.erase(hold);
      f.Release(hold);
    }
    size_t active_holds = 0;
    for (int n = 0; n < 4; ++n) {
      const auto program_holds = f.ledger.HoldsOf("quetzal", F::Id(n));
      const bool runs =
          f.Summary(F::Id(n)).state() == schema::PROGRAM_STATE_RUNNING;
      const bool allowed = program_holds.empty() || runs;
      RC_ASSERT(allowed);
      active_holds += program_holds.size();
    }
    RC_ASSERT(f.ledger.Stats().held.holds == active_holds);
    RC_ASSERT(engine.owners.size() == active_holds);
  });
  REQUIRE(ok);
  REQUIRE(ended_programs > 0);
  REQUIRE(lost_replies > 0);
}

}  // namespace
}  // namespace hawthorn::programs

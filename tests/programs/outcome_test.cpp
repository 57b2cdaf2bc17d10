#include <catch2/catch.hpp>

#include "ledger_fixture.h"

// The rows of the outcome table in docs/design/programs.md.
namespace hawthorn::programs {
namespace {

using F = LedgerFixture;
constexpr auto kBooking = schema::CALL_KIND_NON_IDEMPOTENT;

TEST_CASE("outcome row 1 a finished call ran") {
  F f;
  f.Create(F::Id(1));
  f.Run(F::Id(1), 1, kBooking);
  REQUIRE(f.ledger.Outcome("quetzal", F::Id(1), 1)->outcome() ==
          schema::OUTCOME_RAN);
}

TEST_CASE("outcome row 5 a lost owner leaves a booking unknown at once") {
  F f;
  f.Create(F::Id(1));
  f.Begin(F::Id(1), 1, kBooking);
  f.LoseOwner();
  REQUIRE(f.ledger.Outcome("quetzal", F::Id(1), 1)->outcome() ==
          schema::OUTCOME_UNKNOWN);
  REQUIRE(f.Begin(F::Id(1), 1, kBooking, "entry-2") ==
          schema::VERDICT_RECORDED);
  // The late answer of the lost owner changes nothing.
  REQUIRE(f.Finish(F::Id(1), 1) == schema::VERDICT_STALE);
  REQUIRE(f.last.recorded().outcome() == schema::OUTCOME_UNKNOWN);
}

}  // namespace
}  // namespace hawthorn::programs

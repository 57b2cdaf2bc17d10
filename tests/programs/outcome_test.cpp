#include <catch2/catch.hpp>

#include "ledger_fixture.h"

// The rows of the outcome table in docs/design/programs.md.
namespace hawthorn::programs {
namespace {

using F = LedgerFixture;
constexpr auto kModel = schema::CALL_KIND_MODEL;
constexpr auto kBooking = schema::CALL_KIND_NON_IDEMPOTENT;
const std::string kId = F::Id(1);

schema::Outcome OutcomeAt(const F& f, uint32_t number = 1) {
  const auto outcome = f.ledger.Outcome("quetzal", kId, number);
  return outcome ? outcome->outcome() : schema::OUTCOME_UNSPECIFIED;
}

TEST_CASE("outcome row 1 a finished call ran") {
  F f;
  f.Create(kId);
  f.Run(kId, 1, kBooking);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_RAN);
  REQUIRE(f.Summary(kId).used().tokens() == 5);
}

TEST_CASE("outcome row 2 a call refused before its intent was not run") {
  F f;
  f.Create(kId);
  f.Pause(kId, 1000);
  REQUIRE(f.Begin(kId, 1, kBooking) == schema::VERDICT_PAUSED);
  f.Unpause(kId);
  REQUIRE(f.Begin(kId, 2, kBooking) == schema::VERDICT_OUT_OF_ORDER);
  schema::BeginCall incomplete = F::MakeBegin(kId, 1, kBooking);
  incomplete.set_intent(0);
  REQUIRE(f.Begin(incomplete) == schema::VERDICT_INVALID);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_UNSPECIFIED);
  // The number of a refused call can be used again.
  REQUIRE(f.Begin(kId, 1, kBooking) == schema::VERDICT_ACCEPTED);
}

TEST_CASE("outcome row 3 a call that was never sent was not run") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1, kBooking);
  f.Finish(kId, 1, 1, schema::OUTCOME_NOT_RUN, 0);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_NOT_RUN);
  REQUIRE(f.Summary(kId).used().tokens() == 0);
  REQUIRE(f.Summary(kId).history_tokens() == 0);
  // The number is used: a resend gets the recorded outcome and runs nothing.
  REQUIRE(f.Begin(kId, 1, kBooking, "entry-2") == schema::VERDICT_RECORDED);
  REQUIRE(f.Begin(kId, 2, kBooking) == schema::VERDICT_ACCEPTED);
}

TEST_CASE(
    "outcome row 4 not run after an attempt that may have run is unknown") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1);
  REQUIRE(f.Retry(kId, 1, 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.last.attempt() == 2);
  f.Finish(kId, 1, 2, schema::OUTCOME_NOT_RUN, 0);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_UNKNOWN);
}

TEST_CASE("outcome row 5 a lost owner leaves a booking unknown at once") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1, kBooking);
  f.LoseOwner();
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_UNKNOWN);
  REQUIRE(f.Begin(kId, 1, kBooking, "entry-2") == schema::VERDICT_RECORDED);
  REQUIRE(f.Finish(kId, 1) == schema::VERDICT_STALE);
  REQUIRE(f.last.recorded().outcome() == schema::OUTCOME_UNKNOWN);
  // The whole reservation of the lost call counts as used.
  REQUIRE(f.Summary(kId).used().tokens() == 10);
}

TEST_CASE("outcome row 6 a lost owner of a model call is replaced") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1);
  f.LoseOwner();
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_UNSPECIFIED);
  REQUIRE(f.ledger.OpenCallsOf("").size() == 1);
  REQUIRE(f.Begin(kId, 1, kModel, "entry-2") == schema::VERDICT_ACCEPTED);
  REQUIRE(f.last.attempt() == 2);
  REQUIRE(f.ledger.OpenCallsOf("entry-2").size() == 1);
  REQUIRE(f.Finish(kId, 1, 1) == schema::VERDICT_STALE);
  REQUIRE(f.Finish(kId, 1, 2) == schema::VERDICT_ACCEPTED);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_RAN);
  REQUIRE(f.Summary(kId).used().tokens() == 15);
}

TEST_CASE("outcome row 7 a lost owner of the last attempt leaves unknown") {
  LedgerOptions options;
  options.max_attempts = 2;
  F f(options);
  f.Create(kId);
  f.Begin(kId, 1);
  f.Retry(kId, 1, 1, schema::OUTCOME_NOT_RUN, "entry-1");
  f.LoseOwner();
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_UNKNOWN);
}

TEST_CASE("outcome row 8 a booking is never retried") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1, kBooking);
  REQUIRE(f.Retry(kId, 1, 1) == schema::VERDICT_RETRIES_EXHAUSTED);
  REQUIRE(f.last.recorded().outcome() == schema::OUTCOME_UNKNOWN);
  f.Begin(kId, 2, kBooking);
  REQUIRE(f.Retry(kId, 2, 1, schema::OUTCOME_NOT_RUN) ==
          schema::VERDICT_RETRIES_EXHAUSTED);
  REQUIRE(f.last.recorded().outcome() == schema::OUTCOME_NOT_RUN);
}

TEST_CASE("outcome row 9 attempts that all never ran end as not run") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1);
  for (uint32_t attempt = 1; attempt < f.options.max_attempts; ++attempt) {
    REQUIRE(f.Retry(kId, 1, attempt, schema::OUTCOME_NOT_RUN) ==
            schema::VERDICT_ACCEPTED);
  }
  REQUIRE(f.Retry(kId, 1, f.options.max_attempts, schema::OUTCOME_NOT_RUN) ==
          schema::VERDICT_RETRIES_EXHAUSTED);
  REQUIRE(f.last.recorded().outcome() == schema::OUTCOME_NOT_RUN);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_NOT_RUN);
}

TEST_CASE("outcome row 10 a call found poisonous ends at once as unknown") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1);
  f.Crash(7, "engine-1", 1);
  REQUIRE(f.Retry(kId, 1, 1) == schema::VERDICT_ACCEPTED);
  f.Crash(7, "engine-2", 1);
  REQUIRE(f.Retry(kId, 1, 2) == schema::VERDICT_POISONOUS);
  REQUIRE(f.last.recorded().error_code() == "poisonous");
  REQUIRE(f.last.retry_after_ms() > 0);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_UNKNOWN);
}

TEST_CASE("outcome row 11 a retry without budget ends the call as unknown") {
  F f;
  schema::CreateProgram create = F::MakeCreate(kId);
  create.mutable_budget()->set_tokens(15);
  f.Create(create);
  f.Begin(kId, 1);
  f.LoseOwner();
  // The lost attempt is charged 10 tokens, so another 10 exceed the budget.
  REQUIRE(f.Begin(kId, 1, kModel, "entry-2") == schema::VERDICT_BUDGET);
  REQUIRE(f.last.recorded().outcome() == schema::OUTCOME_UNKNOWN);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_UNKNOWN);
  REQUIRE(f.Summary(kId).used().tokens() == 10);
}

TEST_CASE("outcome row 12 a call in flight at the end gets its true outcome") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1, kBooking);
  f.End(kId);
  REQUIRE(f.last.ended(0).owner() == "entry-1");
  REQUIRE(f.last.ended(0).open_call() == 1);
  REQUIRE(f.Finish(kId, 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_RAN);
  REQUIRE(f.Begin(kId, 2) == schema::VERDICT_ENDED);
}

TEST_CASE("outcome row 13 an orphaned call of an ended program is unknown") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1);
  f.LoseOwner();
  f.End(kId);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_UNKNOWN);
  REQUIRE(f.ledger.OpenCallsOf("").empty());
}

TEST_CASE("outcome row 14 an owner lost after the end leaves unknown") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1);
  f.End(kId);
  f.LoseOwner();
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_UNKNOWN);
}

TEST_CASE(
    "outcome row 15 the late answer of a lost owner counts before a retry") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1);
  f.LoseOwner();
  REQUIRE(f.Finish(kId, 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(OutcomeAt(f) == schema::OUTCOME_RAN);
}

TEST_CASE("outcome row 16 late duplicate and misrouted answers are ignored") {
  F f;
  f.Create(kId);
  f.Create(F::Id(2));
  f.Run(kId, 1, kBooking);
  f.Begin(kId, 2);
  f.Begin(F::Id(2), 1);
  const std::string before = f.ledger.Snapshot();
  REQUIRE(f.Finish(kId, 1, 1, schema::OUTCOME_UNKNOWN) ==
          schema::VERDICT_STALE);
  REQUIRE(f.Finish(kId, 2, 2) == schema::VERDICT_STALE);
  REQUIRE(f.Finish(kId, 3, 1) == schema::VERDICT_STALE);
  REQUIRE(f.Finish(F::Id(2), 2, 1) == schema::VERDICT_STALE);
  REQUIRE(f.ledger.Snapshot() == before);
}

TEST_CASE("outcome row 17 an outcome reported again gets the recorded one") {
  F f;
  f.Create(kId);
  f.Run(kId, 1, kBooking);
  const std::string before = f.ledger.Snapshot();
  REQUIRE(f.Finish(kId, 1) == schema::VERDICT_RECORDED);
  REQUIRE(f.last.recorded().answer() == "answer 1");
  REQUIRE(f.ledger.Snapshot() == before);
}

TEST_CASE("outcome row 18 a proposal whose reply was lost keeps its attempt") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1);
  REQUIRE(f.Begin(kId, 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.last.attempt() == 1);
  f.Retry(kId, 1, 1);
  REQUIRE(f.Retry(kId, 1, 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.last.attempt() == 2);
  // Another instance that reports the same failed attempt is refused.
  REQUIRE(f.Retry(kId, 1, 1, schema::OUTCOME_UNKNOWN, "entry-3") ==
          schema::VERDICT_STALE);
}

TEST_CASE("outcome row 19 a pruned program cannot run an old call again") {
  F f;
  f.Create(kId);
  f.Run(kId, 1, kBooking);
  f.End(kId);
  REQUIRE(f.Create(kId) == schema::VERDICT_ENDED);
  f.AdvanceTime(f.options.history_retention_ms);
  REQUIRE(f.Begin(kId, 1, kBooking) == schema::VERDICT_RECORDED);
  f.AdvanceTime(f.options.retention_ms + 1);
  REQUIRE(f.ledger.Stats().programs == 0);
  REQUIRE(f.Begin(kId, 1, kBooking) == schema::VERDICT_NOT_FOUND);
  REQUIRE(f.Create(kId) == schema::VERDICT_EXPIRED);
}

}  // namespace
}  // namespace hawthorn::programs

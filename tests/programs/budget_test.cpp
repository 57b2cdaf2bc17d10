#include <catch2/catch.hpp>

#include "ledger_fixture.h"

namespace hawthorn::programs {
namespace {

using F = LedgerFixture;
const std::string kParent = F::Id(1);

schema::CreateProgram WithTokens(const std::string& id, int64_t tokens,
                                 const std::string& parent = "") {
  schema::CreateProgram create = F::MakeCreate(id, parent);
  create.mutable_budget()->set_tokens(tokens);
  return create;
}

schema::Verdict Grant(F* f, const std::string& id, int64_t tokens,
                      int64_t day) {
  schema::LedgerCommand command;
  schema::GrantSlice* const grant = command.mutable_grant_slice();
  grant->set_organisation("quetzal");
  grant->set_grant(id);
  grant->set_tokens(tokens);
  grant->set_day(day);
  return f->Apply(command).verdict();
}

TEST_CASE("a looping program ends at its budget and names it as the reason") {
  F f;
  schema::CreateProgram create = F::MakeCreate(kParent);
  create.mutable_budget()->set_turns(3);
  f.Create(create);
  uint32_t number = 1;
  while (f.Begin(kParent, number) == schema::VERDICT_ACCEPTED) {
    f.Finish(kParent, number++);
  }
  REQUIRE(number == 4);
  REQUIRE(f.last.verdict() == schema::VERDICT_BUDGET);
  REQUIRE(f.last.ended(0).reason() == "budget of turns spent: 3 of 3");
  REQUIRE(f.Begin(kParent, 4) == schema::VERDICT_ENDED);
  REQUIRE(f.last.message() == "budget of turns spent: 3 of 3");
}

TEST_CASE("a reservation that does not fit is refused and ends nothing") {
  F f;
  f.Create(WithTokens(kParent, 25));
  f.Run(kParent, 1);
  schema::BeginCall begin = F::MakeBegin(kParent, 2, schema::CALL_KIND_MODEL);
  begin.set_reserve_tokens(21);
  REQUIRE(f.Begin(begin) == schema::VERDICT_BUDGET);
  REQUIRE(f.Summary(kParent).state() == schema::PROGRAM_STATE_RUNNING);
  begin.set_reserve_tokens(20);
  REQUIRE(f.Begin(begin) == schema::VERDICT_ACCEPTED);
}

TEST_CASE("use above the reservation is recorded and blocks the next call") {
  F f;
  f.Create(WithTokens(kParent, 20));
  f.Begin(kParent, 1);
  f.Finish(kParent, 1, 1, schema::OUTCOME_RAN, 30);
  REQUIRE(f.Summary(kParent).used().tokens() == 30);
  REQUIRE(f.Begin(kParent, 2) == schema::VERDICT_BUDGET);
  REQUIRE(f.Summary(kParent).state() == schema::PROGRAM_STATE_ENDED);
}

TEST_CASE("sub-agents' budgets are carved out of the parent's and returned") {
  F f;
  f.Create(WithTokens(kParent, 40));
  REQUIRE(f.Create(WithTokens(F::Id(2), 15, kParent)) ==
          schema::VERDICT_ACCEPTED);
  REQUIRE(f.Create(WithTokens(F::Id(3), 15, kParent)) ==
          schema::VERDICT_ACCEPTED);
  REQUIRE(f.Create(WithTokens(F::Id(4), 15, kParent)) ==
          schema::VERDICT_BUDGET);
  REQUIRE(f.Create(F::MakeCreate(F::Id(5), kParent)) == schema::VERDICT_BUDGET);
  REQUIRE(f.Begin(kParent, 1) == schema::VERDICT_ACCEPTED);
  f.Run(F::Id(2), 1);
  REQUIRE(f.Begin(F::Id(3), 1) == schema::VERDICT_ACCEPTED);
  f.End(F::Id(2));
  REQUIRE(f.Summary(kParent).used().tokens() == 5);
  // A sub-agent with a call in flight keeps its budget until the outcome.
  f.End(F::Id(3));
  REQUIRE(f.Summary(kParent).reserved().tokens() == 10 + 15);
  f.Finish(F::Id(3), 1);
  REQUIRE(f.Summary(kParent).used().tokens() == 10);
  REQUIRE(f.Summary(kParent).reserved().tokens() == 10);
  REQUIRE(f.Summary(kParent).attained_tokens() == 10);
}

TEST_CASE("a sub-agent's overdraft is charged to its parent at once") {
  F f;
  f.Create(WithTokens(kParent, 40));
  f.Create(WithTokens(F::Id(2), 20, kParent));
  f.Begin(F::Id(2), 1);
  f.Finish(F::Id(2), 1, 1, schema::OUTCOME_RAN, 35);
  REQUIRE(f.Begin(kParent, 1) == schema::VERDICT_BUDGET);
  f.End(F::Id(2));
  REQUIRE(f.Summary(kParent).used().tokens() == 35);
  REQUIRE(f.Summary(kParent).reserved().tokens() == 0);
}

TEST_CASE("wall time ends a program and its sub-agents") {
  F f;
  schema::CreateProgram create = F::MakeCreate(kParent);
  create.mutable_budget()->set_wall_ms(1000);
  f.Create(create);
  f.Create(F::MakeCreate(F::Id(2), kParent));
  REQUIRE(f.AdvanceTime(999).ended_size() == 0);
  f.AdvanceTime(1);
  REQUIRE(f.last.ended_size() == 2);
  REQUIRE(f.Summary(kParent).reason() == "budget of wall time spent: 1000 ms");
  REQUIRE(f.Summary(F::Id(2)).state() == schema::PROGRAM_STATE_ENDED);
}

TEST_CASE("a zone spends its slices of an organisation and no more") {
  F f;
  const int64_t today = F::kStartMs / kDayMs;
  f.Create(kParent);
  schema::BeginCall begin = F::MakeBegin(kParent, 1, schema::CALL_KIND_MODEL);
  begin.set_limited_tokens(true);
  REQUIRE(f.Begin(begin) == schema::VERDICT_ORGANISATION_LIMIT);
  REQUIRE(f.last.retry_after_ms() > 0);
  REQUIRE(Grant(&f, "slice-1", 12, today) == schema::VERDICT_ACCEPTED);
  REQUIRE(Grant(&f, "slice-1", 12, today) == schema::VERDICT_RECORDED);
  REQUIRE(Grant(&f, "slice-0", 12, today - 1) == schema::VERDICT_EXPIRED);
  REQUIRE(Grant(&f, "slice-9", 12, today + 1) == schema::VERDICT_INVALID);
  REQUIRE(f.Begin(begin) == schema::VERDICT_ACCEPTED);
  f.Finish(kParent, 1);
  begin.set_number(2);
  REQUIRE(f.Begin(begin) == schema::VERDICT_ORGANISATION_LIMIT);
  REQUIRE(f.Summary(kParent).reserved().tokens() == 0);
  // Slices of the previous day no longer count.
  f.AdvanceTime(kDayMs);
  REQUIRE(Grant(&f, "slice-2", 10, today + 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.ledger.SlicesOf("quetzal").granted_tokens() == 10);
}

}  // namespace
}  // namespace hawthorn::programs

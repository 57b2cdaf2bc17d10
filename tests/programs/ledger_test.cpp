#include "programs/ledger.h"

#include <catch2/catch.hpp>
#include <string>

#include "ledger_fixture.h"

namespace hawthorn::programs {
namespace {

using F = LedgerFixture;

TEST_CASE("program ids carry zone and creation time") {
  const ProgramId id{"gt-central-a", 1234, "abcdef0123"};
  REQUIRE(core::Value(ParseProgramId(ToString(id))) == id);
  for (const char* const text :
       {"", "a.1", "a.1.abcdefgh.x", "a.-1.abcdefgh", "a.01.abcdefgh",
        ".1.abcdefgh", "a.1.short", "a b.1.abcdefgh"}) {
    CAPTURE(text);
    REQUIRE_FALSE(core::IsOk(ParseProgramId(text)));
  }
  REQUIRE_FALSE(core::IsOk(
      ParseProgramId("a.1." + std::string(kMaxProgramIdBytes, 'x'))));
}

TEST_CASE("calls run in the order of their numbers") {
  F f;
  f.Create(F::Id(1));
  REQUIRE(f.Begin(F::Id(1), 2) == schema::VERDICT_OUT_OF_ORDER);
  REQUIRE(f.Begin(F::Id(1), 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.Begin(F::Id(1), 2) == schema::VERDICT_OUT_OF_ORDER);
  REQUIRE(f.Finish(F::Id(1), 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.Begin(F::Id(1), 2) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.last.history_tokens() > 0);
  REQUIRE(f.last.attained_tokens() == 5);
  // Only committed outcomes are part of the history.
  const auto history = f.ledger.History("quetzal", F::Id(1));
  REQUIRE(history.size() == 1);
  REQUIRE(history[0].messages() == "question 1");
  REQUIRE(history[0].recorded().answer() == "answer 1");
}

TEST_CASE("a resent call joins the open one or gets the recorded answer") {
  F f;
  f.Create(F::Id(1));
  f.Begin(F::Id(1), 1);
  schema::BeginCall other = F::MakeBegin(F::Id(1), 1, schema::CALL_KIND_MODEL);
  other.set_messages("something else");
  REQUIRE(f.Begin(F::Id(1), 1, schema::CALL_KIND_MODEL, "entry-2") ==
          schema::VERDICT_JOIN);
  REQUIRE(f.Begin(other) == schema::VERDICT_CONFLICT);
  // If the owner proposes its command again, it gets the same reply.
  REQUIRE(f.Begin(F::Id(1), 1) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.last.attempt() == 1);
  f.Finish(F::Id(1), 1);
  REQUIRE(f.Begin(F::Id(1), 1, schema::CALL_KIND_MODEL, "entry-2") ==
          schema::VERDICT_RECORDED);
  REQUIRE(f.last.recorded().answer() == "answer 1");
  REQUIRE(f.Begin(other) == schema::VERDICT_CONFLICT);
}

TEST_CASE("another organisation can neither see nor change a program") {
  F f;
  f.Create(F::Id(1));
  f.Run(F::Id(1), 1);
  schema::BeginCall foreign =
      F::MakeBegin(F::Id(1), 2, schema::CALL_KIND_MODEL);
  foreign.set_organisation("peachtree");
  const std::string before = f.ledger.Snapshot();
  f.Begin(foreign);
  const schema::LedgerReply foreign_reply = f.last;
  foreign.set_program(F::Id(99));
  f.Begin(foreign);
  REQUIRE(foreign_reply.verdict() == schema::VERDICT_NOT_FOUND);
  REQUIRE(foreign_reply.SerializeAsString() == f.last.SerializeAsString());
  REQUIRE_FALSE(f.ledger.Find("peachtree", F::Id(1)).has_value());
  REQUIRE(f.ledger.History("peachtree", F::Id(1)).empty());
  REQUIRE(f.ledger.List("peachtree", 10).empty());
  REQUIRE(f.ledger.Snapshot() == before);
  // The same id in two organisations names two programs.
  schema::CreateProgram create = F::MakeCreate(F::Id(1));
  create.set_organisation("peachtree");
  REQUIRE(f.Create(create) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.ledger.History("peachtree", F::Id(1)).empty());
}

TEST_CASE("creating a program again is idempotent") {
  F f;
  schema::CreateProgram create = F::MakeCreate(F::Id(1));
  REQUIRE(f.Create(create) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.Create(create) == schema::VERDICT_ACCEPTED);
  create.mutable_budget()->set_turns(3);
  REQUIRE(f.Create(create) == schema::VERDICT_CONFLICT);
  REQUIRE(f.ledger.Stats().programs == 1);
}

}  // namespace
}  // namespace hawthorn::programs

#include <catch2/catch.hpp>

#include "ledger_fixture.h"

namespace hawthorn::programs {
namespace {

using F = LedgerFixture;
const std::string kId = F::Id(1);

TEST_CASE("a tool timeout ends a program whose timeout action is fail") {
  F f;
  schema::CreateProgram create = F::MakeCreate(kId);
  create.set_on_tool_timeout(schema::TOOL_TIMEOUT_ACTION_FAIL);
  f.Create(create);
  f.Pause(kId, 1000);
  f.AdvanceTime(1000);
  REQUIRE(f.last.ended(0).reason() ==
          "tool calendar did not answer before its deadline");
}

TEST_CASE(
    "a tool timeout adds an error message if the timeout action is continue") {
  F f;
  schema::CreateProgram create = F::MakeCreate(kId);
  create.set_on_tool_timeout(schema::TOOL_TIMEOUT_ACTION_CONTINUE);
  f.Create(create);
  f.Run(kId, 1);
  f.Pause(kId, 1000, 1);
  REQUIRE(f.Summary(kId).state() == schema::PROGRAM_STATE_PAUSED);
  f.AdvanceTime(1000);
  REQUIRE(f.Summary(kId).state() == schema::PROGRAM_STATE_RUNNING);
  REQUIRE(f.Unpause(kId, 1) == schema::VERDICT_STALE);
  REQUIRE(f.Pause(kId, 500, 1) == schema::VERDICT_STALE);
  f.Run(kId, 2);
  const auto history = f.ledger.History("quetzal", kId);
  REQUIRE(history.size() == 3);
  REQUIRE(history[1].ledger_message() ==
          "tool calendar did not answer before its deadline");
  REQUIRE(f.ledger.History("quetzal", kId, 2).size() == 1);
}

TEST_CASE("a pause is refused while a call is in flight") {
  F f;
  f.Create(kId);
  f.Begin(kId, 1);
  REQUIRE(f.Pause(kId, 1000) == schema::VERDICT_OUT_OF_ORDER);
  f.Finish(kId, 1);
  REQUIRE(f.Pause(kId, 1000) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.Pause(kId, 1000) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.Pause(kId, 2000) == schema::VERDICT_CONFLICT);
  REQUIRE(f.Unpause(kId) == schema::VERDICT_ACCEPTED);
}

TEST_CASE("a program without calls expires after its idle time") {
  F f;
  schema::CreateProgram create = F::MakeCreate(kId);
  create.set_idle_expiry_ms(1000);
  f.Create(create);
  f.AdvanceTime(900);
  f.Begin(kId, 1);
  // The program is not idle while a call is in flight.
  f.AdvanceTime(5000);
  REQUIRE(f.Summary(kId).state() == schema::PROGRAM_STATE_RUNNING);
  f.Finish(kId, 1);
  f.AdvanceTime(999);
  REQUIRE(f.Summary(kId).state() == schema::PROGRAM_STATE_RUNNING);
  f.AdvanceTime(1);
  REQUIRE(f.Summary(kId).reason() ==
          "expired: no call and no tool for too long");
}

TEST_CASE("an orphaned call that is not resent expires with its program") {
  F f;
  schema::CreateProgram create = F::MakeCreate(kId);
  create.set_idle_expiry_ms(1000);
  f.Create(create);
  f.Begin(kId, 1);
  f.LoseOwner();
  f.AdvanceTime(1000);
  REQUIRE(f.Summary(kId).state() == schema::PROGRAM_STATE_ENDED);
  REQUIRE(f.ledger.Outcome("quetzal", kId, 1)->outcome() ==
          schema::OUTCOME_UNKNOWN);
}

TEST_CASE("ending a parent ends its children") {
  F f;
  f.Create(kId);
  f.Create(F::MakeCreate(F::Id(2), kId));
  f.Create(F::MakeCreate(F::Id(3), F::Id(2)));
  f.Pause(F::Id(3), 1000);
  REQUIRE(f.End(kId) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.last.ended_size() == 3);
  REQUIRE(f.Summary(F::Id(3)).state() == schema::PROGRAM_STATE_ENDED);
  REQUIRE(f.Create(F::MakeCreate(F::Id(4), kId)) == schema::VERDICT_ENDED);
  // Ending it again changes nothing and returns the first reason.
  REQUIRE(f.End(kId) == schema::VERDICT_ACCEPTED);
  REQUIRE(f.last.ended_size() == 0);
  REQUIRE(f.last.message() == "ended by the caller");
}

TEST_CASE("an ended program is compacted to its outcomes and then pruned") {
  F f;
  f.Create(kId);
  f.Run(kId, 1);
  f.Run(kId, 2, schema::CALL_KIND_NON_IDEMPOTENT);
  f.Run(kId, 3);
  f.End(kId);
  const uint64_t whole = f.ledger.Stats().history_bytes;
  f.AdvanceTime(f.options.history_retention_ms);
  REQUIRE(f.ledger.Stats().history_bytes < whole);
  REQUIRE(f.Begin(kId, 1) == schema::VERDICT_RECORDED);
  REQUIRE(f.last.recorded().answer_dropped());
  REQUIRE(f.last.recorded().outcome() == schema::OUTCOME_RAN);
  REQUIRE(f.ledger.Outcome("quetzal", kId, 2)->answer() == "answer 2");
  REQUIRE(f.ledger.Outcome("quetzal", kId, 3)->answer() == "answer 3");
  f.AdvanceTime(f.options.retention_ms + 1);
  REQUIRE_FALSE(f.ledger.Find("quetzal", kId).has_value());
}

TEST_CASE("an id from the future is kept until it is too old to be created") {
  F f;
  const std::string ahead = F::Id(1, f.now_ms + f.options.max_clock_skew_ms);
  REQUIRE(f.Create(F::Id(2, f.now_ms + f.options.max_clock_skew_ms + 1)) ==
          schema::VERDICT_INVALID);
  REQUIRE(f.Create(ahead) == schema::VERDICT_ACCEPTED);
  f.End(ahead);
  f.AdvanceTime(f.options.history_retention_ms);
  for (int i = 0; i < 40 && f.ledger.Stats().programs > 0; ++i) {
    f.AdvanceTime(f.options.retention_ms / 16);
  }
  REQUIRE(f.ledger.Stats().programs == 0);
  REQUIRE(f.Create(ahead) == schema::VERDICT_EXPIRED);
}

TEST_CASE("time never goes backward") {
  F f;
  f.AdvanceTime(5000);
  f.now_ms -= 3000;
  f.Create(kId);
  REQUIRE(f.ledger.now_ms() == F::kStartMs + 5000);
  REQUIRE(f.Summary(kId).created_wall_ms() == F::kStartMs + 5000);
}

TEST_CASE("log entries apply once and invalid ones change nothing") {
  F f;
  schema::LedgerCommand command;
  *command.mutable_create() = F::MakeCreate(kId);
  command.set_wall_ms(F::kStartMs);
  schema::LedgerReply reply;
  reply.ParseFromString(f.ledger.Apply(3, command.SerializeAsString()));
  REQUIRE(reply.verdict() == schema::VERDICT_ACCEPTED);
  reply.ParseFromString(f.ledger.Apply(3, command.SerializeAsString()));
  REQUIRE(reply.verdict() == schema::VERDICT_INVALID);
  reply.ParseFromString(f.ledger.Apply(4, "no command"));
  REQUIRE(reply.verdict() == schema::VERDICT_INVALID);
  REQUIRE(f.ledger.applied_index() == 4);
  const std::string before = f.ledger.Snapshot();
  REQUIRE_FALSE(core::IsOk(f.ledger.Restore("damaged")));
  REQUIRE_FALSE(core::IsOk(f.ledger.Restore("")));
  REQUIRE(f.ledger.Snapshot() == before);
}

}  // namespace
}  // namespace hawthorn::programs

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>
#include <vector>

#include "ledger_fixture.h"

// Properties over arbitrary sequences of all commands.
namespace hawthorn::programs {
namespace {

using F = LedgerFixture;
using Commands = std::vector<schema::LedgerCommand>;

const std::vector<std::string> kOrganisations = {"quetzal", "peachtree"};

template <typename Message>
void SetProgram(Message* message, const std::string& organisation, int id) {
  message->set_organisation(organisation);
  message->set_program(F::Id(id));
}

int Pick(int below) { return *rc::gen::inRange(0, below); }

/// A random command. Small ranges of values make commands affect the same
/// programs often. Both organisations use the same program ids.
schema::LedgerCommand AnyCommand() {
  schema::LedgerCommand command;
  const std::string& organisation =
      kOrganisations[static_cast<size_t>(Pick(2))];
  const int id = Pick(3);
  const auto number = static_cast<uint32_t>(Pick(4) + 1);
  const std::string owner = organisation + std::to_string(Pick(2));
  switch (Pick(13)) {
    case 0:
    case 1:
      *command.mutable_create() =
          F::MakeCreate(F::Id(id), id == 2 ? F::Id(0) : "");
      command.mutable_create()->set_organisation(organisation);
      command.mutable_create()->mutable_budget()->set_tokens(id == 2 ? 20 : 60);
      command.mutable_create()->mutable_budget()->set_wall_ms(50'000);
      command.mutable_create()->set_on_tool_timeout(
          schema::TOOL_TIMEOUT_ACTION_CONTINUE);
      break;
    case 2:
    case 3:
    case 4:
      *command.mutable_begin() =
          F::MakeBegin(F::Id(id), number,
                       number % 2 == 0 ? schema::CALL_KIND_NON_IDEMPOTENT
                                       : schema::CALL_KIND_MODEL,
                       owner);
      command.mutable_begin()->set_organisation(organisation);
      command.mutable_begin()->set_limited_tokens(id == 1);
      break;
    case 5:
    case 6:
      SetProgram(command.mutable_finish(), organisation, id);
      command.mutable_finish()->set_number(number);
      command.mutable_finish()->set_attempt(1 + static_cast<uint32_t>(Pick(2)));
      command.mutable_finish()->set_outcome(schema::OUTCOME_RAN);
      command.mutable_finish()->set_used_tokens(Pick(15));
      break;
    case 7:
      SetProgram(command.mutable_retry(), organisation, id);
      command.mutable_retry()->set_number(number);
      command.mutable_retry()->set_failed_attempt(1);
      command.mutable_retry()->set_owner(owner);
      break;
    case 8:
      command.mutable_owner_lost()->set_owner(owner);
      break;
    case 9:
      SetProgram(command.mutable_begin_pause(), organisation, id);
      command.mutable_begin_pause()->set_tool("calendar");
      command.mutable_begin_pause()->set_deadline_wall_ms(F::kStartMs + 20'000);
      break;
    case 10:
      SetProgram(command.mutable_acquire_hold(), organisation, id);
      command.mutable_acquire_hold()->set_upstream("engine-1");
      command.mutable_acquire_hold()->set_hold(owner);
      command.mutable_acquire_hold()->set_tokens(10);
      command.mutable_acquire_hold()->set_lease_until_wall_ms(F::kStartMs +
                                                              30'000);
      break;
    case 11:
      SetProgram(command.mutable_end(), organisation, id);
      break;
    default:
      command.mutable_grant_slice()->set_organisation(organisation);
      command.mutable_grant_slice()->set_grant(owner);
      command.mutable_grant_slice()->set_tokens(25);
      command.mutable_grant_slice()->set_day(F::kStartMs / 86'400'000);
  }
  return command;
}

Commands AnyCommands() {
  Commands commands;
  int64_t now_ms = F::kStartMs;
  const int count = 20 + Pick(100);
  for (int i = 0; i < count; ++i) {
    // The clocks of successive leaders may differ, so time may step back.
    now_ms += Pick(1200) - 100;
    commands.push_back(AnyCommand());
    commands.back().set_wall_ms(now_ms);
  }
  return commands;
}

TEST_CASE("snapshots are equal for equal states after any commands") {
  std::set<schema::Verdict> verdicts;
  size_t ended = 0;
  const bool ok = rc::check("snapshot restore and replay agree", [&] {
    const Commands commands = AnyCommands();
    const auto cut =
        static_cast<size_t>(Pick(static_cast<int>(commands.size())));
    Ledger ledger;
    Ledger follower;
    for (size_t i = 0; i < commands.size(); ++i) {
      if (i == cut) {
        RC_ASSERT(core::IsOk(follower.Restore(ledger.Snapshot())));
        RC_ASSERT(follower.Snapshot() == ledger.Snapshot());
      }
      const std::string bytes = commands[i].SerializeAsString();
      const std::string reply = ledger.Apply(i + 1, bytes);
      if (i >= cut) {
        RC_ASSERT(follower.Apply(i + 1, bytes) == reply);
      }
      schema::LedgerReply parsed;
      parsed.ParseFromString(reply);
      verdicts.insert(parsed.verdict());
      ended += static_cast<size_t>(parsed.ended_size());
    }
    RC_ASSERT(follower.Snapshot() == ledger.Snapshot());
    RC_ASSERT(follower.Stats() == ledger.Stats());
  });
  REQUIRE(ok);
  REQUIRE(verdicts.size() >= 10);
  REQUIRE(ended > 0);
}

TEST_CASE("one organisation's commands never change what another one sees") {
  size_t foreign = 0;
  const bool ok = rc::check("organisations are isolated", [&] {
    Ledger shared;
    Ledger alone;
    for (const schema::LedgerCommand& it : AnyCommands()) {
      const bool own =
          it.ShortDebugString().find("peachtree") == std::string::npos;
      const schema::LedgerReply reply = shared.Apply(it);
      schema::LedgerCommand same_time;
      same_time.mutable_pass_time();
      same_time.set_wall_ms(it.wall_ms());
      const schema::LedgerReply expected = alone.Apply(own ? it : same_time);
      const bool same_verdict = !own || reply.verdict() == expected.verdict();
      RC_ASSERT(same_verdict);
      foreign += own ? 0 : 1;
      for (int id = 0; id < 3; ++id) {
        const auto seen = shared.Find("quetzal", F::Id(id));
        const auto want = alone.Find("quetzal", F::Id(id));
        RC_ASSERT(seen.has_value() == want.has_value());
        const bool same =
            !seen || seen->SerializeAsString() == want->SerializeAsString();
        RC_ASSERT(same);
        RC_ASSERT(shared.History("quetzal", F::Id(id)).size() ==
                  alone.History("quetzal", F::Id(id)).size());
        RC_ASSERT(shared.HoldsOf("quetzal", F::Id(id)).size() ==
                  alone.HoldsOf("quetzal", F::Id(id)).size());
      }
    }
  });
  REQUIRE(ok);
  REQUIRE(foreign > 0);
}

}  // namespace
}  // namespace hawthorn::programs

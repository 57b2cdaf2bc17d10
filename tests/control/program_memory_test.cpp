// What the spending of programs takes of an instance that keeps it for hours.
#include <malloc.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "control/deployment_state.h"

namespace hawthorn::control {
namespace {

/// Retention of the routes of turns, in ms.
constexpr int64_t kRetentionMs = 60'000;
/// Memory of the smallest machine with a disk.
constexpr size_t kMachineBytes = size_t{120} * 1024 * 1024;
constexpr int64_t kBudget = 10'000;
constexpr int64_t kMostTokens = 300;
constexpr int64_t kUsedTokens = 80;

/// Bytes that are allocated, in the heap or by themselves.
size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Request ids as long as those of callers.
std::string RequestOf(uint64_t program, uint64_t turn) {
  return "request-" + std::to_string(100'000'000 + program * 100 + turn);
}

schema::TokenSettlement SettlementOf(uint64_t program, uint64_t turn) {
  schema::TokenSettlement settlement;
  settlement.set_program("program-" + std::to_string(program));
  settlement.set_request(RequestOf(program, turn));
  settlement.set_tokens(kUsedTokens);
  settlement.set_retention_ms(kRetentionMs);
  return settlement;
}

/// One turn of a program, with the settlement of the turn before.
schema::DeploymentCommand TurnOf(uint64_t program, uint64_t turn,
                                 int64_t elapsed_ms) {
  schema::DeploymentCommand command;
  command.set_elapsed_ms(elapsed_ms);
  schema::TokenReservation* reserve = command.mutable_reserve();
  reserve->set_program("program-" + std::to_string(program));
  reserve->set_request(RequestOf(program, turn));
  reserve->set_budget(kBudget);
  reserve->set_tokens(kMostTokens);
  reserve->set_retention_ms(kRetentionMs);
  reserve->mutable_stream()->set_version("v1");
  reserve->mutable_stream()->set_round(1);
  reserve->set_content(program * 100 + turn);
  if (turn > 0) {
    *reserve->add_settlements() = SettlementOf(program, turn - 1);
  }
  return command;
}

schema::DeploymentReply Run(DeploymentState* state,
                            const schema::DeploymentCommand& command) {
  schema::DeploymentReply reply;
  REQUIRE(reply.ParseFromString(state->Apply(1, command.SerializeAsString())));
  return reply;
}

// Guards against a ledger that grows for ten minutes: programs that may not
// come back any more were kept for 600 s.
TEST_CASE("An hour of programs takes no more memory than some minutes") {
  constexpr int64_t kHourMs = 3600'000;
  constexpr int64_t kIntervalMs = 200;
  DeploymentState state;
  size_t most = 0;
  for (int64_t now = 0; now < kHourMs; now += kIntervalMs) {
    Run(&state, TurnOf(static_cast<uint64_t>(now), 0, kIntervalMs));
    most = std::max(most, state.program_count());
  }
  // Twice the programs that may come back.
  CHECK(most <= 2 * kRetentionMs / kIntervalMs);
}

// Guards against a ledger that a machine of 120 MB cannot hold: a program took
// 4 KB, and twice as much again while a snapshot was taken.
TEST_CASE("The programs of the largest load fit beside two snapshots") {
  // 185 programs a second for their retention and half of it again.
  constexpr uint64_t kPrograms = 185 * 90;
  constexpr uint64_t kTurns = 7;
  const size_t before = AllocatedBytes();
  DeploymentState state;
  for (uint64_t program = 0; program < kPrograms; ++program) {
    for (uint64_t turn = 0; turn < kTurns; ++turn) {
      Run(&state, TurnOf(program, turn, 0));
    }
  }
  REQUIRE(state.program_count() == kPrograms);
  const std::string saved = state.Snapshot();
  const std::string next = state.Snapshot();
  const size_t taken = AllocatedBytes() - before;
  INFO("taken " << taken << ", snapshot " << saved.size());
  CHECK(taken < kMachineBytes / 2);
  // The limit of a leader rests on this figure.
  const size_t programs = taken - saved.size() - next.size();
  CHECK(state.program_bytes() > programs * 3 / 4);
  CHECK(state.program_bytes() < programs * 4 / 3);
}

// Guards against a program that spends its budget once more when it comes back.
TEST_CASE("A budget holds for as long as the routes of its turns ask") {
  const bool names_retention = GENERATE(true, false);
  const int64_t retention_ms =
      names_retention ? kRetentionMs : DeploymentState::kProgramRetentionMs;
  DeploymentState state;
  schema::DeploymentCommand turn = TurnOf(1, 0, 0);
  turn.mutable_reserve()->set_budget(kMostTokens);
  if (!names_retention) {
    turn.mutable_reserve()->clear_retention_ms();
  }
  REQUIRE(Run(&state, turn).granted());
  schema::DeploymentCommand other = TurnOf(2, 0, 0);
  constexpr int64_t kStepMs = 1'000;
  for (int64_t now = 0; now < retention_ms; now += kStepMs) {
    other.set_elapsed_ms(kStepMs);
    Run(&state, other);
    DeploymentState restored;
    REQUIRE(core::IsOk(restored.Restore(state.Snapshot())));
    CHECK(restored.KnowsProgram("program-1"));
  }
  schema::DeploymentCommand again = TurnOf(1, 1, 0);
  again.mutable_reserve()->clear_settlements();
  again.mutable_reserve()->set_budget(kMostTokens);
  CHECK_FALSE(Run(&state, again).granted());
}

// Guards against a shorter retention beside instances of the build before,
// which do not name one.
TEST_CASE("A program is kept for the longest retention that was named") {
  DeploymentState state;
  schema::DeploymentCommand unnamed = TurnOf(1, 0, 0);
  unnamed.mutable_reserve()->clear_retention_ms();
  Run(&state, unnamed);
  Run(&state, TurnOf(1, 1, 0));
  schema::DeploymentCommand other = TurnOf(2, 0, 1'000);
  for (int64_t now = 0; now < DeploymentState::kProgramRetentionMs;
       now += 1'000) {
    Run(&state, other);
  }
  CHECK(state.KnowsProgram("program-1"));
}

// Guards against a snapshot of the build before that loses spending.
TEST_CASE("Programs of a snapshot in any order of fields are kept") {
  DeploymentState state;
  Run(&state, TurnOf(1, 0, 0));
  Run(&state, TurnOf(2, 0, 0));
  schema::DeploymentSnapshot snapshot;
  REQUIRE(snapshot.ParseFromString(state.Snapshot()));
  REQUIRE(snapshot.programs_size() == 2);
  schema::DeploymentSnapshot programs;
  programs.mutable_programs()->Swap(snapshot.mutable_programs());
  for (schema::ProgramSpending& it : *programs.mutable_programs()) {
    it.clear_retention_ms();
  }
  DeploymentState restored;
  REQUIRE(core::IsOk(restored.Restore(snapshot.SerializeAsString() +
                                      programs.SerializeAsString())));
  CHECK(restored.KnowsProgram("program-1"));
  CHECK(restored.KnowsProgram("program-2"));
  CHECK_FALSE(core::IsOk(restored.Restore(state.Snapshot() + "\x22\x7f")));
  CHECK_FALSE(core::IsOk(restored.Restore("\x22\x02\xff\xff")));
}

}  // namespace
}  // namespace hawthorn::control

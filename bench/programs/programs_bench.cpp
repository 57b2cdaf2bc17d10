// Measures the ledger of programs: operations per second, memory, the cost of a
// turn by history length, the holds left after programs end, and duplicate
// executions under faults.

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <string>

#include "programs/ledger.h"
#include "programs/program_id.h"

namespace hawthorn::programs {
namespace {

constexpr int64_t kStartMs = 1'000'000'000'000;
constexpr size_t kTurnBytes = 930;
const char* const kOrganisation = "organisation-1";

std::string Id(int n) {
  return ToString({"zone-a", kStartMs, "bench-" + std::to_string(10'000 + n)});
}

template <typename Message>
void SetProgram(Message* message, int program) {
  message->set_program(Id(program));
  message->set_organisation(kOrganisation);
}

schema::LedgerReply Apply(Ledger* ledger, schema::LedgerCommand command) {
  command.set_wall_ms(kStartMs);
  return ledger->Apply(command);
}

schema::LedgerReply Create(Ledger* ledger, int program) {
  schema::LedgerCommand command;
  SetProgram(command.mutable_create(), program);
  return Apply(ledger, command);
}

schema::LedgerReply Begin(Ledger* ledger, int program, uint32_t number,
                          schema::CallKind kind, const std::string& owner,
                          uint64_t intent) {
  schema::LedgerCommand command;
  schema::BeginCall* const begin = command.mutable_begin();
  SetProgram(begin, program);
  begin->set_number(number);
  begin->set_kind(kind);
  begin->set_owner(owner);
  begin->set_intent(intent);
  begin->set_reserve_tokens(300);
  begin->set_messages(std::string(kTurnBytes / 2, 'm'));
  return Apply(ledger, command);
}

schema::LedgerReply Finish(Ledger* ledger, int program, uint32_t number,
                           uint32_t attempt) {
  schema::LedgerCommand command;
  schema::FinishCall* const finish = command.mutable_finish();
  SetProgram(finish, program);
  finish->set_number(number);
  finish->set_attempt(attempt);
  finish->set_outcome(schema::OUTCOME_RAN);
  finish->set_used_tokens(233);
  finish->set_answer(std::string(kTurnBytes / 2, 'a'));
  return Apply(ledger, command);
}

double Seconds(std::chrono::steady_clock::time_point from) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - from)
      .count();
}

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Time of one turn by the number of earlier turns.
void MeasureTurns() {
  for (const uint32_t length : {1U, 10U, 100U, 600U}) {
    constexpr int kPrograms = 200;
    Ledger ledger;
    for (int n = 0; n < kPrograms; ++n) {
      Create(&ledger, n);
      for (uint32_t number = 1; number < length; ++number) {
        Begin(&ledger, n, number, schema::CALL_KIND_MODEL, "entry", number);
        Finish(&ledger, n, number, 1);
      }
    }
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < kPrograms; ++n) {
      Begin(&ledger, n, length, schema::CALL_KIND_MODEL, "entry", length);
      Finish(&ledger, n, length, 1);
    }
    std::printf("turn at length %u: %.2f us\n", length,
                Seconds(start) * 1e6 / kPrograms);
  }
}

void MeasureMemory() {
  constexpr int kPrograms = 10'000;
  constexpr uint32_t kTurns = 20;
  const size_t empty = HeapBytes();
  Ledger ledger;
  for (int n = 0; n < kPrograms; ++n) {
    Create(&ledger, n);
  }
  const size_t idle = HeapBytes();
  const auto start = std::chrono::steady_clock::now();
  for (uint32_t number = 1; number <= kTurns; ++number) {
    for (int n = 0; n < kPrograms; ++n) {
      Begin(&ledger, n, number, schema::CALL_KIND_MODEL, "entry", number);
      Finish(&ledger, n, number, 1);
    }
  }
  const double seconds = Seconds(start);
  const size_t grown = HeapBytes();
  const double turns = static_cast<double>(kPrograms) * kTurns;
  std::printf("operations a second: %.0f\n", 2 * turns / seconds);
  std::printf("bytes for an idle program: %.0f\n",
              static_cast<double>(idle - empty) / kPrograms);
  const double per_turn = static_cast<double>(grown - idle) / turns;
  std::printf("bytes for a turn of %zu bytes: %.0f, for a token: %.2f\n",
              kTurnBytes, per_turn, per_turn / 233);
}

void MeasureHoldsAfterEnd() {
  Ledger ledger;
  constexpr int kPrograms = 2000;
  for (int n = 0; n < kPrograms; ++n) {
    Create(&ledger, n);
    schema::LedgerCommand hold;
    SetProgram(hold.mutable_acquire_hold(), n);
    hold.mutable_acquire_hold()->set_upstream("engine");
    hold.mutable_acquire_hold()->set_hold(Id(n));
    hold.mutable_acquire_hold()->set_lease_until_wall_ms(kStartMs + 1000);
    Apply(&ledger, hold);
  }
  const size_t held = ledger.Stats().held.holds;
  for (int n = 0; n < kPrograms; ++n) {
    schema::LedgerCommand end;
    SetProgram(end.mutable_end(), n);
    Apply(&ledger, end);
  }
  for (const schema::Hold& it : ledger.HoldsToRelease()) {
    schema::LedgerCommand release;
    release.mutable_release_hold()->set_upstream(it.upstream());
    release.mutable_release_hold()->set_hold(it.hold());
    Apply(&ledger, release);
  }
  const LedgerStats stats = ledger.Stats();
  std::printf("holds before %zu, after the kills %zu\n", held,
              stats.held.holds + stats.to_release.holds);
}

/// Counts non-idempotent calls that run twice under lost owners, lost replies,
/// resends and late answers.
void MeasureDuplicateRuns() {
  constexpr int kPrograms = 20'000;
  std::mt19937 random(2026);
  std::map<std::pair<int, uint32_t>, int> runs;
  Ledger ledger;
  int lost_owners = 0;
  int resends = 0;
  int late_answers = 0;
  uint64_t intent = 1;
  for (int n = 0; n < kPrograms; ++n) {
    Create(&ledger, n);
    for (uint32_t number = 1; number <= 5; ++number) {
      const std::string owner = "entry/" + std::to_string(n);
      for (int resend = 0; resend < 3; ++resend) {
        const auto reply =
            Begin(&ledger, n, number, schema::CALL_KIND_NON_IDEMPOTENT,
                  owner + std::to_string(resend), ++intent);
        resends += resend > 0 ? 1 : 0;
        if (reply.verdict() == schema::VERDICT_ACCEPTED) {
          ++runs[{n, number}];
        }
        if (random() % 3 == 0) {
          schema::LedgerCommand lost;
          lost.mutable_owner_lost()->set_owner(owner + std::to_string(resend));
          Apply(&ledger, lost);
          ++lost_owners;
        }
      }
      late_answers +=
          Finish(&ledger, n, number, 1).verdict() == schema::VERDICT_STALE;
    }
  }
  int duplicates = 0;
  for (const auto& [call, count] : runs) {
    duplicates += count > 1 ? 1 : 0;
  }
  std::printf("calls %zu, resends %d, deaths %d, late answers %d, doubled %d\n",
              runs.size(), resends, lost_owners, late_answers, duplicates);
}

}  // namespace
}  // namespace hawthorn::programs

int main() {
  hawthorn::programs::MeasureTurns();
  hawthorn::programs::MeasureMemory();
  hawthorn::programs::MeasureHoldsAfterEnd();
  hawthorn::programs::MeasureDuplicateRuns();
  return 0;
}

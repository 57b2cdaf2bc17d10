#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "ledger.pb.h"

namespace hawthorn::programs {

/// Amounts of everything that a program spends.
struct BudgetAmounts {
  int64_t tokens = 0;
  int64_t turns = 0;
  int64_t calls = 0;
  int64_t cost = 0;

  auto operator<=>(const BudgetAmounts&) const = default;
};

BudgetAmounts operator+(const BudgetAmounts& a, const BudgetAmounts& b);
BudgetAmounts operator-(const BudgetAmounts& a, const BudgetAmounts& b);

/// Reads the amounts of `budget`; its wall time is not an amount.
BudgetAmounts ToAmounts(const schema::Budget& budget);
/// Writes `amounts` with a wall time of 0.
schema::Budget ToSchema(const BudgetAmounts& amounts);

/// What a program may spend, has spent, has reserved for its open call and has
/// carved out for its sub-agents. A limit of 0 is no limit.
class BudgetAccount {
 public:
  BudgetAccount() = default;
  explicit BudgetAccount(const BudgetAmounts& limit) : limit_(limit) {}
  /// Rebuilds an account from a snapshot.
  explicit BudgetAccount(const schema::SnapshotBudget& snapshot);

  /// Reserves `amounts`. Returns an empty text, or the reason of a refusal.
  std::string Reserve(const BudgetAmounts& amounts);

  /// Replaces the reservation `reserved` by what was `used`. Use above the
  /// reservation is recorded and blocks the next reservation.
  void Settle(const BudgetAmounts& reserved, const BudgetAmounts& used);

  /// Carves the whole limit of a sub-agent out of the remainder. Returns an
  /// empty text, or the reason of a refusal; a sub-agent needs a limit of
  /// each kind that this account limits.
  std::string CarveOut(const BudgetAmounts& child_limit);

  /// Takes back the carved part of a sub-agent that spent `child`.
  void Return(const BudgetAccount& child);

  /// Use above the limit that this account has not reported yet. The parent
  /// adds it to the carved part, so that it cannot be spent there.
  BudgetAmounts TakeOverdraft();

  /// Adds a sub-agent's overdraft to the carved part.
  void AddCarved(const BudgetAmounts& amounts);

  /// Reason if the use alone has reached a limit of a kind that `wanted`
  /// needs; empty otherwise.
  std::string Exhausted(const BudgetAmounts& wanted) const;

  /// Reason if use, reservations and carved parts exceed a limit; empty
  /// otherwise.
  std::string Overdrawn() const;

  const BudgetAmounts& limit() const { return limit_; }
  const BudgetAmounts& used() const { return used_; }
  const BudgetAmounts& reserved() const { return reserved_; }
  const BudgetAmounts& carved() const { return carved_; }

  schema::SnapshotBudget ToSnapshot() const;

  bool operator==(const BudgetAccount&) const = default;

 private:
  BudgetAmounts Spoken() const;

  BudgetAmounts limit_;
  BudgetAmounts used_;
  BudgetAmounts reserved_;
  BudgetAmounts carved_;
  BudgetAmounts overdrawn_;
};

}  // namespace hawthorn::programs

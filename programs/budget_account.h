#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "ledger.pb.h"

namespace hawthorn::programs {

/// Amounts of each budgeted resource.
struct BudgetAmounts {
  int64_t tokens = 0;
  int64_t turns = 0;
  int64_t calls = 0;
  int64_t cost = 0;

  auto operator<=>(const BudgetAmounts&) const = default;
};

BudgetAmounts operator+(const BudgetAmounts& a, const BudgetAmounts& b);
BudgetAmounts operator-(const BudgetAmounts& a, const BudgetAmounts& b);

/// Returns the amounts of `budget` without its wall time.
BudgetAmounts ToAmounts(const schema::Budget& budget);
/// Converts `amounts` to a budget with a wall time of 0.
schema::Budget ToSchema(const BudgetAmounts& amounts);

/// A program's limits, its use, the reservation of its open call and the parts
/// carved out for its sub-agents. A limit of 0 means unlimited.
class BudgetAccount {
 public:
  BudgetAccount() = default;
  explicit BudgetAccount(const BudgetAmounts& limit) : limit_(limit) {}
  /// Rebuilds an account from a snapshot.
  explicit BudgetAccount(const schema::SnapshotBudget& snapshot);

  /// Reserves `amounts`. Returns an empty string, or the reason for a refusal.
  std::string Reserve(const BudgetAmounts& amounts);

  /// Replaces the reservation `reserved` by the amounts `used`. Use above the
  /// reservation is recorded and blocks the next reservation.
  void Settle(const BudgetAmounts& reserved, const BudgetAmounts& used);

  /// Carves the whole limit of a sub-agent out of the remaining budget. Returns
  /// an empty string, or the reason for a refusal. A sub-agent needs a limit
  /// for each resource that this account limits.
  std::string CarveOut(const BudgetAmounts& child_limit);

  /// Returns the carved part of a finished sub-agent to this account and adds
  /// its use; `child` is the account of the sub-agent.
  void Return(const BudgetAccount& child);

  /// Returns the use above the limit that was not returned before. The parent
  /// adds it to its carved part, so that it can't spend these amounts itself.
  BudgetAmounts TakeOverdraft();

  /// Adds a sub-agent's overdraft to the carved part.
  void AddCarved(const BudgetAmounts& amounts);

  /// Returns a reason if the use alone has reached the limit of a resource that
  /// `wanted` needs, otherwise an empty string.
  std::string Exhausted(const BudgetAmounts& wanted) const;

  /// Returns a reason if use, reservations and carved parts together exceed a
  /// limit, otherwise an empty string.
  std::string Overdrawn() const;

  const BudgetAmounts& limit() const { return limit_; }
  const BudgetAmounts& used() const { return used_; }
  const BudgetAmounts& reserved() const { return reserved_; }
  const BudgetAmounts& carved() const { return carved_; }

  schema::SnapshotBudget ToSnapshot() const;

  bool operator==(const BudgetAccount&) const = default;

 private:
  /// Sum of use, reservations and carved parts.
  BudgetAmounts Allocated() const;

  BudgetAmounts limit_;
  BudgetAmounts used_;
  BudgetAmounts reserved_;
  BudgetAmounts carved_;
  /// Use above the limit that TakeOverdraft() has returned.
  BudgetAmounts overdrawn_;
};

}  // namespace hawthorn::programs

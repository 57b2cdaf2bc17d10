#include "programs/budget_account.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace hawthorn::programs {
namespace {

struct Kind {
  const char* name;
  int64_t BudgetAmounts::*amount;
};

constexpr std::array<Kind, 4> kKinds = {
    Kind{"tokens", &BudgetAmounts::tokens},
    Kind{"turns", &BudgetAmounts::turns},
    Kind{"calls", &BudgetAmounts::calls},
    Kind{"cost", &BudgetAmounts::cost},
};

template <typename Function>
BudgetAmounts ForEach(Function function) {
  BudgetAmounts result;
  for (const Kind& kind : kKinds) {
    result.*kind.amount = function(kind);
  }
  return result;
}

}  // namespace

BudgetAmounts operator+(const BudgetAmounts& a, const BudgetAmounts& b) {
  return ForEach([&](const Kind& it) { return a.*it.amount + b.*it.amount; });
}

BudgetAmounts operator-(const BudgetAmounts& a, const BudgetAmounts& b) {
  return ForEach([&](const Kind& it) { return a.*it.amount - b.*it.amount; });
}

BudgetAmounts ToAmounts(const schema::Budget& budget) {
  return {budget.tokens(), budget.turns(), budget.calls(), budget.cost()};
}

schema::Budget ToSchema(const BudgetAmounts& amounts) {
  schema::Budget budget;
  budget.set_tokens(amounts.tokens);
  budget.set_turns(amounts.turns);
  budget.set_calls(amounts.calls);
  budget.set_cost(amounts.cost);
  return budget;
}

BudgetAccount::BudgetAccount(const schema::SnapshotBudget& snapshot)
    : limit_(ToAmounts(snapshot.limit())),
      used_(ToAmounts(snapshot.used())),
      reserved_(ToAmounts(snapshot.reserved())),
      carved_(ToAmounts(snapshot.carved())),
      overdrawn_(ToAmounts(snapshot.overdrawn())) {}

std::string BudgetAccount::Reserve(const BudgetAmounts& amounts) {
  const BudgetAmounts spoken = Spoken();
  for (const Kind& kind : kKinds) {
    const int64_t limit = limit_.*kind.amount;
    if (limit == 0 || amounts.*kind.amount == 0) {
      continue;
    }
    if (amounts.*kind.amount > limit - spoken.*kind.amount) {
      return absl::StrCat("budget of ", kind.name, ": ", amounts.*kind.amount,
                          " asked, ",
                          std::max<int64_t>(0, limit - spoken.*kind.amount),
                          " of ", limit, " left");
    }
  }
  reserved_ = reserved_ + amounts;
  return "";
}

void BudgetAccount::Settle(const BudgetAmounts& reserved,
                           const BudgetAmounts& used) {
  reserved_ = reserved_ - reserved;
  used_ = used_ + used;
}

std::string BudgetAccount::CarveOut(const BudgetAmounts& child_limit) {
  const BudgetAmounts spoken = Spoken();
  for (const Kind& kind : kKinds) {
    const int64_t limit = limit_.*kind.amount;
    if (limit == 0) {
      continue;
    }
    if (child_limit.*kind.amount == 0) {
      return absl::StrCat("a sub-agent needs a budget of ", kind.name,
                          " because its parent has one");
    }
    if (child_limit.*kind.amount > limit - spoken.*kind.amount) {
      return absl::StrCat(
          "budget of ", kind.name, " of the parent: ", child_limit.*kind.amount,
          " asked, ", std::max<int64_t>(0, limit - spoken.*kind.amount), " of ",
          limit, " left");
    }
  }
  carved_ = carved_ + child_limit;
  return "";
}

void BudgetAccount::Return(const BudgetAccount& child) {
  carved_ = carved_ - child.limit_ - child.overdrawn_;
  used_ = used_ + child.used_;
}

BudgetAmounts BudgetAccount::TakeOverdraft() {
  const BudgetAmounts spoken = Spoken();
  const BudgetAmounts fresh = ForEach([&](const Kind& kind) -> int64_t {
    if (limit_.*kind.amount == 0) {
      return 0;
    }
    const int64_t over = spoken.*kind.amount - limit_.*kind.amount;
    return std::max<int64_t>(0, over - overdrawn_.*kind.amount);
  });
  overdrawn_ = overdrawn_ + fresh;
  return fresh;
}

void BudgetAccount::AddCarved(const BudgetAmounts& amounts) {
  carved_ = carved_ + amounts;
}

std::string BudgetAccount::Exhausted(const BudgetAmounts& wanted) const {
  for (const Kind& kind : kKinds) {
    const int64_t limit = limit_.*kind.amount;
    const bool needed = wanted.*kind.amount != 0;
    if (needed && limit != 0 && used_.*kind.amount >= limit) {
      return absl::StrCat("budget of ", kind.name,
                          " spent: ", used_.*kind.amount, " of ", limit);
    }
  }
  return "";
}

std::string BudgetAccount::Overdrawn() const {
  const BudgetAmounts spoken = Spoken();
  for (const Kind& kind : kKinds) {
    const int64_t limit = limit_.*kind.amount;
    if (limit != 0 && spoken.*kind.amount > limit) {
      return absl::StrCat("budget of ", kind.name, " has no room for another ",
                          "attempt: ", spoken.*kind.amount, " of ", limit);
    }
  }
  return "";
}

schema::SnapshotBudget BudgetAccount::ToSnapshot() const {
  schema::SnapshotBudget snapshot;
  *snapshot.mutable_limit() = ToSchema(limit_);
  *snapshot.mutable_used() = ToSchema(used_);
  *snapshot.mutable_reserved() = ToSchema(reserved_);
  *snapshot.mutable_carved() = ToSchema(carved_);
  *snapshot.mutable_overdrawn() = ToSchema(overdrawn_);
  return snapshot;
}

BudgetAmounts BudgetAccount::Spoken() const {
  return used_ + reserved_ + carved_;
}

}  // namespace hawthorn::programs

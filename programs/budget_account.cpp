#include "programs/budget_account.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace hawthorn::programs {
namespace {

struct Resource {
  const char* name;
  int64_t BudgetAmounts::*amount;
};

constexpr std::array<Resource, 4> kResources = {
    Resource{"tokens", &BudgetAmounts::tokens},
    Resource{"turns", &BudgetAmounts::turns},
    Resource{"calls", &BudgetAmounts::calls},
    Resource{"cost", &BudgetAmounts::cost},
};

template <typename Function>
BudgetAmounts MapResources(Function function) {
  BudgetAmounts result;
  for (const Resource& resource : kResources) {
    result.*resource.amount = function(resource);
  }
  return result;
}

}  // namespace

BudgetAmounts operator+(const BudgetAmounts& a, const BudgetAmounts& b) {
  return MapResources(
      [&](const Resource& it) { return a.*it.amount + b.*it.amount; });
}

BudgetAmounts operator-(const BudgetAmounts& a, const BudgetAmounts& b) {
  return MapResources(
      [&](const Resource& it) { return a.*it.amount - b.*it.amount; });
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
  const BudgetAmounts allocated = Allocated();
  for (const Resource& resource : kResources) {
    const int64_t limit = limit_.*resource.amount;
    if (limit == 0 || amounts.*resource.amount == 0) {
      continue;
    }
    if (amounts.*resource.amount > limit - allocated.*resource.amount) {
      return absl::StrCat(
          "budget of ", resource.name, ": ", amounts.*resource.amount,
          " asked, ", std::max<int64_t>(0, limit - allocated.*resource.amount),
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
  const BudgetAmounts allocated = Allocated();
  for (const Resource& resource : kResources) {
    const int64_t limit = limit_.*resource.amount;
    if (limit == 0) {
      continue;
    }
    if (child_limit.*resource.amount == 0) {
      return absl::StrCat("a sub-agent needs a budget of ", resource.name,
                          " because its parent has one");
    }
    if (child_limit.*resource.amount > limit - allocated.*resource.amount) {
      return absl::StrCat(
          "budget of ", resource.name,
          " of the parent: ", child_limit.*resource.amount, " asked, ",
          std::max<int64_t>(0, limit - allocated.*resource.amount), " of ",
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
  const BudgetAmounts allocated = Allocated();
  const BudgetAmounts unreported =
      MapResources([&](const Resource& resource) -> int64_t {
        if (limit_.*resource.amount == 0) {
          return 0;
        }
        const int64_t over =
            allocated.*resource.amount - limit_.*resource.amount;
        return std::max<int64_t>(0, over - overdrawn_.*resource.amount);
      });
  overdrawn_ = overdrawn_ + unreported;
  return unreported;
}

void BudgetAccount::AddCarved(const BudgetAmounts& amounts) {
  carved_ = carved_ + amounts;
}

std::string BudgetAccount::Exhausted(const BudgetAmounts& wanted) const {
  for (const Resource& resource : kResources) {
    const int64_t limit = limit_.*resource.amount;
    const bool needed = wanted.*resource.amount != 0;
    if (needed && limit != 0 && used_.*resource.amount >= limit) {
      return absl::StrCat("budget of ", resource.name,
                          " spent: ", used_.*resource.amount, " of ", limit);
    }
  }
  return "";
}

std::string BudgetAccount::Overdrawn() const {
  const BudgetAmounts allocated = Allocated();
  for (const Resource& resource : kResources) {
    const int64_t limit = limit_.*resource.amount;
    if (limit != 0 && allocated.*resource.amount > limit) {
      return absl::StrCat(
          "budget of ", resource.name, " has no room for another ",
          "attempt: ", allocated.*resource.amount, " of ", limit);
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

BudgetAmounts BudgetAccount::Allocated() const {
  return used_ + reserved_ + carved_;
}

}  // namespace hawthorn::programs

#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <string>

#include "ledger.pb.h"

namespace hawthorn::programs {

/// Slices of the organisations' daily limits that this zone may spend. A zone
/// that is partitioned from the others spends only what it was granted.
class OrganisationSlices {
 public:
  /// Amounts of one call and which of them are limited.
  struct Spending {
    int64_t tokens = 0;
    int64_t cost = 0;
    bool limited_tokens = false;
    bool limited_cost = false;

    auto operator<=>(const Spending&) const = default;
  };

  /// Adds a slice for the day of `now_ms`. Verdicts: accepted; recorded if the
  /// grant was added before; expired if its day is over; invalid.
  schema::LedgerReply Grant(const schema::GrantSlice& grant, int64_t now_ms);

  /// Reserves from the day's slices. Returns an empty string, or the reason for
  /// a refusal.
  std::string Reserve(const std::string& organisation, const Spending& amounts,
                      int64_t now_ms);

  /// Returns a reason if use and reservations exceed the slices of the limited
  /// amounts, otherwise an empty string.
  std::string Overdrawn(const std::string& organisation, bool tokens, bool cost,
                        int64_t now_ms);

  /// Replaces a reservation by the actual use, on the day of `now_ms`.
  void Settle(const std::string& organisation, const Spending& reserved,
              const Spending& used, int64_t now_ms);

  /// Account of one organisation; all zero if it has none.
  schema::SnapshotOrganisation Find(const std::string& organisation) const;

  void WriteTo(schema::LedgerSnapshot* snapshot) const;
  void ReadFrom(const schema::LedgerSnapshot& snapshot);

 private:
  struct Account {
    int64_t day = 0;
    int64_t granted_tokens = 0;
    int64_t granted_cost = 0;
    int64_t used_tokens = 0;
    int64_t used_cost = 0;
    int64_t reserved_tokens = 0;
    int64_t reserved_cost = 0;
    absl::btree_set<std::string> grants;
  };

  /// Account of the organisation, reset if its day is not that of `now_ms`.
  Account& AccountOfDay(const std::string& organisation, int64_t now_ms);

  absl::btree_map<std::string, Account> accounts_;
};

/// Length of a calendar day in UTC, in milliseconds.
inline constexpr int64_t kDayMs = 86'400'000;

/// Time until the next calendar day in UTC, in milliseconds.
int64_t UntilNextDayMs(int64_t now_ms);

}  // namespace hawthorn::programs

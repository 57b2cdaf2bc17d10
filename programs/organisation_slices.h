#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <string>

#include "ledger.pb.h"

namespace hawthorn::programs {

/// Parts of the organisations' daily limits that this zone may spend. A zone
/// that is cut off spends what it was granted and no more.
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

  /// Adds a slice for the day of `now_ms`. Verdicts: accepted, recorded for a
  /// grant that was seen, expired for a day that is over, invalid.
  schema::LedgerReply Grant(const schema::GrantSlice& grant, int64_t now_ms);

  /// Reserves from the slices of the day. Returns an empty text, or the reason
  /// of a refusal.
  std::string Reserve(const std::string& organisation, const Spending& amounts,
                      int64_t now_ms);

  /// Reason if use and reservations exceed the slices of the limited kinds;
  /// empty otherwise.
  std::string Overdrawn(const std::string& organisation, bool tokens, bool cost,
                        int64_t now_ms);

  /// Replaces a reservation by the true use, on the day of `now_ms`.
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

  Account& OfDay(const std::string& organisation, int64_t now_ms);

  absl::btree_map<std::string, Account> accounts_;
};

/// Milliseconds of a calendar day.
inline constexpr int64_t kDayMs = 86'400'000;

/// Time until the next calendar day in UTC, in milliseconds.
int64_t UntilNextDayMs(int64_t now_ms);

}  // namespace hawthorn::programs

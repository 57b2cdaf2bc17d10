#include "programs/organisation_slices.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "programs/reply.h"

namespace hawthorn::programs {

int64_t UntilNextDayMs(int64_t now_ms) { return kDayMs - now_ms % kDayMs; }

schema::LedgerReply OrganisationSlices::Grant(const schema::GrantSlice& grant,
                                              int64_t now_ms) {
  const int64_t today = now_ms / kDayMs;
  if (grant.organisation().empty() || grant.grant().empty() ||
      grant.tokens() < 0 || grant.cost() < 0 || grant.day() > today) {
    return detail::MakeReply(schema::VERDICT_INVALID,
                             "a grant needs organisation, id, day and amounts");
  }
  if (grant.day() != today) {
    return detail::MakeReply(schema::VERDICT_EXPIRED,
                             absl::StrCat("the day of the zone is ", today));
  }
  Account& account = AccountOfDay(grant.organisation(), now_ms);
  if (!account.grants.insert(grant.grant()).second) {
    return detail::MakeReply(schema::VERDICT_RECORDED);
  }
  account.granted_tokens += grant.tokens();
  account.granted_cost += grant.cost();
  return detail::MakeReply(schema::VERDICT_ACCEPTED);
}

std::string OrganisationSlices::Reserve(const std::string& organisation,
                                        const Spending& amounts,
                                        int64_t now_ms) {
  Account& account = AccountOfDay(organisation, now_ms);
  const int64_t tokens =
      account.granted_tokens - account.used_tokens - account.reserved_tokens;
  if (amounts.limited_tokens && (tokens <= 0 || amounts.tokens > tokens)) {
    return absl::StrCat("organisation's tokens in this zone: ", amounts.tokens,
                        " asked, ", tokens, " left");
  }
  const int64_t cost =
      account.granted_cost - account.used_cost - account.reserved_cost;
  if (amounts.limited_cost && (cost <= 0 || amounts.cost > cost)) {
    return absl::StrCat("organisation's cost in this zone: ", amounts.cost,
                        " asked, ", cost, " left");
  }
  account.reserved_tokens += amounts.tokens;
  account.reserved_cost += amounts.cost;
  return "";
}

std::string OrganisationSlices::Overdrawn(const std::string& organisation,
                                          bool tokens, bool cost,
                                          int64_t now_ms) {
  const Account& account = AccountOfDay(organisation, now_ms);
  const bool over_tokens =
      account.used_tokens + account.reserved_tokens > account.granted_tokens;
  const bool over_cost =
      account.used_cost + account.reserved_cost > account.granted_cost;
  if ((tokens && over_tokens) || (cost && over_cost)) {
    return "the organisation's slice in this zone is spent";
  }
  return "";
}

void OrganisationSlices::Settle(const std::string& organisation,
                                const Spending& reserved, const Spending& used,
                                int64_t now_ms) {
  Account& account = AccountOfDay(organisation, now_ms);
  account.reserved_tokens -= reserved.tokens;
  account.reserved_cost -= reserved.cost;
  account.used_tokens += used.tokens;
  account.used_cost += used.cost;
}

schema::SnapshotOrganisation OrganisationSlices::Find(
    const std::string& organisation) const {
  schema::SnapshotOrganisation result;
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end()) {
    return result;
  }
  const Account& account = it->second;
  result.set_organisation(organisation);
  result.set_day(account.day);
  result.set_granted_tokens(account.granted_tokens);
  result.set_granted_cost(account.granted_cost);
  result.set_used_tokens(account.used_tokens);
  result.set_used_cost(account.used_cost);
  result.set_reserved_tokens(account.reserved_tokens);
  result.set_reserved_cost(account.reserved_cost);
  for (const std::string& grant : account.grants) {
    result.add_grants(grant);
  }
  return result;
}

void OrganisationSlices::WriteTo(schema::LedgerSnapshot* snapshot) const {
  for (const auto& [organisation, account] : accounts_) {
    *snapshot->add_organisations() = Find(organisation);
  }
}

void OrganisationSlices::ReadFrom(const schema::LedgerSnapshot& snapshot) {
  accounts_.clear();
  for (const schema::SnapshotOrganisation& it : snapshot.organisations()) {
    Account& account = accounts_[it.organisation()];
    account.day = it.day();
    account.granted_tokens = it.granted_tokens();
    account.granted_cost = it.granted_cost();
    account.used_tokens = it.used_tokens();
    account.used_cost = it.used_cost();
    account.reserved_tokens = it.reserved_tokens();
    account.reserved_cost = it.reserved_cost();
    account.grants.insert(it.grants().begin(), it.grants().end());
  }
}

OrganisationSlices::Account& OrganisationSlices::AccountOfDay(
    const std::string& organisation, int64_t now_ms) {
  Account& account = accounts_[organisation];
  const int64_t today = now_ms / kDayMs;
  if (account.day == today) {
    return account;
  }
  // The reservations of calls that are still in flight are carried over
  // midnight.
  Account next;
  next.day = today;
  next.reserved_tokens = account.reserved_tokens;
  next.reserved_cost = account.reserved_cost;
  account = std::move(next);
  return account;
}

}  // namespace hawthorn::programs

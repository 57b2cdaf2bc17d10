#include "control/group_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

#include "control/reply.h"
#include "settings/rule_check.h"

namespace hawthorn::control {
namespace {

constexpr int kMaxVoters = 9;
constexpr size_t kMaxGroups = 256;
// Maximum length of a group name: "ledger/" and the id of a zone.
constexpr size_t kMaxGroupNameBytes = 72;

bool IsGroupName(const std::string& name) {
  constexpr std::string_view kLedgerPrefix = "ledger/";
  if (name.size() > kMaxGroupNameBytes) {
    return false;
  }
  return name == "control" ||
         (name.starts_with(kLedgerPrefix) &&
          settings::IsId(name.substr(kLedgerPrefix.size())));
}

bool HasVoter(const schema::GroupRecord& record,
              const schema::GroupVoter& voter) {
  const auto& voters = record.voters();
  return std::any_of(voters.begin(), voters.end(), [&](const auto& it) {
    return it.instance() == voter.instance() &&
           it.identity() == voter.identity();
  });
}

// Number of voters of `a` that are not in `b`.
int CountMissing(const schema::GroupRecord& a, const schema::GroupRecord& b) {
  return static_cast<int>(
      std::count_if(a.voters().begin(), a.voters().end(),
                    [&](const auto& it) { return !HasVoter(b, it); }));
}

std::string ValidateVoters(const schema::GroupRecord& record) {
  if (record.voters().empty() || record.voters_size() > kMaxVoters) {
    return absl::StrCat("a group has 1 to ", kMaxVoters, " voters");
  }
  std::set<std::string> instances;
  std::set<uint64_t> identities;
  for (const schema::GroupVoter& it : record.voters()) {
    if (!settings::IsId(it.instance()) || it.identity() == 0) {
      return "a voter needs an instance and an identity";
    }
    if (!instances.insert(it.instance()).second ||
        !identities.insert(it.identity()).second) {
      return absl::StrCat("voter '", it.instance(), "' stands twice");
    }
  }
  return "";
}

}  // namespace

std::string GroupTable::Validate(const schema::GroupRecord& record,
                                 const schema::GroupRecord* old) const {
  std::string problem = ValidateVoters(record);
  if (!problem.empty() || old == nullptr) {
    return problem;
  }
  const bool is_new_epoch = record.epoch() == old->epoch() + 1;
  if (record.epoch() != old->epoch() && !is_new_epoch) {
    return absl::StrCat("the epoch is ", old->epoch(),
                        " and rises by one at a time");
  }
  if (!is_new_epoch &&
      (CountMissing(record, *old) > 1 || CountMissing(*old, record) > 1)) {
    return "one voter changes at a time";
  }
  for (const schema::GroupVoter& it : record.voters()) {
    const bool is_new = it.identity() > old->highest_identity() &&
                        it.identity() <= last_identity_;
    if (!HasVoter(*old, it) && !is_new) {
      return absl::StrCat("identity ", it.identity(), " of '", it.instance(),
                          "' was not allocated after the group's last one");
    }
  }
  return "";
}

schema::ControlReply GroupTable::Change(const schema::ChangeGroup& change) {
  const schema::GroupRecord& record = change.record();
  if (!IsGroupName(record.group())) {
    return detail::RefuseInvalid("a group is 'control' or 'ledger/ZONE'");
  }
  const schema::GroupRecord* old = Find(record.group());
  const uint64_t version = old == nullptr ? 0 : old->version();
  if (change.expected_version() != version) {
    return detail::RefuseConflict(
        absl::StrCat("the group's version is ", version), version);
  }
  if (old == nullptr && groups_.size() >= kMaxGroups) {
    return detail::MakeReply(schema::CONTROL_VERDICT_LIMIT, "too many groups");
  }
  const std::string problem = Validate(record, old);
  if (!problem.empty()) {
    return detail::RefuseInvalid(problem);
  }
  schema::GroupRecord next = record;
  next.set_version(version + 1);
  next.set_highest_identity(old == nullptr ? 0 : old->highest_identity());
  for (const schema::GroupVoter& it : next.voters()) {
    next.set_highest_identity(std::max(next.highest_identity(), it.identity()));
  }
  last_identity_ = std::max(last_identity_, next.highest_identity());
  groups_[record.group()] = std::move(next);
  return detail::Accept(version + 1);
}

schema::ControlReply GroupTable::Allocate(
    const schema::AllocateIdentity& command) {
  if (!settings::IsId(command.instance())) {
    return detail::RefuseInvalid("an identity is allocated for an instance");
  }
  ++last_identity_;
  return detail::Accept(last_identity_);
}

const schema::GroupRecord* GroupTable::Find(const std::string& group) const {
  const auto it = groups_.find(group);
  return it == groups_.end() ? nullptr : &it->second;
}

void GroupTable::Save(schema::ControlSnapshot* snapshot) const {
  for (const auto& [name, record] : groups_) {
    *snapshot->add_groups() = record;
  }
  snapshot->set_last_identity(last_identity_);
}

void GroupTable::Load(const schema::ControlSnapshot& snapshot) {
  groups_.clear();
  for (const schema::GroupRecord& it : snapshot.groups()) {
    groups_.emplace(it.group(), it);
  }
  last_identity_ = snapshot.last_identity();
}

}  // namespace hawthorn::control

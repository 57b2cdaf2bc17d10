// Synchronizes upstream records with other instances.

#include <algorithm>
#include <utility>

#include "membership/upstream_directory.h"

namespace hawthorn::membership {

namespace {

/// Returns whether `a` and `b` are equal in what is exported to other zones.
bool SameExport(const UpstreamRecord& a, const UpstreamRecord& b) {
  UpstreamRecord left = a;
  UpstreamRecord right = b;
  left.load = right.load = {};
  left.slot = right.slot = 0;
  return left == right;
}

}  // namespace

void UpstreamDirectory::Apply(const SetKey& key, uint32_t incarnation,
                              const RecordSetChanges& changes,
                              core::TimePoint now) {
  KnownSet* known = EnsureSet(key, incarnation);
  if (known == nullptr) {
    return;
  }
  for (const VersionedRecord& item : known->set.Apply(changes, now)) {
    updates_.push_back({key, item.set_version});
    Reconcile(item, now);
  }
}

bool UpstreamDirectory::Confirm(const SetKey& key, uint32_t incarnation,
                                uint64_t version, core::TimePoint at) {
  KnownSet* known = EnsureSet(key, incarnation);
  if (known == nullptr) {
    return false;
  }
  known->set.Confirm(version, at);
  return version > known->set.version();
}

void UpstreamDirectory::SetLoad(const core::InstanceId& reporter, uint32_t slot,
                                const UpstreamLoad& load) {
  const auto it = sets_.find({reporter, false});
  if (it != sets_.end() && reporter != self_) {
    it->second.set.SetLoad(slot, load);
  }
}

void UpstreamDirectory::ApplyForwardedRenewal(const PendingRenewal& renewal,
                                              core::TimePoint now) {
  const UpstreamRecord* record = local().set.Find(renewal.upstream);
  if (record == nullptr || record->moved || record->phase == Phase::kGone ||
      record->incarnation != renewal.incarnation) {
    return;
  }
  renewed_at_[renewal.upstream] = now;
  local().set.SetLoad(record->slot, renewal.load);
}

std::vector<PendingRenewal> UpstreamDirectory::TakePendingRenewals(
    const core::InstanceId& reporter) {
  const auto it = pending_renewals_.find(reporter);
  if (it == pending_renewals_.end()) {
    return {};
  }
  std::vector<PendingRenewal> renewals = std::move(it->second);
  pending_renewals_.erase(it);
  return renewals;
}

std::vector<core::InstanceId> UpstreamDirectory::PendingReporters() const {
  std::vector<core::InstanceId> reporters;
  for (const auto& [reporter, renewals] : pending_renewals_) {
    reporters.push_back(reporter);
  }
  return reporters;
}

std::vector<RecordSetUpdate> UpstreamDirectory::TakeUpdates() {
  return std::exchange(updates_, {});
}

void UpstreamDirectory::SetIncarnation(uint32_t incarnation) {
  for (const bool exported : {false, true}) {
    sets_.at({self_, exported}).incarnation = incarnation;
  }
}

void UpstreamDirectory::RefreshExport(core::TimePoint now) {
  RecordSet& exported = sets_.at({self_, true}).set;
  std::map<core::ServiceId, size_t> counts;
  std::map<core::UpstreamId, UpstreamRecord> chosen;
  for (const auto& [key, known] : sets_) {
    if (key.exported) {
      continue;
    }
    for (const auto& [upstream, item] : known.set.records()) {
      const Candidate best = FindBest(upstream, now);
      if (best.record == &item.record && best.confirmed &&
          best.record->phase == Phase::kActive &&
          counts[item.record.service]++ < kExportedPerService) {
        chosen.emplace(upstream, item.record);
      }
    }
  }
  std::vector<UpstreamRecord> changed;
  for (const auto& [upstream, record] : chosen) {
    const UpstreamRecord* current = exported.Find(upstream);
    if (current == nullptr || !SameExport(*current, record)) {
      changed.push_back(record);
    }
  }
  for (const auto& [upstream, item] : exported.records()) {
    if (chosen.contains(upstream) || item.record.moved) {
      continue;
    }
    const Candidate best = FindBest(upstream, now);
    UpstreamRecord record = best.record ? *best.record : item.record;
    record.moved = record.phase == Phase::kActive;
    if (!SameExport(item.record, record)) {
      changed.push_back(record);
    }
  }
  for (UpstreamRecord& record : changed) {
    record.slot = 0;
    exported.Put(record, now);
    updates_.push_back({{self_, true}, exported.version()});
  }
}

const KnownSet* UpstreamDirectory::FindSet(const SetKey& key) const {
  const auto it = sets_.find(key);
  return it == sets_.end() ? nullptr : &it->second;
}

void UpstreamDirectory::Reconcile(const VersionedRecord& item,
                                  core::TimePoint now) {
  const UpstreamRecord& winner = item.record;
  const UpstreamRecord* local_record = local().set.Find(winner.upstream);
  if (winner.moved || local_record == nullptr || local_record->moved ||
      winner.reporter == self_ || !Supersedes(winner, *local_record)) {
    return;
  }
  UpstreamRecord lost = *local_record;
  if (winner.phase == Phase::kGone && lost.phase == Phase::kActive &&
      RemainingLease(lost.upstream, now).count() > 0) {
    ReannounceLocal(lost, winner, now);
    return;
  }
  lost.moved = true;
  renewed_at_.erase(lost.upstream);
  local().set.Put(lost, now);
  updates_.push_back({{self_, false}, local().set.version()});
}

void UpstreamDirectory::ReannounceLocal(const UpstreamRecord& lost,
                                        const UpstreamRecord& winner,
                                        core::TimePoint now) {
  UpstreamRecord record = lost;
  record.incarnation = winner.incarnation + 1;
  record.version = 1;
  PutLocal(std::move(record), now);
}

KnownSet* UpstreamDirectory::EnsureSet(const SetKey& key,
                                       uint32_t incarnation) {
  if (key.source == self_) {
    return nullptr;
  }
  KnownSet& known = sets_[key];
  if (incarnation < known.incarnation) {
    return nullptr;
  }
  if (incarnation > known.incarnation) {
    known = KnownSet{.incarnation = incarnation, .set = {}};
  }
  return &known;
}

}  // namespace hawthorn::membership

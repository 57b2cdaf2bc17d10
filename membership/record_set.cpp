#include "membership/record_set.h"

#include <algorithm>

namespace hawthorn::membership {

namespace {

bool IsFinished(const UpstreamRecord& record) {
  return record.moved || record.phase == Phase::kGone;
}

}  // namespace

void RecordSet::Put(const UpstreamRecord& record, core::TimePoint now) {
  ++version_;
  Store({record, version_}, now);
}

void RecordSet::SetLoad(uint32_t slot, const UpstreamLoad& load) {
  const auto it = slots_.find(slot);
  if (it != slots_.end()) {
    records_.at(it->second).record.load = load;
  }
}

std::vector<VersionedRecord> RecordSet::Apply(const RecordSetChanges& changes,
                                              core::TimePoint now) {
  if (changes.version <= version_) {
    return {};
  }
  if (changes.full) {
    records_.clear();
    slots_.clear();
    finished_at_.clear();
    version_ = 0;
    pruned_version_ = changes.since;
  }
  std::vector<VersionedRecord> fresh;
  for (const VersionedRecord& item : changes.records) {
    // All changes up to `version_` are known, so an older one is outdated, even
    // if its record has been removed.
    if (item.set_version > version_ && Store(item, now)) {
      fresh.push_back(item);
    }
  }
  if (changes.full || changes.since <= version_) {
    version_ = std::max(version_, changes.version);
  }
  AdvanceConfirmation();
  return fresh;
}

RecordSetChanges RecordSet::ChangesSince(uint64_t since,
                                         size_t max_records) const {
  RecordSetChanges changes;
  changes.full = since < pruned_version_;
  changes.since = changes.full ? pruned_version_ : since;
  const uint64_t after = changes.full ? 0 : since;
  for (const auto& [upstream, item] : records_) {
    if (item.set_version > after && item.set_version <= version_) {
      changes.records.push_back(item);
    }
  }
  std::ranges::sort(changes.records, {}, &VersionedRecord::set_version);
  changes.version = version_;
  if (!changes.full && changes.records.size() > max_records) {
    changes.records.resize(max_records);
    changes.version = changes.records.back().set_version;
  }
  return changes;
}

void RecordSet::Confirm(uint64_t version, core::TimePoint at) {
  if (!latest_confirmation_ || at > latest_confirmation_->at) {
    latest_confirmation_ = Confirmation{version, at};
  }
  if (version <= version_) {
    confirmed_at_ = std::max(confirmed_at_, at);
  }
}

void RecordSet::Prune(core::TimePoint now) {
  std::erase_if(finished_at_, [&](const auto& entry) {
    const auto& [upstream, at] = entry;
    if (now - at < kForgetAfter) {
      return false;
    }
    const auto it = records_.find(upstream);
    pruned_version_ = std::max(pruned_version_, it->second.set_version);
    slots_.erase(it->second.record.slot);
    records_.erase(it);
    return true;
  });
}

const UpstreamRecord* RecordSet::Find(const core::UpstreamId& upstream) const {
  const auto it = records_.find(upstream);
  return it == records_.end() ? nullptr : &it->second.record;
}

bool RecordSet::Store(const VersionedRecord& item, core::TimePoint now) {
  VersionedRecord& stored = records_[item.record.upstream];
  if (stored.set_version >= item.set_version) {
    return false;
  }
  slots_.erase(stored.record.slot);
  stored = item;
  slots_[item.record.slot] = item.record.upstream;
  if (IsFinished(item.record)) {
    finished_at_.try_emplace(item.record.upstream, now);
  } else {
    finished_at_.erase(item.record.upstream);
  }
  return true;
}

void RecordSet::AdvanceConfirmation() {
  if (latest_confirmation_ && latest_confirmation_->version <= version_) {
    confirmed_at_ = std::max(confirmed_at_, latest_confirmation_->at);
  }
}

}  // namespace hawthorn::membership

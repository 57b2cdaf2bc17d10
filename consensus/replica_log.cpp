#include "consensus/replica_log.h"

#include <algorithm>
#include <utility>

namespace hawthorn::consensus {

ReplicaLog::ReplicaLog(storage::StoredState state, Membership initial) {
  memberships_.push_back({0, std::move(initial)});
  if (state.snapshot) {
    Reset(std::move(state.snapshot));
  }
  for (LogEntry& entry : state.entries) {
    Append(std::move(entry));
  }
}

uint64_t ReplicaLog::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<uint64_t> ReplicaLog::TermAt(uint64_t index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > last_index()) {
    return std::nullopt;
  }
  return At(index).term;
}

const LogEntry& ReplicaLog::At(uint64_t index) const {
  return entries_[index - base_index_ - 1];
}

uint64_t ReplicaLog::FirstIndexOfTerm(uint64_t index) const {
  const uint64_t term = At(index).term;
  while (index > base_index_ + 1 && At(index - 1).term == term) {
    --index;
  }
  return index;
}

void ReplicaLog::Append(LogEntry entry) {
  if (entry.kind == storage::EntryKind::kMembership) {
    memberships_.push_back({entry.index, Membership::Parse(entry.data)});
  }
  entries_.push_back(std::move(entry));
}

void ReplicaLog::TruncateFrom(uint64_t index) {
  entries_.resize(index - base_index_ - 1);
  while (memberships_.back().index >= index) {
    memberships_.pop_back();
  }
}

std::vector<LogEntry> ReplicaLog::Slice(uint64_t index,
                                        size_t max_bytes) const {
  std::vector<LogEntry> out;
  size_t bytes = 0;
  for (; index <= last_index(); ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.data.size();
    if (!out.empty() && bytes > max_bytes) {
      break;
    }
    out.push_back(entry);
  }
  return out;
}

void ReplicaLog::Compact(std::shared_ptr<const Snapshot> snapshot,
                         uint64_t retained) {
  const uint64_t keep_after =
      snapshot->index > retained ? snapshot->index - retained : 0;
  if (keep_after > base_index_) {
    base_term_ = At(keep_after).term;
    const auto n = static_cast<std::ptrdiff_t>(keep_after - base_index_);
    entries_.erase(entries_.begin(), entries_.begin() + n);
    base_index_ = keep_after;
  }
  while (memberships_.size() > 1 && memberships_[1].index <= snapshot->index) {
    memberships_.erase(memberships_.begin());
  }
  snapshot_ = std::move(snapshot);
}

void ReplicaLog::Reset(std::shared_ptr<const Snapshot> snapshot) {
  entries_.clear();
  base_index_ = snapshot->index;
  base_term_ = snapshot->term;
  memberships_.clear();
  memberships_.push_back(
      {snapshot->index, Membership::Parse(snapshot->membership)});
  snapshot_ = std::move(snapshot);
}

const Membership& ReplicaLog::MembershipAt(uint64_t index) const {
  const auto it =
      std::find_if(memberships_.rbegin(), memberships_.rend(),
                   [&](const auto& indexed) { return indexed.index <= index; });
  return it == memberships_.rend() ? memberships_.front().value : it->value;
}

}  // namespace hawthorn::consensus

#include "control/revision_history.h"

#include <utility>

namespace hawthorn::control {
namespace {

size_t PatchBytes(const schema::RevisionRecord& record) {
  return record.forward().ByteSizeLong() + record.backward().ByteSizeLong();
}

}  // namespace

void RevisionHistory::Add(schema::RevisionRecord record) {
  patch_bytes_ += PatchBytes(record);
  records_.push_back(std::move(record));
  while (patch_bytes_ > kMaxPatchBytes) {
    schema::RevisionRecord& oldest = records_[without_patches_];
    patch_bytes_ -= PatchBytes(oldest);
    oldest.clear_forward();
    oldest.clear_backward();
    ++without_patches_;
  }
  if (records_.size() <= kMaxRevisions) {
    return;
  }
  patch_bytes_ -= PatchBytes(records_.front());
  records_.pop_front();
  without_patches_ -= without_patches_ > 0 ? 1 : 0;
}

std::optional<std::vector<schema::RevisionRecord>>
RevisionHistory::ChangesAfter(uint64_t revision) const {
  std::vector<schema::RevisionRecord> changes;
  if (records_.empty() || revision >= records_.back().revision()) {
    return changes;
  }
  const uint64_t first = records_.front().revision() + without_patches_;
  if (revision + 1 < first) {
    return std::nullopt;
  }
  const uint64_t skipped = revision + 1 - records_.front().revision();
  changes.assign(records_.begin() + static_cast<std::ptrdiff_t>(skipped),
                 records_.end());
  return changes;
}

schema::ConfigurationUpdate RevisionHistory::UpdateFrom(
    uint64_t revision, const schema::VersionedConfiguration& current) const {
  schema::ConfigurationUpdate update;
  update.set_from_revision(revision);
  if (revision >= current.revision()) {
    return update;
  }
  auto changes = ChangesAfter(revision);
  if (revision == 0 || !changes.has_value() || changes->empty()) {
    *update.mutable_whole() = current;
    return update;
  }
  for (schema::RevisionRecord& it : *changes) {
    it.clear_backward();
    *update.add_changes() = std::move(it);
  }
  return update;
}

void RevisionHistory::Save(schema::ControlSnapshot* snapshot) const {
  for (const schema::RevisionRecord& it : records_) {
    *snapshot->add_history() = it;
  }
}

void RevisionHistory::Load(const schema::ControlSnapshot& snapshot) {
  records_.assign(snapshot.history().begin(), snapshot.history().end());
  patch_bytes_ = 0;
  without_patches_ = 0;
  for (const schema::RevisionRecord& it : records_) {
    patch_bytes_ += PatchBytes(it);
    without_patches_ += it.has_forward() ? 0 : 1;
  }
}

}  // namespace hawthorn::control

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "control.pb.h"

namespace hawthorn::control {

/// The last accepted revisions, each with the patches to it and back from it.
/// Bounded in number and in bytes: the oldest records lose their patches first
/// and are removed later.
class RevisionHistory {
 public:
  /// Maximum number of records.
  static constexpr size_t kMaxRevisions = 1000;
  /// Maximum total size of the patches, in bytes.
  static constexpr size_t kMaxPatchBytes = size_t{4} << 20;

  /// Adds the record of the revision after the last one.
  void Add(schema::RevisionRecord record);

  /// Records from the oldest to the newest.
  const std::deque<schema::RevisionRecord>& records() const { return records_; }

  /// Records of the revisions after `revision`; std::nullopt if one of them no
  /// longer has its patches.
  std::optional<std::vector<schema::RevisionRecord>> ChangesAfter(
      uint64_t revision) const;

  /// Update of an instance from `revision` to `current`, the revision in force:
  /// the changes in between or, if they are not kept or `revision` is 0, the
  /// whole configuration.
  schema::ConfigurationUpdate UpdateFrom(
      uint64_t revision, const schema::VersionedConfiguration& current) const;

  void Save(schema::ControlSnapshot* snapshot) const;
  void Load(const schema::ControlSnapshot& snapshot);

 private:
  std::deque<schema::RevisionRecord> records_;
  size_t patch_bytes_ = 0;
  // Number of the oldest records, without patches.
  size_t without_patches_ = 0;
};

}  // namespace hawthorn::control

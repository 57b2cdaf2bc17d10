#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "control.pb.h"

namespace hawthorn::control {

/// The last accepted revisions with the changes that lead to them and back.
/// Bounded in number and in bytes: the oldest changes lose their content
/// first, later their record.
class RevisionHistory {
 public:
  /// Revisions that are listed.
  static constexpr size_t kMaxRevisions = 1000;
  /// Bytes of all changes together.
  static constexpr size_t kMaxContentBytes = size_t{4} << 20;

  /// Adds the record of the revision after the last one.
  void Add(schema::RevisionRecord record);

  /// Records from the oldest to the youngest.
  const std::deque<schema::RevisionRecord>& records() const { return records_; }

  /// Records of the revisions after `revision`, or nothing if one of them no
  /// longer has its content.
  std::optional<std::vector<schema::RevisionRecord>> ChangesAfter(
      uint64_t revision) const;

  /// What an instance that knows `revision` needs to reach `current`, the
  /// revision in force: the changes in between or, where these are not kept
  /// and for revision 0, the whole.
  schema::ConfigurationUpdate UpdateFrom(
      uint64_t revision, const schema::VersionedConfiguration& current) const;

  void Save(schema::ControlSnapshot* snapshot) const;
  void Load(const schema::ControlSnapshot& snapshot);

 private:
  std::deque<schema::RevisionRecord> records_;
  size_t content_bytes_ = 0;
  // Number of the oldest records whose content was dropped.
  size_t without_content_ = 0;
};

}  // namespace hawthorn::control

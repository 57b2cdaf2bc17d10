#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "membership/upstream_record.h"

// A versioned set of upstream records with one writer, and its copies on
// other instances.
namespace hawthorn::membership {

/// Record with the version of its set at the record's last change.
struct VersionedRecord {
  UpstreamRecord record;
  uint64_t set_version = 0;

  auto operator<=>(const VersionedRecord&) const = default;
};

/// Changes of a set after version `since` up to `version`.
struct RecordSetChanges {
  uint64_t since = 0;
  uint64_t version = 0;
  /// The receiver forgets the set first; `since` is then the version up to
  /// which changes of forgotten records are missing.
  bool full = false;
  std::vector<VersionedRecord> records;

  bool operator==(const RecordSetChanges&) const = default;
};

/// Set of records that one instance writes and others copy. The writer calls
/// Put; a copy calls Apply with changes that it got from any holder. Changes
/// may arrive twice, late or in any order: a version counts as applied only
/// when every change before it has arrived.
class RecordSet {
 public:
  /// Time after which a record that takes no work is forgotten.
  static constexpr std::chrono::seconds kForgetAfter{60};

  /// Writes `record` under the next version.
  void Put(const UpstreamRecord& record, core::TimePoint now);

  /// Stores a load report without a new version; ignored for an unknown slot.
  void SetLoad(uint32_t slot, const UpstreamLoad& load);

  /// Applies changes; returns the records that were new here.
  std::vector<VersionedRecord> Apply(const RecordSetChanges& changes,
                                     core::TimePoint now);

  /// Changes after `since`, oldest first, at most `max_records` of them. When
  /// the changes after `since` are no longer known, all records in full.
  RecordSetChanges ChangesSince(uint64_t since, size_t max_records) const;

  /// Notes that the writer was at `version` at time `at`. The set counts as
  /// confirmed at that time once it holds every change up to `version`.
  void Confirm(uint64_t version, core::TimePoint at);

  /// Forgets records that have taken no work for kForgetAfter.
  void Prune(core::TimePoint now);

  /// Returns the record of `upstream`, or null.
  const UpstreamRecord* Find(const core::UpstreamId& upstream) const;

  /// Version up to which every change is known.
  uint64_t version() const { return version_; }
  /// Latest time at which the writer provably had nothing newer.
  core::TimePoint confirmed_at() const { return confirmed_at_; }
  const std::map<core::UpstreamId, VersionedRecord>& records() const {
    return records_;
  }

 private:
  struct Confirmation {
    uint64_t version = 0;
    core::TimePoint at;
  };

  bool Store(const VersionedRecord& item, core::TimePoint now);
  void AdvanceConfirmation();

  std::map<core::UpstreamId, VersionedRecord> records_;
  std::map<uint32_t, core::UpstreamId> slots_;
  std::map<core::UpstreamId, core::TimePoint> finished_at_;
  uint64_t version_ = 0;
  // Changes up to this version may be missing from `records_`, because the
  // record was forgotten.
  uint64_t pruned_version_ = 0;
  core::TimePoint confirmed_at_;
  std::optional<Confirmation> latest_confirmation_;
};

}  // namespace hawthorn::membership

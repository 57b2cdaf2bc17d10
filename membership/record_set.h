#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "membership/upstream_record.h"

// A versioned set of upstream records with a single writer and copies on other
// instances.
namespace hawthorn::membership {

/// Record with the version of the set at its last change.
struct VersionedRecord {
  UpstreamRecord record;
  uint64_t set_version = 0;

  auto operator<=>(const VersionedRecord&) const = default;
};

/// Changes of a set between the versions `since` and `version`.
struct RecordSetChanges {
  uint64_t since = 0;
  uint64_t version = 0;
  /// The changes contain all records, and the receiver clears its copy first.
  /// `since` is then the version up to which changes of removed records are
  /// missing.
  bool full = false;
  std::vector<VersionedRecord> records;

  bool operator==(const RecordSetChanges&) const = default;
};

/// Set of records that one instance writes and other instances copy. The writer
/// calls Put; a copy calls Apply with changes from the writer or another copy.
/// Changes may be duplicated, delayed or reordered: a version counts as applied
/// only once all earlier changes have arrived.
class RecordSet {
 public:
  /// Time after which a record that is moved or gone is removed.
  static constexpr std::chrono::seconds kForgetAfter{60};

  /// Writes `record` with the next version.
  void Put(const UpstreamRecord& record, core::TimePoint now);

  /// Updates a load without a new version; ignored for an unknown slot.
  void SetLoad(uint32_t slot, const UpstreamLoad& load);

  /// Applies changes; returns the records that changed.
  std::vector<VersionedRecord> Apply(const RecordSetChanges& changes,
                                     core::TimePoint now);

  /// Changes after `since`, oldest first, up to `max_records`. If changes after
  /// `since` were removed, returns all records.
  RecordSetChanges ChangesSince(uint64_t since, size_t max_records) const;

  /// Notes that the writer was at `version` at time `at`. The set is confirmed
  /// for that time once it contains all changes up to `version`.
  void Confirm(uint64_t version, core::TimePoint at);

  /// Removes records that have been moved or gone for kForgetAfter.
  void Prune(core::TimePoint now);

  /// Returns the record of `upstream`, or null.
  const UpstreamRecord* Find(const core::UpstreamId& upstream) const;

  /// Version up to which all changes are known.
  uint64_t version() const { return version_; }
  /// Latest time for which the set is known to be complete.
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
  // Changes up to this version may be missing from `records_`, because their
  // records were removed.
  uint64_t pruned_version_ = 0;
  core::TimePoint confirmed_at_;
  std::optional<Confirmation> latest_confirmation_;
};

}  // namespace hawthorn::membership

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "storage/file_system.h"
#include "storage/log_store.h"

namespace hawthorn::storage {

/// Options of a SegmentStore.
struct SegmentStoreOptions {
  /// Folder that is used only by this replica; created if it does not exist.
  std::string folder;
  /// Size after which a new segment is started, in bytes.
  uint64_t segment_bytes = uint64_t{16} * 1024 * 1024;
  /// Incarnation of a new folder; if it is 0, a random one is generated. The
  /// initial members of a group share one, so that each knows the identities of
  /// the others.
  uint64_t first_incarnation = 0;
};

/// Store in a folder with segment files and a snapshot. Segments contain
/// records with checksums. Each batch is one record, so it is stored completely
/// or not at all. A snapshot is saved in pieces, one with each batch, so that
/// no batch waits for a large one. A lock prevents a second store from using
/// the folder.
class SegmentStore final : public LogStore {
 public:
  /// Version of the folder's format.
  static constexpr int kFormatVersion = 1;

  /// Opens or creates the folder. `files` must outlive the store. Errors:
  /// kConflict if another process uses the folder; kStorage with the file and
  /// the offset if it is corrupt or has another format version.
  static core::Result<std::unique_ptr<SegmentStore>> Open(
      SegmentStoreOptions options, FileSystem* files);

  uint64_t incarnation() const override { return incarnation_; }
  bool durable() const override { return true; }
  core::Result<StoredState> Load() override;
  core::Status Write(const LogBatch& batch) override;

  /// Size of the incomplete last record that Open truncated, in bytes.
  uint64_t truncated_bytes() const { return truncated_bytes_; }
  /// Number of segment files.
  size_t segment_count() const { return segments_.size(); }

 private:
  struct Segment {
    uint64_t number = 0;
    /// Highest index of its entries; 0 if it has none.
    uint64_t last_index = 0;
  };

  /// A snapshot of which only a part is saved.
  struct PendingSnapshot {
    std::shared_ptr<const Snapshot> snapshot;
    std::string name;
    std::unique_ptr<WritableFile> file;
    /// Bytes of the data that are saved.
    size_t written = 0;
  };

  SegmentStore(SegmentStoreOptions options, FileSystem* files)
      : options_(std::move(options)), files_(files) {}

  core::Status PrepareFolder();
  core::Status CheckVersion(bool is_new);
  core::Status LoadIdentity(bool is_new);
  core::Status Recover();
  core::Status RecoverSnapshot(const std::string& name);
  core::Status RecoverSegment(uint64_t number, bool last);
  core::Status Replay(std::string_view payload, const std::string& path,
                      uint64_t offset, Segment* segment);
  core::Status AlignLogWithSnapshot();
  /// Opens an empty file that takes the name `name` once it is published.
  core::Result<std::unique_ptr<WritableFile>> OpenTemporary(
      const std::string& name);
  core::Status PublishTemporary(const std::string& name);
  void RemoveTemporary(const std::string& name);
  core::Status WriteAtomically(const std::string& name,
                               const std::string& content);
  core::Status BeginSnapshot(std::shared_ptr<const Snapshot> snapshot);
  /// Saves the next piece of the pending snapshot, or all of it. Once it is
  /// complete, it takes the place of the previous one.
  core::Status ContinueSnapshot(bool to_end);
  void AbandonSnapshot();
  core::Status AppendRecord(const LogBatch& batch);
  core::Status OpenSegment(uint64_t number);
  void RemoveObsolete();
  std::string PathOf(const std::string& name) const;

  SegmentStoreOptions options_;
  FileSystem* files_;
  std::shared_ptr<void> lock_;
  uint64_t incarnation_ = 0;
  StoredState state_;
  std::vector<Segment> segments_;
  std::unique_ptr<WritableFile> file_;
  uint64_t file_size_ = 0;
  uint64_t snapshot_index_ = 0;
  std::optional<PendingSnapshot> pending_snapshot_;
  std::vector<std::string> old_snapshots_;
  uint64_t truncated_bytes_ = 0;
  /// A failed write left unknown content after file_size_.
  bool has_unsynced_tail_ = false;
};

}  // namespace hawthorn::storage

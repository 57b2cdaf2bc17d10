#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "storage/file_system.h"
#include "storage/log_store.h"

namespace hawthorn::storage {

/// How a SegmentStore lays out its folder.
struct SegmentStoreOptions {
  /// Folder of this replica alone; created if it does not exist.
  std::string folder;
  /// Size after which a new segment is begun, in bytes.
  uint64_t segment_bytes = uint64_t{16} * 1024 * 1024;
  /// Incarnation of a folder that is created; a random one if it is 0. The
  /// founders of a group share one so that each knows the others' identities.
  uint64_t first_incarnation = 0;
};

/// Store in one folder: segment files of checked records, one for each batch,
/// and one snapshot. A batch is one record, so it is stored whole or not at
/// all. The folder is locked against a second store.
class SegmentStore final : public LogStore {
 public:
  /// Version of the folder's layout.
  static constexpr int kFormatVersion = 1;

  /// Opens or creates the folder. `files` outlives the store. kConflict if
  /// another process uses the folder, kStorage with file and offset if it is
  /// corrupt or of another version.
  static core::Result<std::unique_ptr<SegmentStore>> Open(
      SegmentStoreOptions options, FileSystem* files);

  uint64_t incarnation() const override { return incarnation_; }
  bool durable() const override { return true; }
  core::Result<StoredState> Load() override;
  core::Status Write(const LogBatch& batch) override;

  /// Bytes of a torn last record that Open cut off.
  uint64_t truncated_bytes() const { return truncated_bytes_; }
  /// Segment files in use.
  size_t segment_count() const { return segments_.size(); }

 private:
  struct Segment {
    uint64_t number = 0;
    /// Highest index of an entry in it; 0 without entries.
    uint64_t last_index = 0;
  };

  SegmentStore(SegmentStoreOptions options, FileSystem* files)
      : options_(std::move(options)), files_(files) {}

  core::Status Prepare();
  core::Status CheckVersion(bool is_new);
  core::Status LoadIdentity(bool is_new);
  core::Status Recover();
  core::Status RecoverSnapshot(const std::string& name);
  core::Status RecoverSegment(uint64_t number, bool last);
  core::Status Replay(std::string_view payload, const std::string& path,
                      uint64_t offset, Segment* segment);
  core::Status JoinSnapshot();
  core::Status WriteAtomically(const std::string& name,
                               const std::string& content);
  core::Status SaveSnapshot(const Snapshot& snapshot);
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
  std::vector<std::string> old_snapshots_;
  uint64_t truncated_bytes_ = 0;
  /// A failed sync or truncation left the file's content unknown.
  bool broken_ = false;
};

}  // namespace hawthorn::storage

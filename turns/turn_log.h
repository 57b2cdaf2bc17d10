#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "schema/generated/turns.pb.h"
#include "storage/file_system.h"
#include "turns/turn_index.h"

namespace hawthorn::turns {

/// Segment files with the turns of one instance. The functions block; Read may
/// be called from another thread than the others.
class TurnLog {
 public:
  struct Options {
    std::string folder;
    /// The whole deployment starts for the first time, so that nothing can be
    /// missing in a new folder.
    bool first_start = false;
    /// Identity of a folder that is new or has lost records.
    uint64_t new_incarnation = 1;
    size_t segment_bytes = size_t{4} * 1024 * 1024;
  };

  struct Opened {
    uint64_t incarnation = 0;
    /// The folder has everything that it should have.
    bool complete = false;
    std::vector<TurnMeta> turns;
    /// Places where records were damaged and skipped.
    size_t damaged = 0;
  };

  TurnLog(storage::FileSystem& files, Options options);

  /// Opens the folder, creating it if it does not exist. Truncates a torn tail
  /// and skips damaged records; after damage the folder has a new identity and
  /// is not complete.
  core::Result<Opened> Open();
  /// Appends records and syncs them. After an error none of them counts.
  core::Result<std::vector<RecordLocation>> Append(
      const std::vector<std::string>& payloads);
  core::Result<schema::StoredTurn> Read(const RecordLocation& location) const;
  core::Status RemoveSegment(uint32_t segment);
  /// Records durably that nothing is missing.
  core::Status MarkComplete();

 private:
  std::string PathOf(uint32_t segment) const;
  core::Status LoadSegment(uint32_t segment, bool is_last, Opened* out);
  core::Status WriteIdentity(uint64_t incarnation, bool complete);
  core::Status OpenSegment(uint32_t segment);

  storage::FileSystem& files_;
  Options options_;
  std::shared_ptr<void> lock_;
  uint64_t incarnation_ = 0;
  uint32_t active_ = 0;
  std::unique_ptr<storage::WritableFile> file_;
  uint64_t size_ = 0;
};

/// Description of a record for the index.
TurnMeta MetaOf(const schema::StoredTurn& turn, const RecordLocation& location);

}  // namespace hawthorn::turns

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace hawthorn::storage {

/// A file open for appending. Errors have the code kStorage and contain the
/// path and the reason given by the operating system.
class WritableFile {
 public:
  virtual ~WritableFile() = default;

  /// Appends all of `bytes`. After an error, part of them may have been
  /// written.
  virtual core::Status Append(std::string_view bytes) = 0;
  /// Flushes all appended data to the disk.
  virtual core::Status Sync() = 0;
  /// Truncates the file to `size` bytes; later appends start there.
  virtual core::Status Truncate(uint64_t size) = 0;
};

/// Interface to the file operations that a store needs, so that failures can be
/// injected.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  /// Opens `path` for appending, creating it if it does not exist.
  virtual core::Result<std::unique_ptr<WritableFile>> OpenForAppend(
      const std::string& path) = 0;
  virtual core::Result<std::string> ReadAll(const std::string& path) = 0;
  /// Reads `size` bytes from `offset` on; an error if the file ends before.
  virtual core::Result<std::string> ReadAt(const std::string& path,
                                           uint64_t offset, size_t size) = 0;
  /// Names of the files in `folder`, sorted.
  virtual core::Result<std::vector<std::string>> List(
      const std::string& folder) = 0;
  virtual core::Status CreateFolder(const std::string& folder) = 0;
  /// Makes creations, renames and removals in `folder` durable.
  virtual core::Status SyncFolder(const std::string& folder) = 0;
  virtual core::Status Rename(const std::string& from,
                              const std::string& to) = 0;
  virtual core::Status Remove(const std::string& path) = 0;
  /// Takes an exclusive lock, which is released with the returned object.
  /// kConflict if another process or store holds it.
  virtual core::Result<std::shared_ptr<void>> Lock(const std::string& path) = 0;
};

/// File system of the operating system.
class PosixFileSystem final : public FileSystem {
 public:
  core::Result<std::unique_ptr<WritableFile>> OpenForAppend(
      const std::string& path) override;
  core::Result<std::string> ReadAll(const std::string& path) override;
  core::Result<std::string> ReadAt(const std::string& path, uint64_t offset,
                                   size_t size) override;
  core::Result<std::vector<std::string>> List(
      const std::string& folder) override;
  core::Status CreateFolder(const std::string& folder) override;
  core::Status SyncFolder(const std::string& folder) override;
  core::Status Rename(const std::string& from, const std::string& to) override;
  core::Status Remove(const std::string& path) override;
  core::Result<std::shared_ptr<void>> Lock(const std::string& path) override;
};

/// Error with the code kStorage for a failed operation on `path`.
core::Error StorageError(std::string_view operation, const std::string& path,
                         int error_number);

}  // namespace hawthorn::storage

#pragma once

#include <cerrno>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "storage/file_system.h"

namespace hawthorn::turns {

/// Files in memory that lose unsynced bytes in a crash and can run full.
class MemoryFiles final : public storage::FileSystem {
 public:
  struct Content {
    std::string bytes;
    size_t synced = 0;
  };

  core::Result<std::unique_ptr<storage::WritableFile>> OpenForAppend(
      const std::string& path) override {
    return std::unique_ptr<storage::WritableFile>(
        std::make_unique<File>(*this, path));
  }
  core::Result<std::string> ReadAll(const std::string& path) override {
    const auto it = files.find(path);
    if (it == files.end()) {
      return storage::StorageError("open", path, ENOENT);
    }
    return it->second.bytes;
  }
  core::Result<std::string> ReadAt(const std::string& path, uint64_t offset,
                                   size_t size) override {
    const auto it = files.find(path);
    if (it == files.end() || offset + size > it->second.bytes.size()) {
      return storage::StorageError("read", path, ENODATA);
    }
    return it->second.bytes.substr(offset, size);
  }
  core::Result<std::vector<std::string>> List(
      const std::string& folder) override {
    std::vector<std::string> names;
    for (const auto& [path, content] : files) {
      names.push_back(path.substr(folder.size() + 1));
    }
    return names;
  }
  core::Status CreateFolder(const std::string&) override {
    return std::monostate{};
  }
  core::Status SyncFolder(const std::string&) override {
    return std::monostate{};
  }
  core::Status Rename(const std::string& from, const std::string& to) override {
    files[to] = files[from];
    files.erase(from);
    return std::monostate{};
  }
  core::Status Remove(const std::string& path) override {
    files.erase(path);
    return std::monostate{};
  }
  core::Result<std::shared_ptr<void>> Lock(const std::string&) override {
    return std::shared_ptr<void>();
  }

  /// Drops a random part of the bytes that were not synced.
  void Crash(std::mt19937_64& random) {
    for (auto& [path, content] : files) {
      const size_t unsynced = content.bytes.size() - content.synced;
      content.bytes.resize(content.synced + random() % (unsynced + 1));
      content.synced = content.bytes.size();
    }
  }

  std::map<std::string, Content> files;
  /// Bytes that all files together may have.
  size_t capacity = SIZE_MAX;
  bool sync_fails = false;

 private:
  class File final : public storage::WritableFile {
   public:
    File(MemoryFiles& owner, std::string path)
        : owner_(owner), path_(std::move(path)) {
      owner_.files[path_];
    }
    core::Status Append(std::string_view bytes) override {
      size_t used = 0;
      for (const auto& [path, content] : owner_.files) {
        used += content.bytes.size();
      }
      const size_t room = owner_.capacity - std::min(owner_.capacity, used);
      owner_.files[path_].bytes.append(bytes.substr(0, room));
      if (room < bytes.size()) {
        return storage::StorageError("write", path_, ENOSPC);
      }
      return std::monostate{};
    }
    core::Status Sync() override {
      if (owner_.sync_fails) {
        return storage::StorageError("sync", path_, EIO);
      }
      owner_.files[path_].synced = owner_.files[path_].bytes.size();
      return std::monostate{};
    }
    core::Status Truncate(uint64_t size) override {
      Content& content = owner_.files[path_];
      content.bytes.resize(size);
      content.synced = std::min<size_t>(content.synced, size);
      return std::monostate{};
    }

   private:
    MemoryFiles& owner_;
    std::string path_;
  };
};

}  // namespace hawthorn::turns

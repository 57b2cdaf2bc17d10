#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "storage/file_system.h"

namespace hawthorn::test {

/// File system that refuses writes, truncations or syncs while told to, like a
/// faulty disk. Other operations are those of the operating system.
class RefusingFiles final : public storage::FileSystem {
 public:
  struct Refusals {
    /// An append writes half of its bytes before it fails.
    bool appends = false;
    bool truncations = false;
    bool syncs = false;
  };

  void SetRefusals(const Refusals& refusals) {
    const std::lock_guard lock(mutex_);
    refusals_ = refusals;
  }
  /// Number of operations that were refused.
  int refused() const { return refused_; }
  /// Bytes that were appended to any file.
  uint64_t appended_bytes() const { return appended_bytes_; }

  core::Result<std::unique_ptr<storage::WritableFile>> OpenForAppend(
      const std::string& path) override {
    auto opened = files_.OpenForAppend(path);
    if (!core::IsOk(opened)) {
      return core::ErrorOf(opened);
    }
    return std::unique_ptr<storage::WritableFile>(
        std::make_unique<File>(core::TakeValue(std::move(opened)), this));
  }
  core::Result<std::string> ReadAll(const std::string& path) override {
    return files_.ReadAll(path);
  }
  core::Result<std::string> ReadAt(const std::string& path, uint64_t offset,
                                   size_t size) override {
    return files_.ReadAt(path, offset, size);
  }
  core::Result<std::vector<std::string>> List(
      const std::string& folder) override {
    return files_.List(folder);
  }
  core::Status CreateFolder(const std::string& folder) override {
    return files_.CreateFolder(folder);
  }
  core::Status SyncFolder(const std::string& folder) override {
    return Refuse(&Refusals::syncs) ? Error() : files_.SyncFolder(folder);
  }
  core::Status Rename(const std::string& from, const std::string& to) override {
    return files_.Rename(from, to);
  }
  core::Status Remove(const std::string& path) override {
    return files_.Remove(path);
  }
  core::Result<std::shared_ptr<void>> Lock(const std::string& path) override {
    return files_.Lock(path);
  }

 private:
  class File final : public storage::WritableFile {
   public:
    File(std::unique_ptr<storage::WritableFile> file, RefusingFiles* owner)
        : file_(std::move(file)), owner_(owner) {}
    core::Status Append(std::string_view bytes) override {
      if (owner_->Refuse(&Refusals::appends)) {
        file_->Append(bytes.substr(0, bytes.size() / 2));
        return Error();
      }
      owner_->appended_bytes_ += bytes.size();
      return file_->Append(bytes);
    }
    core::Status Sync() override {
      return owner_->Refuse(&Refusals::syncs) ? Error() : file_->Sync();
    }
    core::Status Truncate(uint64_t size) override {
      return owner_->Refuse(&Refusals::truncations) ? Error()
                                                    : file_->Truncate(size);
    }

   private:
    std::unique_ptr<storage::WritableFile> file_;
    RefusingFiles* owner_;
  };

  bool Refuse(bool Refusals::*operation) {
    const std::lock_guard lock(mutex_);
    refused_ += refusals_.*operation ? 1 : 0;
    return refusals_.*operation;
  }
  static core::Status Error() {
    return core::Error{core::ErrorCode::kStorage, "the disk refuses writes",
                       core::Execution::kNotRun, std::nullopt};
  }

  storage::PosixFileSystem files_;
  std::mutex mutex_;
  Refusals refusals_;
  std::atomic<int> refused_ = 0;
  std::atomic<uint64_t> appended_bytes_ = 0;
};

}  // namespace hawthorn::test

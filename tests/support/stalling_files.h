#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "storage/file_system.h"

namespace hawthorn::test {

/// File system whose syncs do not return while it is stalled, like those of a
/// disk that hangs. Other operations are those of the operating system.
class StallingFiles final : public storage::FileSystem {
 public:
  void SetStalled(bool stalled) {
    {
      const std::lock_guard lock(gate_.mutex);
      gate_.stalled = stalled;
    }
    gate_.changed.notify_all();
  }

  core::Result<std::unique_ptr<storage::WritableFile>> OpenForAppend(
      const std::string& path) override {
    auto opened = files_.OpenForAppend(path);
    if (!core::IsOk(opened)) {
      return core::ErrorOf(opened);
    }
    return std::unique_ptr<storage::WritableFile>(
        std::make_unique<File>(core::TakeValue(std::move(opened)), &gate_));
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
    return files_.SyncFolder(folder);
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
  struct Gate {
    std::mutex mutex;
    std::condition_variable changed;
    bool stalled = false;
  };

  class File final : public storage::WritableFile {
   public:
    File(std::unique_ptr<storage::WritableFile> file, Gate* gate)
        : file_(std::move(file)), gate_(gate) {}
    core::Status Append(std::string_view bytes) override {
      return file_->Append(bytes);
    }
    core::Status Sync() override {
      std::unique_lock lock(gate_->mutex);
      gate_->changed.wait(lock, [this] { return !gate_->stalled; });
      return file_->Sync();
    }
    core::Status Truncate(uint64_t size) override {
      return file_->Truncate(size);
    }

   private:
    std::unique_ptr<storage::WritableFile> file_;
    Gate* gate_;
  };

  storage::PosixFileSystem files_;
  Gate gate_;
};

}  // namespace hawthorn::test

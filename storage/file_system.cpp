#include "storage/file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>
#include <utility>

namespace hawthorn::storage {

namespace {

constexpr int kFileMode = 0644;

class PosixFile final : public WritableFile {
 public:
  PosixFile(std::string path, int fd) : path_(std::move(path)), fd_(fd) {}
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;
  ~PosixFile() override { ::close(fd_); }

  core::Status Append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t n = ::write(fd_, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n <= 0) {
        return StorageError("write", path_, n < 0 ? errno : ENOSPC);
      }
      bytes.remove_prefix(static_cast<size_t>(n));
    }
    return std::monostate{};
  }

  core::Status Sync() override {
    if (::fdatasync(fd_) != 0) {
      return StorageError("sync", path_, errno);
    }
    return std::monostate{};
  }

  core::Status Truncate(uint64_t size) override {
    if (::ftruncate(fd_, static_cast<off_t>(size)) != 0) {
      return StorageError("truncate", path_, errno);
    }
    return std::monostate{};
  }

 private:
  std::string path_;
  int fd_;
};

}  // namespace

core::Error StorageError(std::string_view operation, const std::string& path,
                         int error_number) {
  return core::Error{core::ErrorCode::kStorage,
                     std::string(operation) + " of " + path + " failed: " +
                         std::system_category().message(error_number),
                     core::Execution::kNotRun,
                     {}};
}

core::Result<std::unique_ptr<WritableFile>> PosixFileSystem::OpenForAppend(
    const std::string& path) {
  const int flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
  const int fd = ::open(path.c_str(), flags, kFileMode);
  if (fd < 0) {
    return StorageError("open", path, errno);
  }
  return std::unique_ptr<WritableFile>(std::make_unique<PosixFile>(path, fd));
}

core::Result<std::string> PosixFileSystem::ReadAll(const std::string& path) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(
      std::fopen(path.c_str(), "rbe"), &std::fclose);
  if (!file) {
    return StorageError("open", path, errno);
  }
  std::string content;
  std::string buf(size_t{64} * 1024, '\0');
  while (true) {
    const size_t n = std::fread(buf.data(), 1, buf.size(), file.get());
    content.append(buf, 0, n);
    if (n < buf.size()) {
      break;
    }
  }
  if (std::ferror(file.get()) != 0) {
    return StorageError("read", path, errno);
  }
  return content;
}

core::Result<std::string> PosixFileSystem::ReadAt(const std::string& path,
                                                  uint64_t offset,
                                                  size_t size) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    return StorageError("open", path, errno);
  }
  std::string content(size, '\0');
  size_t done = 0;
  int error_number = 0;
  while (done < size && error_number == 0) {
    const ssize_t n = ::pread(fd, content.data() + done, size - done,
                              static_cast<off_t>(offset + done));
    if (n > 0) {
      done += static_cast<size_t>(n);
    } else if (n == 0) {
      error_number = ENODATA;
    } else if (errno != EINTR) {
      error_number = errno;
    }
  }
  ::close(fd);
  if (error_number != 0) {
    return StorageError("read", path, error_number);
  }
  return content;
}

core::Result<std::vector<std::string>> PosixFileSystem::List(
    const std::string& folder) {
  std::error_code ec;
  std::vector<std::string> names;
  for (const auto& item : std::filesystem::directory_iterator(folder, ec)) {
    names.push_back(item.path().filename().string());
  }
  if (ec) {
    return StorageError("list", folder, ec.value());
  }
  std::sort(names.begin(), names.end());
  return names;
}

core::Status PosixFileSystem::CreateFolder(const std::string& folder) {
  std::error_code ec;
  std::filesystem::create_directories(folder, ec);
  if (ec) {
    return StorageError("create", folder, ec.value());
  }
  const std::string parent =
      std::filesystem::absolute(folder).parent_path().string();
  return SyncFolder(parent);
}

core::Status PosixFileSystem::SyncFolder(const std::string& folder) {
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return StorageError("open", folder, errno);
  }
  const int result = ::fsync(fd);
  const int error_number = errno;
  ::close(fd);
  if (result != 0) {
    return StorageError("sync", folder, error_number);
  }
  return std::monostate{};
}

core::Status PosixFileSystem::Rename(const std::string& from,
                                     const std::string& to) {
  if (std::rename(from.c_str(), to.c_str()) != 0) {
    return StorageError("rename", from, errno);
  }
  return std::monostate{};
}

core::Status PosixFileSystem::Remove(const std::string& path) {
  if (::unlink(path.c_str()) != 0) {
    return StorageError("remove", path, errno);
  }
  return std::monostate{};
}

core::Result<std::shared_ptr<void>> PosixFileSystem::Lock(
    const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    return StorageError("open", path, errno);
  }
  if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
    ::close(fd);
    return core::Error{core::ErrorCode::kConflict,
                       path + " is held by another process",
                       core::Execution::kNotRun,
                       {}};
  }
  return std::shared_ptr<void>(nullptr, [fd](void*) { ::close(fd); });
}

}  // namespace hawthorn::storage

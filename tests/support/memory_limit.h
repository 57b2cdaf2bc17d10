#pragma once

#include <sys/resource.h>
#include <unistd.h>

#include <cstddef>
#include <fstream>

namespace hawthorn::test {

/// Limits the address space of the process to what it has now and `extra_bytes`
/// while the object lives. Beyond it, an allocation throws std::bad_alloc.
class MemoryLimit {
 public:
  explicit MemoryLimit(size_t extra_bytes) {
    size_t pages = 0;
    std::ifstream("/proc/self/statm") >> pages;
    getrlimit(RLIMIT_AS, &previous_);
    rlimit limit = previous_;
    limit.rlim_cur =
        pages * static_cast<size_t>(sysconf(_SC_PAGESIZE)) + extra_bytes;
    setrlimit(RLIMIT_AS, &limit);
  }
  ~MemoryLimit() { setrlimit(RLIMIT_AS, &previous_); }
  MemoryLimit(const MemoryLimit&) = delete;
  MemoryLimit& operator=(const MemoryLimit&) = delete;

 private:
  rlimit previous_{};
};

}  // namespace hawthorn::test

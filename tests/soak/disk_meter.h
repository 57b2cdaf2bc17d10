#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

namespace hawthorn::soak {

/// Measures how long this machine takes to sync a file, or to wake a thread, so
/// that its own stalls are not mistaken for faults of the system.
class DiskMeter {
 public:
  explicit DiskMeter(const std::string& folder)
      : descriptor_(open((folder + "/meter").c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)),
        thread_([this] { Run(); }) {}
  DiskMeter(const DiskMeter&) = delete;
  DiskMeter& operator=(const DiskMeter&) = delete;
  ~DiskMeter() {
    stopping_ = true;
    thread_.join();
    close(descriptor_);
  }

  /// Time that a sync takes so far, or that the last one took.
  std::chrono::milliseconds sync_time() const {
    const int64_t began = began_;
    return std::chrono::milliseconds(began != 0 ? NowMs() - began
                                                : last_.load());
  }

 private:
  static constexpr std::chrono::milliseconds kInterval{100};

  static int64_t NowMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }

  void Run() {
    while (!stopping_) {
      const int64_t began = NowMs() + kInterval.count();
      std::this_thread::sleep_for(kInterval);
      began_ = began;
      [[maybe_unused]] const auto n = write(descriptor_, "x", 1);
      fdatasync(descriptor_);
      last_ = NowMs() - began;
      began_ = 0;
    }
  }

  int descriptor_;
  std::atomic<bool> stopping_{false};
  /// Start of the sync that runs; 0 if none does.
  std::atomic<int64_t> began_{0};
  std::atomic<int64_t> last_{0};
  std::thread thread_;
};

}  // namespace hawthorn::soak

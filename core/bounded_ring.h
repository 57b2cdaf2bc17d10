#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace hawthorn::core {

/// Bounded queue between threads. TryPush fails when the ring is full, so that
/// the producer can refuse its own work; an element is never dropped. Safe for
/// several producers and consumers.
template <typename T>
class BoundedRing {
 public:
  /// Creates a ring for `capacity` elements; at least one.
  explicit BoundedRing(size_t capacity)
      : slots_(capacity == 0 ? 1 : capacity) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  /// Appends `value` unless the ring is full or closed. Returns false, and
  /// leaves `value` unchanged, if it is.
  bool TryPush(T&& value) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || size_ == slots_.size()) {
        return false;
      }
      slots_[(head_ + size_) % slots_.size()] = std::move(value);
      ++size_;
    }
    not_empty_.notify_one();
    return true;
  }

  /// Appends `value`, waiting for room. Returns false if the ring is closed.
  bool Push(T&& value) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock, [this] { return closed_ || size_ < slots_.size(); });
      if (closed_) {
        return false;
      }
      slots_[(head_ + size_) % slots_.size()] = std::move(value);
      ++size_;
    }
    not_empty_.notify_one();
    return true;
  }

  /// Removes the oldest element, or returns nothing if the ring is empty.
  std::optional<T> TryPop() {
    const std::lock_guard lock(mutex_);
    return PopLocked();
  }

  /// Waits up to `timeout` for an element. Returns nothing on timeout and
  /// when the ring is closed and empty.
  std::optional<T> Pop(std::chrono::nanoseconds timeout) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_for(lock, timeout, [this] { return size_ > 0 || closed_; });
    return PopLocked();
  }

  /// Refuses further pushes and wakes all waiting producers and consumers.
  /// Elements that are already in the ring can still be popped.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  bool closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

  size_t size() const {
    const std::lock_guard lock(mutex_);
    return size_;
  }

  size_t capacity() const { return slots_.size(); }

 private:
  std::optional<T> PopLocked() {
    if (size_ == 0) {
      return std::nullopt;
    }
    std::optional<T> value(std::move(slots_[head_]));
    slots_[head_] = T();
    head_ = (head_ + 1) % slots_.size();
    --size_;
    not_full_.notify_one();
    return value;
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::vector<T> slots_;
  size_t head_ = 0;
  size_t size_ = 0;
  bool closed_ = false;
};

}  // namespace hawthorn::core

#pragma once

#include <algorithm>
#include <cstddef>

namespace hawthorn::transport {

/// Bytes that an instance buffers for its connections, against a limit. It only
/// counts: owners of buffers decide what to do above the limit. Must outlive
/// its charges; used by one thread.
class BufferBudget {
 public:
  explicit BufferBudget(size_t limit) : limit_(limit) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  size_t used() const { return used_; }
  size_t limit() const { return limit_; }
  /// Largest use since the start.
  size_t peak() const { return peak_; }
  bool IsOver() const { return used_ > limit_; }

 private:
  friend class BufferCharge;

  size_t limit_;
  size_t used_ = 0;
  size_t peak_ = 0;
};

/// What one owner of buffers uses of a budget. Without a budget it counts
/// nothing.
class BufferCharge {
 public:
  explicit BufferCharge(BufferBudget* budget = nullptr) : budget_(budget) {}
  ~BufferCharge() { Set(0); }
  BufferCharge(const BufferCharge&) = delete;
  BufferCharge& operator=(const BufferCharge&) = delete;

  void SetBudget(BufferBudget* budget) {
    const size_t bytes = bytes_;
    Set(0);
    budget_ = budget;
    Set(bytes);
  }
  /// Replaces the number of bytes that the owner buffers.
  void Set(size_t bytes) {
    if (budget_ != nullptr) {
      budget_->used_ += bytes;
      budget_->used_ -= bytes_;
      budget_->peak_ = std::max(budget_->peak_, budget_->used_);
    }
    bytes_ = bytes;
  }
  size_t bytes() const { return bytes_; }
  bool IsOver() const { return budget_ != nullptr && budget_->IsOver(); }

 private:
  BufferBudget* budget_;
  size_t bytes_ = 0;
};

}  // namespace hawthorn::transport

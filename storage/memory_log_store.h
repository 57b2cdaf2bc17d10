#pragma once

#include "storage/log_store.h"

namespace hawthorn::storage {

/// Store of a replica without a disk. Its state is lost when the process ends,
/// so each process must use an incarnation that was never used before.
class MemoryLogStore final : public LogStore {
 public:
  /// `incarnation` must not be 0.
  explicit MemoryLogStore(uint64_t incarnation) : incarnation_(incarnation) {}

  uint64_t incarnation() const override { return incarnation_; }
  bool durable() const override { return false; }
  core::Result<StoredState> Load() override { return StoredState{}; }
  core::Status Write(const LogBatch& /*batch*/) override {
    return std::monostate{};
  }

 private:
  uint64_t incarnation_;
};

/// Random incarnation, never 0.
uint64_t NewIncarnation();

}  // namespace hawthorn::storage

#pragma once

#include <QObject>
#include <functional>
#include <thread>

#include "core/bounded_ring.h"
#include "storage/file_system.h"
#include "turns/turn_disk.h"

namespace hawthorn::turns {

/// Carries out the work of a TurnLog in two threads, one that writes and one
/// that reads, so that a read does not wait for a sync.
class DiskThread final : public TurnDisk {
 public:
  DiskThread(storage::FileSystem& files, TurnLog::Options options);
  /// Finishes the queued work; callbacks that were not called yet are dropped.
  ~DiskThread() override;

  void Open(OpenCallback callback) override;
  void Append(std::vector<std::string> payloads,
              AppendCallback callback) override;
  void Read(std::vector<RecordLocation> locations,
            ReadCallback callback) override;
  void RemoveSegment(uint32_t segment, DoneCallback callback) override;
  void MarkComplete(DoneCallback callback) override;

 private:
  using Job = std::function<void()>;

  /// Jobs that wait for a disk that does not answer; further ones fail.
  static constexpr size_t kCapacity = 4096;

  static void Run(core::BoundedRing<Job>* jobs);
  /// Runs `work` in the thread of `jobs` and passes its result to `callback`.
  template <typename T>
  void Post(core::BoundedRing<Job>* jobs, std::function<core::Result<T>()> work,
            std::function<void(const core::Result<T>&)> callback);

  TurnLog log_;
  /// Receives the results in the owner's thread.
  QObject owner_;
  core::BoundedRing<Job> writes_{kCapacity};
  core::BoundedRing<Job> reads_{kCapacity};
  std::thread writer_;
  std::thread reader_;
};

}  // namespace hawthorn::turns

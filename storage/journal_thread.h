#pragma once

#include <functional>
#include <string>
#include <thread>

#include "core/bounded_ring.h"
#include "core/error.h"
#include "storage/log_store.h"

namespace hawthorn::storage {

/// A batch of a replicated group was written and synced, or could not be.
struct JournalWritten {
  std::string group;
  uint64_t sequence = 0;
  core::Status status;
};

/// Durable writes of replicated groups.
class JournalSink {
 public:
  virtual ~JournalSink() = default;
  /// Writes and syncs `batch`; the outcome comes back as an event. `store`
  /// outlives the journal.
  virtual void Write(const std::string& group, LogStore& store,
                     LogBatch batch) = 0;
};

/// The thread that writes and syncs the batches of replicated groups.
class JournalThread final : public JournalSink {
 public:
  /// Takes outcomes in the journal's thread.
  using EventSink = std::function<void(JournalWritten)>;

  explicit JournalThread(EventSink events);
  ~JournalThread() override;

  void Write(const std::string& group, LogStore& store,
             LogBatch batch) override;

  /// Writes what is queued and ends the thread.
  void Stop();

 private:
  struct Job {
    std::string group;
    LogStore* store = nullptr;
    LogBatch batch;
  };

  /// One batch a group is out at a time, so this bound is never reached.
  static constexpr size_t kCapacity = 1024;

  void Run();

  EventSink events_;
  core::BoundedRing<Job> jobs_{kCapacity};
  std::thread thread_;
};

}  // namespace hawthorn::storage

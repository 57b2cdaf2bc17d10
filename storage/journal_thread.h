#pragma once

#include <functional>
#include <string>
#include <thread>

#include "core/bounded_ring.h"
#include "core/error.h"
#include "storage/log_store.h"

namespace hawthorn::storage {

/// Result of writing and syncing a batch of a replicated group.
struct JournalWritten {
  std::string group;
  uint64_t sequence = 0;
  core::Status status;
};

/// Interface for the durable writes of replicated groups.
class JournalSink {
 public:
  virtual ~JournalSink() = default;
  /// Writes and syncs `batch`; the result is reported as an event. `store` must
  /// outlive the journal.
  virtual void Write(const std::string& group, LogStore& store,
                     LogBatch batch) = 0;
};

/// Thread that writes and syncs the batches of replicated groups.
class JournalThread final : public JournalSink {
 public:
  /// Called with each result, in the journal's thread.
  using EventSink = std::function<void(JournalWritten)>;

  explicit JournalThread(EventSink events);
  ~JournalThread() override;

  void Write(const std::string& group, LogStore& store,
             LogBatch batch) override;

  /// Writes the queued batches and ends the thread.
  void Stop();

 private:
  struct Job {
    std::string group;
    LogStore* store = nullptr;
    LogBatch batch;
  };

  /// Each group has at most one batch in flight, so this limit is never
  /// reached.
  static constexpr size_t kCapacity = 1024;

  void Run();

  EventSink events_;
  core::BoundedRing<Job> jobs_{kCapacity};
  std::thread thread_;
};

}  // namespace hawthorn::storage

#pragma once

#include <functional>
#include <string>
#include <thread>

#include "core/bounded_ring.h"
#include "main/events.h"
#include "main/sinks.h"

namespace hawthorn::main {

/// The thread that writes and syncs the batches of replicated groups.
class JournalThread final : public JournalSink {
 public:
  using EventSink = std::function<void(Event)>;

  explicit JournalThread(EventSink events);
  ~JournalThread() override;

  void Write(const std::string& group, storage::LogStore& store,
             storage::LogBatch batch) override;

  /// Writes what is queued and ends the thread.
  void Stop();

 private:
  struct Job {
    std::string group;
    storage::LogStore* store = nullptr;
    storage::LogBatch batch;
  };

  /// One batch a group is out at a time, so this bound is never reached.
  static constexpr size_t kCapacity = 1024;

  void Run();

  EventSink events_;
  core::BoundedRing<Job> jobs_{kCapacity};
  std::thread thread_;
};

}  // namespace hawthorn::main

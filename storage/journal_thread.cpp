#include "storage/journal_thread.h"

#include <utility>

namespace hawthorn::storage {

namespace {
/// Push and close wake the thread, so the wait may be long.
constexpr std::chrono::hours kLongestWait{1};
}  // namespace

JournalThread::JournalThread(EventSink events) : events_(std::move(events)) {
  thread_ = std::thread([this] { Run(); });
}

JournalThread::~JournalThread() { Stop(); }

void JournalThread::Stop() {
  jobs_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void JournalThread::Write(const std::string& group, LogStore& store,
                          LogBatch batch) {
  Job job{group, &store, std::move(batch)};
  const uint64_t sequence = job.batch.sequence;
  if (!jobs_.TryPush(std::move(job))) {
    events_(JournalWritten{group, sequence,
                           core::Error{core::ErrorCode::kOverloaded,
                                       "the journal is full or closed",
                                       core::Execution::kNotRun,
                                       {}}});
  }
}

void JournalThread::Run() {
  while (true) {
    auto job = jobs_.Pop(kLongestWait);
    if (!job) {
      if (jobs_.closed()) {
        return;
      }
      continue;
    }
    const core::Status status = job->store->Write(job->batch);
    events_(JournalWritten{job->group, job->batch.sequence, status});
  }
}

}  // namespace hawthorn::storage

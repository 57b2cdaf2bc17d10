#include "turns/disk_thread.h"

#include <memory>
#include <utility>

namespace hawthorn::turns {

namespace {

/// Push and close wake the thread, so the wait may be long.
constexpr std::chrono::hours kLongestWait{1};

core::Error Overloaded() {
  return {core::ErrorCode::kOverloaded,
          "too much work waits for the disk",
          core::Execution::kNotRun,
          {}};
}

}  // namespace

DiskThread::DiskThread(storage::FileSystem& files, TurnLog::Options options)
    : log_(files, std::move(options)),
      writer_([this] { Run(&writes_); }),
      reader_([this] { Run(&reads_); }) {}

DiskThread::~DiskThread() {
  writes_.Close();
  reads_.Close();
  writer_.join();
  reader_.join();
}

void DiskThread::Run(core::BoundedRing<Job>* jobs) {
  while (true) {
    const auto job = jobs->Pop(kLongestWait);
    if (job) {
      (*job)();
    } else if (jobs->closed()) {
      return;
    }
  }
}

template <typename T>
void DiskThread::Post(core::BoundedRing<Job>* jobs,
                      std::function<core::Result<T>()> work,
                      std::function<void(const core::Result<T>&)> callback) {
  const auto deliver = [this, callback = std::move(callback)](
                           std::shared_ptr<core::Result<T>> result) {
    QMetaObject::invokeMethod(
        &owner_, [callback, result = std::move(result)] { callback(*result); },
        Qt::QueuedConnection);
  };
  const bool queued = jobs->TryPush([work = std::move(work), deliver] {
    deliver(std::make_shared<core::Result<T>>(work()));
  });
  if (!queued) {
    deliver(std::make_shared<core::Result<T>>(Overloaded()));
  }
}

void DiskThread::Open(OpenCallback callback) {
  Post<TurnLog::Opened>(
      &writes_, [this] { return log_.Open(); }, std::move(callback));
}

void DiskThread::Append(std::vector<std::string> payloads,
                        AppendCallback callback) {
  Post<std::vector<RecordLocation>>(
      &writes_,
      [this, payloads = std::move(payloads)] { return log_.Append(payloads); },
      std::move(callback));
}

void DiskThread::Read(std::vector<RecordLocation> locations,
                      ReadCallback callback) {
  Post<std::vector<schema::StoredTurn>>(
      &reads_,
      [this, locations = std::move(locations)]()
          -> core::Result<std::vector<schema::StoredTurn>> {
        std::vector<schema::StoredTurn> turns;
        turns.reserve(locations.size());
        for (const RecordLocation& it : locations) {
          auto turn = log_.Read(it);
          if (!core::IsOk(turn)) {
            return core::ErrorOf(turn);
          }
          turns.push_back(core::TakeValue(std::move(turn)));
        }
        return turns;
      },
      std::move(callback));
}

void DiskThread::RemoveSegment(uint32_t segment, DoneCallback callback) {
  Post<std::monostate>(
      &writes_, [this, segment] { return log_.RemoveSegment(segment); },
      std::move(callback));
}

void DiskThread::MarkComplete(DoneCallback callback) {
  Post<std::monostate>(
      &writes_, [this] { return log_.MarkComplete(); }, std::move(callback));
}

}  // namespace hawthorn::turns

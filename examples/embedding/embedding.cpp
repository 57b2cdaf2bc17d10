// Example program that embeds the replicated log: a persistent counter in a
// group with a single voter.
// Usage: embedding FOLDER. Prints the counter after one increment.
#include <cstdio>
#include <string>
#include <string_view>
#include <utility>

#include "consensus/group.h"
#include "core/clock.h"
#include "storage/segment_store.h"

namespace {

namespace consensus = hawthorn::consensus;
namespace core = hawthorn::core;
namespace storage = hawthorn::storage;

/// State machine that counts its commands and replies with the new count.
class Counter {
 public:
  std::string Apply(uint64_t /*index*/, std::string_view /*command*/) {
    ++count_;
    return std::to_string(count_);
  }
  std::string Snapshot() const { return std::to_string(count_); }
  core::Status Restore(std::string_view bytes) {
    count_ = std::stoull(std::string(bytes));
    return std::monostate{};
  }

 private:
  uint64_t count_ = 0;
};

int Fail(const core::Error& error) {
  std::fprintf(stderr, "%s\n", error.message.c_str());
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: embedding FOLDER\n");
    return 2;
  }
  const core::SystemClock clock;
  storage::PosixFileSystem files;
  auto opened = storage::SegmentStore::Open({argv[1]}, &files);
  if (!core::IsOk(opened)) {
    return Fail(core::ErrorOf(opened));
  }
  const auto store = core::TakeValue(std::move(opened));

  consensus::GroupOptions options;
  options.replica.id.instance = "alone";
  options.replica.initial_members = {
      {{"alone", store->incarnation()}, true, true}};
  Counter counter;
  auto started = consensus::Group<Counter>::Open(options, store.get(), &counter,
                                                 clock.Now());
  if (!core::IsOk(started)) {
    return Fail(core::ErrorOf(started));
  }
  const auto group = core::TakeValue(std::move(started));
  core::Status status = group->Persist(clock.Now());
  if (!core::IsOk(status)) {
    return Fail(core::ErrorOf(status));
  }

  int result = 1;
  group->Propose(
      "increment",
      [&](const core::Result<std::string>& reply) {
        if (!core::IsOk(reply)) {
          result = Fail(core::ErrorOf(reply));
          return;
        }
        std::printf("%s\n", core::Value(reply).c_str());
        result = 0;
      },
      clock.Now());
  status = group->Persist(clock.Now());
  return core::IsOk(status) ? result : Fail(core::ErrorOf(status));
}

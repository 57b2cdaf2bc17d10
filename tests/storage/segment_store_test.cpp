#include "storage/segment_store.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

namespace hawthorn::storage {
namespace {

/// A temporary folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = "/tmp/hawthorn-store-XXXXXX";
    path_ = ::mkdtemp(pattern.data());
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

LogBatch BatchOf(uint64_t first, uint64_t last, uint64_t term) {
  LogBatch batch;
  batch.hard_state = HardState{term, ReplicaId{"a", 7}};
  for (uint64_t index = first; index <= last; ++index) {
    batch.entries.push_back(LogEntry{index, term, EntryKind::kCommand,
                                     "value " + std::to_string(index)});
  }
  return batch;
}

TEST_CASE("a reopened store returns its entries vote and term") {
  const TemporaryFolder folder;
  PosixFileSystem files;
  uint64_t incarnation = 0;
  {
    auto store = SegmentStore::Open({folder.path()}, &files);
    REQUIRE(core::IsOk(store));
    incarnation = core::Value(store)->incarnation();
    REQUIRE(core::IsOk(core::Value(store)->Write(BatchOf(1, 5, 2))));
    REQUIRE(core::IsOk(core::Value(store)->Write(BatchOf(4, 6, 3))));
  }
  auto store = SegmentStore::Open({folder.path()}, &files);
  REQUIRE(core::IsOk(store));
  REQUIRE(core::Value(store)->incarnation() == incarnation);
  const auto state = core::Value(store)->Load();
  REQUIRE(core::IsOk(state));
  REQUIRE(core::Value(state).hard_state == HardState{3, ReplicaId{"a", 7}});
  REQUIRE(core::Value(state).entries.size() == 6);
  REQUIRE(core::Value(state).entries[2].term == 2);
  REQUIRE(core::Value(state).entries[3].term == 3);
}

TEST_CASE("a second store cannot open a folder in use") {
  const TemporaryFolder folder;
  PosixFileSystem files;
  auto first = SegmentStore::Open({folder.path()}, &files);
  REQUIRE(core::IsOk(first));
  auto second = SegmentStore::Open({folder.path()}, &files);
  REQUIRE_FALSE(core::IsOk(second));
  REQUIRE(core::ErrorOf(second).code == core::ErrorCode::kConflict);
}

}  // namespace
}  // namespace hawthorn::storage

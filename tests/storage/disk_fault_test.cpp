// The store on a disk that refuses writes for some time.
#include <catch2/catch.hpp>
#include <filesystem>
#include <memory>
#include <string>

#include "storage/segment_store.h"
#include "tests/support/refusing_files.h"

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

// Guards against a replica whose journal stays failed after its disk works
// again: a sync or the truncation of a torn record had failed once.
TEST_CASE("a store writes again when its disk does") {
  const TemporaryFolder folder;
  test::RefusingFiles files;
  {
    auto opened = SegmentStore::Open({folder.path()}, &files);
    REQUIRE(core::IsOk(opened));
    SegmentStore& store = *core::Value(opened);
    REQUIRE(core::IsOk(store.Write(BatchOf(1, 3, 2))));
    using Refusals = test::RefusingFiles::Refusals;
    uint64_t next = 4;
    for (const Refusals& refusals :
         {Refusals{true, false, false}, Refusals{true, true, false},
          Refusals{false, false, true}, Refusals{true, true, true}}) {
      files.SetRefusals(refusals);
      CHECK_FALSE(core::IsOk(store.Write(BatchOf(next, next + 5, 2))));
      CHECK_FALSE(core::IsOk(store.Write(BatchOf(next, next + 5, 2))));
      files.SetRefusals({});
      // Shorter than what was refused, which must not remain behind it.
      CHECK(core::IsOk(store.Write(BatchOf(next, next, 3))));
      ++next;
    }
    CHECK(core::IsOk(store.Write(BatchOf(next, next, 3))));
  }
  auto opened = SegmentStore::Open({folder.path()}, &files);
  REQUIRE(core::IsOk(opened));
  CHECK(core::Value(opened)->truncated_bytes() == 0);
  const auto state = core::Value(opened)->Load();
  REQUIRE(core::IsOk(state));
  CHECK(core::Value(state).hard_state.term == 3);
  CHECK(core::Value(state).entries.size() == 8);
}

// Guards against a store that does not open after a loss of power: of two
// segments that were removed, one is there again.
TEST_CASE("a store opens when a removed segment is there again") {
  const TemporaryFolder folder;
  PosixFileSystem files;
  const std::string first = folder.path() + "/segment-00000000000000000001";
  {
    SegmentStoreOptions options{folder.path()};
    options.segment_bytes = 1;
    auto opened = SegmentStore::Open(options, &files);
    REQUIRE(core::IsOk(opened));
    SegmentStore& store = *core::Value(opened);
    for (uint64_t n = 1; n <= 4; ++n) {
      REQUIRE(core::IsOk(store.Write(BatchOf(n, n, 2))));
    }
    REQUIRE(store.segment_count() == 4);
    std::filesystem::copy_file(first, folder.path() + "/copy");
    LogBatch batch = BatchOf(5, 5, 3);
    batch.snapshot =
        std::make_shared<Snapshot>(Snapshot{3, 2, "members", "machine"});
    REQUIRE(core::IsOk(store.Write(batch)));
    REQUIRE_FALSE(std::filesystem::exists(first));
    REQUIRE(store.segment_count() == 2);
  }
  std::filesystem::rename(folder.path() + "/copy", first);
  auto opened = SegmentStore::Open({folder.path()}, &files);
  REQUIRE(core::IsOk(opened));
  const auto state = core::Value(opened)->Load();
  REQUIRE(core::IsOk(state));
  CHECK(core::Value(state).snapshot->index == 3);
  CHECK(core::Value(state).hard_state.term == 3);
  CHECK(core::Value(state).entries.size() == 2);
  CHECK_FALSE(std::filesystem::exists(first));
}

/// A snapshot after the entry `index` that is saved in many pieces.
std::shared_ptr<const Snapshot> LargeSnapshot(uint64_t index) {
  constexpr size_t kBytes = size_t{6} * 1024 * 1024;
  std::string data(kBytes, 'a');
  data.front() = 'b';
  data.back() = 'c';
  return std::make_shared<Snapshot>(
      Snapshot{index, 2, "members", std::move(data)});
}

// Guards against commits that wait until a whole snapshot is on the disk.
TEST_CASE("a batch does not wait for a large snapshot") {
  constexpr uint64_t kMostBytes = uint64_t{300} * 1024;
  const TemporaryFolder folder;
  test::RefusingFiles files;
  const auto snapshot = LargeSnapshot(3);
  const bool completes = GENERATE(true, false);
  const bool is_replaced = GENERATE(false, true);
  uint64_t next = 4;
  {
    auto opened = SegmentStore::Open({folder.path()}, &files);
    REQUIRE(core::IsOk(opened));
    SegmentStore& store = *core::Value(opened);
    REQUIRE(core::IsOk(store.Write(BatchOf(1, 3, 2))));
    if (is_replaced) {
      LogBatch batch = BatchOf(next, next, 2);
      batch.snapshot = LargeSnapshot(1);
      REQUIRE(core::IsOk(store.Write(batch)));
      ++next;
    }
    const size_t batches = completes ? 40 : 10;
    for (size_t n = 0; n < batches; ++n, ++next) {
      LogBatch batch = BatchOf(next, next, 2);
      batch.snapshot = n == 0 ? snapshot : nullptr;
      const uint64_t before = files.appended_bytes();
      REQUIRE(core::IsOk(store.Write(batch)));
      CHECK(files.appended_bytes() - before <= kMostBytes);
    }
  }
  auto opened = SegmentStore::Open({folder.path()}, &files);
  REQUIRE(core::IsOk(opened));
  const auto loaded = core::Value(opened)->Load();
  REQUIRE(core::IsOk(loaded));
  const StoredState& state = core::Value(loaded);
  REQUIRE((state.snapshot != nullptr) == completes);
  CHECK(state.entries.back().index == next - 1);
  CHECK(state.entries.front().index == (completes ? 4 : 1));
  if (completes) {
    CHECK(*state.snapshot == *snapshot);
  }
}

// Guards against a replica that begins with an entry after a snapshot which is
// not on its disk.
TEST_CASE("a snapshot that replaces the log is complete before the batch") {
  const TemporaryFolder folder;
  PosixFileSystem files;
  const auto snapshot = LargeSnapshot(50);
  {
    auto opened = SegmentStore::Open({folder.path()}, &files);
    REQUIRE(core::IsOk(opened));
    SegmentStore& store = *core::Value(opened);
    REQUIRE(core::IsOk(store.Write(BatchOf(1, 3, 2))));
    LogBatch batch = BatchOf(51, 51, 2);
    batch.snapshot = snapshot;
    batch.reset_log = true;
    REQUIRE(core::IsOk(store.Write(batch)));
  }
  auto opened = SegmentStore::Open({folder.path()}, &files);
  REQUIRE(core::IsOk(opened));
  const auto state = core::Value(opened)->Load();
  REQUIRE(core::IsOk(state));
  CHECK(*core::Value(state).snapshot == *snapshot);
  CHECK(core::Value(state).entries.size() == 1);
}

// Guards against a store that stays failed, or that keeps a torn snapshot,
// after the disk refused a piece.
TEST_CASE("a store goes on when a piece of a snapshot is refused") {
  const TemporaryFolder folder;
  test::RefusingFiles files;
  {
    auto opened = SegmentStore::Open({folder.path()}, &files);
    REQUIRE(core::IsOk(opened));
    SegmentStore& store = *core::Value(opened);
    LogBatch batch = BatchOf(1, 3, 2);
    batch.snapshot = LargeSnapshot(2);
    REQUIRE(core::IsOk(store.Write(batch)));
    files.SetRefusals({true, false, true});
    CHECK_FALSE(core::IsOk(store.Write(BatchOf(4, 4, 2))));
    files.SetRefusals({});
    CHECK(core::IsOk(store.Write(BatchOf(4, 4, 2))));
    CHECK(core::IsOk(store.Write(BatchOf(5, 5, 2))));
  }
  auto opened = SegmentStore::Open({folder.path()}, &files);
  REQUIRE(core::IsOk(opened));
  const auto state = core::Value(opened)->Load();
  REQUIRE(core::IsOk(state));
  CHECK(core::Value(state).snapshot == nullptr);
  CHECK(core::Value(state).entries.size() == 5);
}

TEST_CASE("a store does not open without a segment that it needs") {
  const TemporaryFolder folder;
  PosixFileSystem files;
  {
    SegmentStoreOptions options{folder.path()};
    options.segment_bytes = 1;
    auto opened = SegmentStore::Open(options, &files);
    REQUIRE(core::IsOk(opened));
    for (uint64_t n = 1; n <= 4; ++n) {
      REQUIRE(core::IsOk(core::Value(opened)->Write(BatchOf(n, n, 2))));
    }
  }
  std::filesystem::remove(folder.path() + "/segment-00000000000000000002");
  CHECK_FALSE(core::IsOk(SegmentStore::Open({folder.path()}, &files)));
}

}  // namespace
}  // namespace hawthorn::storage

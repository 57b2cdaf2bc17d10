#include "storage/segment_store.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>
#include <utility>

#include "storage/memory_log_store.h"
#include "storage/record.h"

namespace hawthorn::storage {

namespace {

constexpr std::string_view kLockName = "lock";
constexpr std::string_view kFormatName = "format";
constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kSegmentPrefix = "segment-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";
/// Size of the pieces in which a snapshot is saved beside the batches of the
/// log; a larger snapshot takes kMaxSnapshotPieces larger ones.
constexpr size_t kSnapshotPieceBytes = size_t{256} * 1024;
constexpr size_t kMaxSnapshotPieces = 32;

std::string NumberedName(std::string_view prefix, uint64_t number) {
  std::string digits(20, '0');
  std::snprintf(digits.data(), digits.size() + 1, "%020llu",
                static_cast<unsigned long long>(number));  // NOLINT
  return std::string(prefix) + digits;
}

std::optional<uint64_t> NumberOf(std::string_view prefix,
                                 std::string_view name) {
  if (!name.starts_with(prefix)) {
    return std::nullopt;
  }
  name.remove_prefix(prefix.size());
  uint64_t number = 0;
  const auto [end, ec] =
      std::from_chars(name.data(), name.data() + name.size(), number);
  if (ec != std::errc() || end != name.data() + name.size()) {
    return std::nullopt;
  }
  return number;
}

core::Error CorruptionError(const std::string& path, uint64_t offset,
                            const std::string& what) {
  return core::Error{
      core::ErrorCode::kStorage,
      path + " is corrupt at offset " + std::to_string(offset) + ": " + what,
      core::Execution::kNotRun,
      {}};
}

/// Adds an entry of a record to the replayed log. Returns false if entries are
/// missing before it.
bool ReplayEntry(LogEntry entry, std::vector<LogEntry>* log) {
  if (log->empty() || entry.index <= log->front().index) {
    log->clear();
    log->push_back(std::move(entry));
    return true;
  }
  if (entry.index > log->back().index + 1) {
    return false;
  }
  log->resize(entry.index - log->front().index);
  log->push_back(std::move(entry));
  return true;
}

}  // namespace

core::Result<std::unique_ptr<SegmentStore>> SegmentStore::Open(
    SegmentStoreOptions options, FileSystem* files) {
  std::unique_ptr<SegmentStore> store(
      new SegmentStore(std::move(options), files));
  core::Status status = store->PrepareFolder();
  if (core::IsOk(status)) {
    status = store->Recover();
  }
  if (!core::IsOk(status)) {
    return core::ErrorOf(status);
  }
  return store;
}

core::Result<StoredState> SegmentStore::Load() {
  return std::exchange(state_, {});
}

core::Status SegmentStore::Write(const LogBatch& batch) {
  core::Status saved;
  if (batch.snapshot) {
    saved = BeginSnapshot(batch.snapshot);
  }
  if (core::IsOk(saved)) {
    saved = ContinueSnapshot(batch.reset_log);
  }
  if (!core::IsOk(saved)) {
    AbandonSnapshot();
    return saved;
  }
  core::Status appended = AppendRecord(batch);
  if (core::IsOk(appended)) {
    RemoveObsolete();
  }
  return appended;
}

core::Status SegmentStore::PrepareFolder() {
  core::Status status = files_->CreateFolder(options_.folder);
  if (!core::IsOk(status)) {
    return status;
  }
  auto lock = files_->Lock(PathOf(std::string(kLockName)));
  if (!core::IsOk(lock)) {
    return core::ErrorOf(lock);
  }
  lock_ = core::TakeValue(std::move(lock));
  const auto listed = files_->List(options_.folder);
  if (!core::IsOk(listed)) {
    return core::ErrorOf(listed);
  }
  const std::vector<std::string>& names = core::Value(listed);
  const bool is_new =
      std::none_of(names.begin(), names.end(), [](const std::string& name) {
        return name == kFormatName || name.starts_with(kSegmentPrefix) ||
               name.starts_with(kSnapshotPrefix);
      });
  status = LoadIdentity(is_new);
  return core::IsOk(status) ? CheckVersion(is_new) : status;
}

core::Status SegmentStore::CheckVersion(bool is_new) {
  const std::string expected =
      "hawthorn-store " + std::to_string(kFormatVersion) + "\n";
  if (is_new) {
    return WriteAtomically(std::string(kFormatName), expected);
  }
  const std::string path = PathOf(std::string(kFormatName));
  const auto found = files_->ReadAll(path);
  if (!core::IsOk(found)) {
    return core::ErrorOf(found);
  }
  if (core::Value(found) != expected) {
    return CorruptionError(
        path, 0, "not layout version " + std::to_string(kFormatVersion));
  }
  return std::monostate{};
}

core::Status SegmentStore::LoadIdentity(bool is_new) {
  const std::string path = PathOf(std::string(kIdentityName));
  if (is_new) {
    incarnation_ = options_.first_incarnation != 0 ? options_.first_incarnation
                                                   : NewIncarnation();
    return WriteAtomically(std::string(kIdentityName),
                           EncodeRecord(std::to_string(incarnation_)));
  }
  const auto content = files_->ReadAll(path);
  if (!core::IsOk(content)) {
    return core::ErrorOf(content);
  }
  const auto payload = DecodeRecord(core::Value(content), 0);
  const auto number = payload ? NumberOf("", *payload) : std::nullopt;
  if (!number || *number == 0) {
    return CorruptionError(path, 0, "not an identity");
  }
  incarnation_ = *number;
  return std::monostate{};
}

core::Status SegmentStore::Recover() {
  const auto listed = files_->List(options_.folder);
  if (!core::IsOk(listed)) {
    return core::ErrorOf(listed);
  }
  std::vector<uint64_t> numbers;
  std::string snapshot;
  for (const std::string& name : core::Value(listed)) {
    if (name.ends_with(kTemporarySuffix)) {
      files_->Remove(PathOf(name));
    } else if (const auto number = NumberOf(kSegmentPrefix, name)) {
      numbers.push_back(*number);
    } else if (NumberOf(kSnapshotPrefix, name)) {
      if (!snapshot.empty()) {
        old_snapshots_.push_back(snapshot);
      }
      snapshot = name;
    }
  }
  core::Status status;
  if (!snapshot.empty()) {
    status = RecoverSnapshot(snapshot);
  }
  // Removals are not synced, so after a loss of power a removed segment may be
  // there again without its successor.
  size_t first = 0;
  for (size_t i = 1; i < numbers.size(); ++i) {
    first = numbers[i] == numbers[i - 1] + 1 ? first : i;
  }
  for (size_t i = first; i < numbers.size() && core::IsOk(status); ++i) {
    status = RecoverSegment(numbers[i], i + 1 == numbers.size());
  }
  if (core::IsOk(status) && numbers.empty()) {
    status = OpenSegment(1);
  }
  if (core::IsOk(status) && first > 0 &&
      (!state_.snapshot || state_.entries.empty())) {
    return CorruptionError(
        PathOf(NumberedName(kSegmentPrefix, numbers[first] - 1)), 0,
        "the segment is missing");
  }
  if (core::IsOk(status)) {
    status = AlignLogWithSnapshot();
  }
  for (size_t i = 0; i < first && core::IsOk(status); ++i) {
    files_->Remove(PathOf(NumberedName(kSegmentPrefix, numbers[i])));
  }
  return status;
}

core::Status SegmentStore::RecoverSnapshot(const std::string& name) {
  const std::string path = PathOf(name);
  const auto content = files_->ReadAll(path);
  if (!core::IsOk(content)) {
    return core::ErrorOf(content);
  }
  const auto payload = DecodeRecord(core::Value(content), 0);
  schema::StoredSnapshot stored;
  if (!payload || !stored.ParseFromArray(payload->data(),
                                         static_cast<int>(payload->size()))) {
    return CorruptionError(path, 0, "not a snapshot");
  }
  state_.snapshot = std::make_shared<Snapshot>(
      Snapshot{stored.index(), stored.term(), stored.membership(),
               std::move(*stored.mutable_data())});
  snapshot_index_ = stored.index();
  return std::monostate{};
}

core::Status SegmentStore::RecoverSegment(uint64_t number, bool last) {
  const std::string path = PathOf(NumberedName(kSegmentPrefix, number));
  const auto read = files_->ReadAll(path);
  if (!core::IsOk(read)) {
    return core::ErrorOf(read);
  }
  const std::string& content = core::Value(read);
  Segment segment{number, 0};
  uint64_t offset = 0;
  while (offset < content.size()) {
    const auto payload = DecodeRecord(content, offset);
    if (!payload) {
      break;
    }
    core::Status status = Replay(*payload, path, offset, &segment);
    if (!core::IsOk(status)) {
      return status;
    }
    offset += kRecordHeaderBytes + payload->size();
  }
  if (offset < content.size() && (!last || HasRecordAfter(content, offset))) {
    return CorruptionError(path, offset, "a record fails its checksum");
  }
  if (!last) {
    segments_.push_back(segment);
    return std::monostate{};
  }
  core::Status status = OpenSegment(number);
  segments_.back() = segment;
  if (core::IsOk(status) && offset < content.size()) {
    truncated_bytes_ = content.size() - offset;
    status = file_->Truncate(offset);
  }
  file_size_ = offset;
  // The last records may have been written but not synced before a crash.
  return core::IsOk(status) ? file_->Sync() : status;
}

core::Status SegmentStore::Replay(std::string_view payload,
                                  const std::string& path, uint64_t offset,
                                  Segment* segment) {
  schema::StoredBatch batch;
  if (!batch.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
    return CorruptionError(path, offset, "not a batch");
  }
  state_.hard_state.term = batch.term();
  state_.hard_state.voted_for =
      ReplicaId{batch.voted_for().instance(), batch.voted_for().incarnation()};
  if (batch.reset_log()) {
    state_.entries.clear();
  }
  for (schema::LogRecord& record : *batch.mutable_entries()) {
    segment->last_index = std::max(segment->last_index, record.index());
    if (!ReplayEntry(FromProto(std::move(record)), &state_.entries)) {
      return CorruptionError(path, offset, "entries are missing before it");
    }
  }
  return std::monostate{};
}

core::Status SegmentStore::AlignLogWithSnapshot() {
  std::vector<LogEntry>& log = state_.entries;
  if (log.empty()) {
    return std::monostate{};
  }
  if (!state_.snapshot) {
    const bool whole = log.front().index == 1;
    return whole
               ? core::Status()
               : CorruptionError(options_.folder, 0, "the snapshot is missing");
  }
  const uint64_t index = state_.snapshot->index;
  const auto it =
      std::find_if(log.begin(), log.end(),
                   [&](const LogEntry& entry) { return entry.index == index; });
  const bool is_in_log = it != log.end() && it->term == state_.snapshot->term;
  if (is_in_log) {
    log.erase(log.begin(), it + 1);
    return std::monostate{};
  }
  if (log.front().index == index + 1) {
    return std::monostate{};
  }
  if (log.front().index > index) {
    return CorruptionError(
        options_.folder, 0,
        "entries are missing before " + std::to_string(log.front().index));
  }
  // The process ended after it saved a received snapshot and before it wrote
  // the record that resets the log.
  log.clear();
  LogBatch reset;
  reset.hard_state = state_.hard_state;
  reset.reset_log = true;
  return AppendRecord(reset);
}

core::Result<std::unique_ptr<WritableFile>> SegmentStore::OpenTemporary(
    const std::string& name) {
  auto opened =
      files_->OpenForAppend(PathOf(name + std::string(kTemporarySuffix)));
  if (!core::IsOk(opened)) {
    return core::ErrorOf(opened);
  }
  core::Status status = core::Value(opened)->Truncate(0);
  if (!core::IsOk(status)) {
    RemoveTemporary(name);
    return core::ErrorOf(status);
  }
  return opened;
}

core::Status SegmentStore::PublishTemporary(const std::string& name) {
  core::Status status = files_->Rename(
      PathOf(name + std::string(kTemporarySuffix)), PathOf(name));
  return core::IsOk(status) ? files_->SyncFolder(options_.folder) : status;
}

void SegmentStore::RemoveTemporary(const std::string& name) {
  files_->Remove(PathOf(name + std::string(kTemporarySuffix)));
}

core::Status SegmentStore::WriteAtomically(const std::string& name,
                                           const std::string& content) {
  auto opened = OpenTemporary(name);
  if (!core::IsOk(opened)) {
    return core::ErrorOf(opened);
  }
  const std::unique_ptr<WritableFile> file = core::TakeValue(std::move(opened));
  core::Status status = file->Append(content);
  if (core::IsOk(status)) {
    status = file->Sync();
  }
  if (core::IsOk(status)) {
    status = PublishTemporary(name);
  }
  if (!core::IsOk(status)) {
    RemoveTemporary(name);
  }
  return status;
}

core::Status SegmentStore::BeginSnapshot(
    std::shared_ptr<const Snapshot> snapshot) {
  AbandonSnapshot();
  const std::string name = NumberedName(kSnapshotPrefix, snapshot->index);
  auto opened = OpenTemporary(name);
  if (!core::IsOk(opened)) {
    return core::ErrorOf(opened);
  }
  pending_snapshot_ = PendingSnapshot{std::move(snapshot), name,
                                      core::TakeValue(std::move(opened)), 0};
  return pending_snapshot_->file->Append(
      EncodeSnapshotHead(*pending_snapshot_->snapshot));
}

core::Status SegmentStore::ContinueSnapshot(bool to_end) {
  if (!pending_snapshot_) {
    return std::monostate{};
  }
  PendingSnapshot& pending = *pending_snapshot_;
  const std::string_view data = pending.snapshot->data;
  const size_t most =
      to_end ? data.size()
             : std::max(kSnapshotPieceBytes, data.size() / kMaxSnapshotPieces);
  const std::string_view piece = data.substr(pending.written, most);
  core::Status status = pending.file->Append(piece);
  if (core::IsOk(status)) {
    // Each piece by itself, so that the last sync is not a long one.
    status = pending.file->Sync();
  }
  pending.written += piece.size();
  if (!core::IsOk(status) || pending.written < data.size()) {
    return status;
  }
  status = PublishTemporary(pending.name);
  if (!core::IsOk(status)) {
    return status;
  }
  const uint64_t index = pending.snapshot->index;
  pending_snapshot_.reset();
  if (index > snapshot_index_) {
    if (snapshot_index_ != 0) {
      old_snapshots_.push_back(NumberedName(kSnapshotPrefix, snapshot_index_));
    }
    snapshot_index_ = index;
  }
  return status;
}

void SegmentStore::AbandonSnapshot() {
  if (pending_snapshot_) {
    RemoveTemporary(pending_snapshot_->name);
    pending_snapshot_.reset();
  }
}

core::Status SegmentStore::AppendRecord(const LogBatch& batch) {
  if (has_unsynced_tail_) {
    // A later sync may report success although pages of the failed one are
    // lost, so the tail is written again, not synced again.
    core::Status truncated = file_->Truncate(file_size_);
    if (!core::IsOk(truncated)) {
      return truncated;
    }
    has_unsynced_tail_ = false;
  }
  if (file_size_ >= options_.segment_bytes) {
    core::Status rolled = OpenSegment(segments_.back().number + 1);
    if (!core::IsOk(rolled)) {
      return rolled;
    }
  }
  const std::string record = EncodeBatch(batch);
  has_unsynced_tail_ = true;
  core::Status written = file_->Append(record);
  if (core::IsOk(written)) {
    written = file_->Sync();
  }
  if (!core::IsOk(written)) {
    return written;
  }
  has_unsynced_tail_ = false;
  file_size_ += record.size();
  if (batch.reset_log) {
    for (Segment& segment : segments_) {
      segment.last_index = 0;
    }
  }
  if (!batch.entries.empty()) {
    segments_.back().last_index =
        std::max(segments_.back().last_index, batch.entries.back().index);
  }
  return std::monostate{};
}

core::Status SegmentStore::OpenSegment(uint64_t number) {
  auto opened =
      files_->OpenForAppend(PathOf(NumberedName(kSegmentPrefix, number)));
  if (!core::IsOk(opened)) {
    return core::ErrorOf(opened);
  }
  core::Status synced = files_->SyncFolder(options_.folder);
  if (!core::IsOk(synced)) {
    return synced;
  }
  file_ = core::TakeValue(std::move(opened));
  file_size_ = 0;
  segments_.push_back(Segment{number, 0});
  return std::monostate{};
}

void SegmentStore::RemoveObsolete() {
  for (const std::string& name : std::exchange(old_snapshots_, {})) {
    files_->Remove(PathOf(name));
  }
  while (segments_.size() > 1 &&
         segments_.front().last_index <= snapshot_index_) {
    const std::string name =
        NumberedName(kSegmentPrefix, segments_.front().number);
    if (!core::IsOk(files_->Remove(PathOf(name)))) {
      return;
    }
    segments_.erase(segments_.begin());
  }
}

std::string SegmentStore::PathOf(const std::string& name) const {
  return options_.folder + "/" + name;
}

}  // namespace hawthorn::storage

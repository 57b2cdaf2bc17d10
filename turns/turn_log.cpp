#include "turns/turn_log.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "logging/log.h"
#include "storage/record.h"

namespace hawthorn::turns {

namespace {

using logging::Log;
using logging::LogLevel;

constexpr std::string_view kSegmentPrefix = "turns-";
constexpr size_t kSegmentDigits = 8;
constexpr const char* kIdentityName = "identity";
constexpr const char* kNewIdentityName = "identity.new";
constexpr const char* kLockName = "lock";
/// First bytes of a record; see storage/record.h.
constexpr std::string_view kRecordStart = "1LWH";

std::optional<uint32_t> SegmentNumber(std::string_view name) {
  if (!name.starts_with(kSegmentPrefix) ||
      name.size() != kSegmentPrefix.size() + kSegmentDigits) {
    return std::nullopt;
  }
  name.remove_prefix(kSegmentPrefix.size());
  uint32_t number = 0;
  const auto [end, ec] =
      std::from_chars(name.data(), name.data() + name.size(), number);
  return ec == std::errc() && end == name.data() + name.size()
             ? std::optional(number)
             : std::nullopt;
}

/// Offset of the first complete record from `offset` on.
std::optional<uint64_t> FindRecord(std::string_view file, uint64_t offset) {
  for (size_t it = file.find(kRecordStart, offset);
       it != std::string_view::npos; it = file.find(kRecordStart, it + 1)) {
    if (storage::DecodeRecord(file, it)) {
      return it;
    }
  }
  return std::nullopt;
}

/// The identity as "INCARNATION complete" or "INCARNATION partial".
std::string EncodeIdentity(uint64_t incarnation, bool complete) {
  return storage::EncodeRecord(std::to_string(incarnation) +
                               (complete ? " complete" : " partial"));
}

struct Identity {
  uint64_t incarnation = 0;
  bool complete = false;
};

std::optional<Identity> DecodeIdentity(std::string_view file) {
  const auto payload = storage::DecodeRecord(file, 0);
  if (!payload) {
    return std::nullopt;
  }
  Identity identity;
  const auto [end, ec] = std::from_chars(
      payload->data(), payload->data() + payload->size(), identity.incarnation);
  if (ec != std::errc()) {
    return std::nullopt;
  }
  identity.complete = payload->ends_with(" complete");
  return identity;
}

bool Contains(const std::vector<std::string>& names, const char* name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

TurnMeta MetaOf(const schema::StoredTurn& turn,
                const RecordLocation& location) {
  TurnMeta meta;
  meta.key = KeyOf(turn);
  meta.has_previous = !turn.previous().empty();
  if (meta.has_previous) {
    meta.previous = PreviousKeyOf(turn);
  }
  meta.content_hash = ContentHashOf(turn);
  meta.place = PlaceOf(turn.chain_key());
  meta.retention = std::chrono::milliseconds(turn.retention_ms());
  meta.location = location;
  return meta;
}

TurnLog::TurnLog(storage::FileSystem& files, Options options)
    : files_(files), options_(std::move(options)) {}

std::string TurnLog::PathOf(uint32_t segment) const {
  std::string number = std::to_string(segment);
  number.insert(0, kSegmentDigits - std::min(kSegmentDigits, number.size()),
                '0');
  return options_.folder + "/" + std::string(kSegmentPrefix) + number;
}

core::Result<TurnLog::Opened> TurnLog::Open() {
  core::Status status = files_.CreateFolder(options_.folder);
  if (!core::IsOk(status)) {
    return core::ErrorOf(status);
  }
  auto lock = files_.Lock(options_.folder + "/" + kLockName);
  if (!core::IsOk(lock)) {
    return core::ErrorOf(lock);
  }
  lock_ = core::TakeValue(std::move(lock));
  const auto names = files_.List(options_.folder);
  if (!core::IsOk(names)) {
    return core::ErrorOf(names);
  }
  std::vector<uint32_t> segments;
  for (const std::string& name : core::Value(names)) {
    if (const auto number = SegmentNumber(name)) {
      segments.push_back(*number);
    }
  }
  std::optional<Identity> identity;
  if (Contains(core::Value(names), kIdentityName)) {
    const auto file = files_.ReadAll(options_.folder + "/" + kIdentityName);
    if (!core::IsOk(file)) {
      return core::ErrorOf(file);
    }
    identity = DecodeIdentity(core::Value(file));
  }
  Opened opened;
  for (const uint32_t segment : segments) {
    status = LoadSegment(segment, segment == segments.back(), &opened);
    if (!core::IsOk(status)) {
      return core::ErrorOf(status);
    }
  }
  active_ = segments.empty() ? 0 : segments.back();
  if (identity && opened.damaged == 0) {
    opened.incarnation = identity->incarnation;
    opened.complete = identity->complete;
  } else {
    opened.incarnation = options_.new_incarnation;
    opened.complete = !identity && segments.empty() && options_.first_start;
    status = WriteIdentity(opened.incarnation, opened.complete);
    if (!core::IsOk(status)) {
      return core::ErrorOf(status);
    }
  }
  incarnation_ = opened.incarnation;
  return opened;
}

core::Status TurnLog::LoadSegment(uint32_t segment, bool is_last, Opened* out) {
  const std::string path = PathOf(segment);
  const auto content = files_.ReadAll(path);
  if (!core::IsOk(content)) {
    return core::ErrorOf(content);
  }
  const std::string_view file = core::Value(content);
  uint64_t offset = 0;
  while (offset < file.size()) {
    const auto payload = storage::DecodeRecord(file, offset);
    if (!payload) {
      const auto next = FindRecord(file, offset + 1);
      const bool torn = !next && is_last;
      Log(torn ? LogLevel::kWarn : LogLevel::kError,
          torn ? "torn tail of a turn segment truncated"
               : "damaged turn record skipped",
          {{"file", path}, {"offset", std::to_string(offset)}});
      out->damaged += torn ? 0 : 1;
      if (!torn && next) {
        offset = *next;
        continue;
      }
      if (!torn) {
        break;
      }
      auto opened = files_.OpenForAppend(path);
      if (!core::IsOk(opened)) {
        return core::ErrorOf(opened);
      }
      const auto writable = core::TakeValue(std::move(opened));
      core::Status status = writable->Truncate(offset);
      return core::IsOk(status) ? writable->Sync() : status;
    }
    schema::StoredTurn turn;
    const auto size =
        static_cast<uint32_t>(storage::kRecordHeaderBytes + payload->size());
    if (turn.ParseFromArray(payload->data(),
                            static_cast<int>(payload->size())) &&
        turn.format() <= kTurnFormat) {
      out->turns.push_back(
          MetaOf(turn, {segment, static_cast<uint32_t>(offset), size}));
    } else {
      ++out->damaged;
      Log(LogLevel::kError, "unreadable turn record skipped",
          {{"file", path}, {"offset", std::to_string(offset)}});
    }
    offset += size;
  }
  return std::monostate{};
}

core::Status TurnLog::WriteIdentity(uint64_t incarnation, bool complete) {
  const std::string temporary = options_.folder + "/" + kNewIdentityName;
  auto opened = files_.OpenForAppend(temporary);
  if (!core::IsOk(opened)) {
    return core::ErrorOf(opened);
  }
  const auto file = core::TakeValue(std::move(opened));
  core::Status status = file->Truncate(0);
  if (core::IsOk(status)) {
    status = file->Append(EncodeIdentity(incarnation, complete));
  }
  if (core::IsOk(status)) {
    status = file->Sync();
  }
  if (core::IsOk(status)) {
    status = files_.Rename(temporary, options_.folder + "/" + kIdentityName);
  }
  return core::IsOk(status) ? files_.SyncFolder(options_.folder) : status;
}

core::Status TurnLog::OpenSegment(uint32_t segment) {
  auto opened = files_.OpenForAppend(PathOf(segment));
  if (!core::IsOk(opened)) {
    return core::ErrorOf(opened);
  }
  file_ = core::TakeValue(std::move(opened));
  active_ = segment;
  size_ = 0;
  return files_.SyncFolder(options_.folder);
}

core::Result<std::vector<RecordLocation>> TurnLog::Append(
    const std::vector<std::string>& payloads) {
  if (!file_ || size_ >= options_.segment_bytes) {
    file_.reset();
    const core::Status status = OpenSegment(active_ + 1);
    if (!core::IsOk(status)) {
      file_.reset();
      return core::ErrorOf(status);
    }
  }
  std::string bytes;
  std::vector<RecordLocation> locations;
  for (const std::string& payload : payloads) {
    const std::string record = storage::EncodeRecord(payload);
    locations.push_back({active_, static_cast<uint32_t>(size_ + bytes.size()),
                         static_cast<uint32_t>(record.size())});
    bytes += record;
  }
  core::Status status = file_->Append(bytes);
  if (core::IsOk(status)) {
    status = file_->Sync();
  }
  if (core::IsOk(status)) {
    size_ += bytes.size();
    return locations;
  }
  // After a failed sync the kernel may have dropped the pages, so the segment
  // is not used any more. What was written of the batch is removed if possible:
  // its records were not acknowledged.
  const core::Status truncated = file_->Truncate(size_);
  if (!core::IsOk(truncated)) {
    Log(LogLevel::kWarn, "failed turn batch not truncated",
        {{"error", core::ErrorOf(truncated).message}});
  }
  file_.reset();
  return core::ErrorOf(status);
}

core::Result<schema::StoredTurn> TurnLog::Read(
    const RecordLocation& location) const {
  const std::string path = PathOf(location.segment);
  const auto bytes = files_.ReadAt(path, location.offset, location.size);
  if (!core::IsOk(bytes)) {
    return core::ErrorOf(bytes);
  }
  const auto payload = storage::DecodeRecord(core::Value(bytes), 0);
  schema::StoredTurn turn;
  if (!payload || !turn.ParseFromArray(payload->data(),
                                       static_cast<int>(payload->size()))) {
    return core::Error{core::ErrorCode::kStorage,
                       "damaged turn record in " + path + " at " +
                           std::to_string(location.offset),
                       core::Execution::kNotRun,
                       {}};
  }
  return turn;
}

core::Status TurnLog::RemoveSegment(uint32_t segment) {
  return files_.Remove(PathOf(segment));
}

core::Status TurnLog::MarkComplete() {
  return WriteIdentity(incarnation_, true);
}

}  // namespace hawthorn::turns

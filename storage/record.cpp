#include "storage/record.h"

#include <xxhash.h>

#include <array>
#include <cstring>
#include <memory>
#include <utility>

#include "schema/field_header.h"

namespace hawthorn::storage {

namespace {

constexpr uint32_t kRecordMagic = 0x48574c31;
constexpr size_t kChecksummedHeaderBytes = 16;

template <typename T>
void AppendLittleEndian(std::string* out, T value) {
  for (size_t i = 0; i < sizeof(T); ++i) {
    out->push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
  }
}

template <typename T>
T ReadLittleEndian(std::string_view bytes, uint64_t offset) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[offset + i]);
    value |= static_cast<T>(byte) << (8 * i);
  }
  return value;
}

void AppendHeader(size_t payload_size, uint64_t checksum, std::string* out) {
  AppendLittleEndian<uint32_t>(out, kRecordMagic);
  AppendLittleEndian<uint32_t>(out, static_cast<uint32_t>(payload_size));
  AppendLittleEndian<uint64_t>(out, checksum);
  AppendLittleEndian<uint64_t>(out,
                               XXH64(out->data(), kChecksummedHeaderBytes, 0));
}

schema::LogEntryKind ToProto(EntryKind kind) {
  switch (kind) {
    case EntryKind::kEmpty:
      return schema::LOG_ENTRY_KIND_EMPTY;
    case EntryKind::kMembership:
      return schema::LOG_ENTRY_KIND_MEMBERSHIP;
    case EntryKind::kCommand:
      break;
  }
  return schema::LOG_ENTRY_KIND_COMMAND;
}

EntryKind FromProto(schema::LogEntryKind kind) {
  switch (kind) {
    case schema::LOG_ENTRY_KIND_EMPTY:
      return EntryKind::kEmpty;
    case schema::LOG_ENTRY_KIND_MEMBERSHIP:
      return EntryKind::kMembership;
    default:
      return EntryKind::kCommand;
  }
}

}  // namespace

std::string EncodeRecord(std::string_view payload) {
  std::string out;
  out.reserve(kRecordHeaderBytes + payload.size());
  AppendHeader(payload.size(), XXH64(payload.data(), payload.size(), 0), &out);
  out.append(payload);
  return out;
}

std::string EncodeSnapshotHead(const Snapshot& snapshot) {
  // The data is the last field of the message and may be large, so it is not
  // copied into one.
  schema::StoredSnapshot fields;
  fields.set_index(snapshot.index);
  fields.set_term(snapshot.term);
  fields.set_membership(snapshot.membership);
  std::string head = fields.SerializeAsString();
  schema::AppendFieldHeader(schema::StoredSnapshot::kDataFieldNumber,
                            snapshot.data.size(), &head);
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> checksum(
      XXH64_createState(), &XXH64_freeState);
  XXH64_reset(checksum.get(), 0);
  XXH64_update(checksum.get(), head.data(), head.size());
  XXH64_update(checksum.get(), snapshot.data.data(), snapshot.data.size());
  std::string out;
  AppendHeader(head.size() + snapshot.data.size(), XXH64_digest(checksum.get()),
               &out);
  return out + head;
}

std::optional<std::string_view> DecodeRecord(std::string_view file,
                                             uint64_t offset) {
  if (offset + kRecordHeaderBytes > file.size() ||
      ReadLittleEndian<uint32_t>(file, offset) != kRecordMagic) {
    return std::nullopt;
  }
  const uint64_t header_checksum =
      XXH64(file.data() + offset, kChecksummedHeaderBytes, 0);
  const auto size = ReadLittleEndian<uint32_t>(file, offset + 4);
  if (ReadLittleEndian<uint64_t>(file, offset + 16) != header_checksum ||
      offset + kRecordHeaderBytes + size > file.size()) {
    return std::nullopt;
  }
  const std::string_view payload =
      file.substr(offset + kRecordHeaderBytes, size);
  if (XXH64(payload.data(), payload.size(), 0) !=
      ReadLittleEndian<uint64_t>(file, offset + 8)) {
    return std::nullopt;
  }
  return payload;
}

bool HasRecordAfter(std::string_view file, uint64_t offset) {
  std::string magic;
  AppendLittleEndian<uint32_t>(&magic, kRecordMagic);
  size_t position = file.find(magic, offset + 1);
  while (position != std::string_view::npos) {
    if (DecodeRecord(file, position)) {
      return true;
    }
    position = file.find(magic, position + 1);
  }
  return false;
}

std::string EncodeBatch(const LogBatch& batch) {
  schema::StoredBatch out;
  out.set_term(batch.hard_state.term);
  const ReplicaId& vote = batch.hard_state.voted_for;
  if (!vote.empty()) {
    out.mutable_voted_for()->set_instance(vote.instance);
    out.mutable_voted_for()->set_incarnation(vote.incarnation);
  }
  out.set_reset_log(batch.reset_log);
  for (const LogEntry& entry : batch.entries) {
    schema::LogRecord* record = out.add_entries();
    record->set_index(entry.index);
    record->set_term(entry.term);
    record->set_kind(ToProto(entry.kind));
    record->set_data(entry.data);
  }
  return EncodeRecord(out.SerializeAsString());
}

LogEntry FromProto(schema::LogRecord&& record) {
  return LogEntry{record.index(), record.term(), FromProto(record.kind()),
                  std::move(*record.mutable_data())};
}

}  // namespace hawthorn::storage

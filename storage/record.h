#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "schema/generated/consensus.pb.h"
#include "storage/log_store.h"

// Records of a file: a header with its own checksum, then the payload. The
// header holds a mark, the payload's size and checksum, and an xxHash64 of
// all of these, in little-endian order.
namespace hawthorn::storage {

/// Size of a record's header, in bytes.
inline constexpr size_t kRecordHeaderBytes = 24;

/// Payload with its header in front.
std::string EncodeRecord(std::string_view payload);

/// The payload of the record at `offset`; nothing unless a whole record with
/// valid checksums starts there.
std::optional<std::string_view> DecodeRecord(std::string_view file,
                                             uint64_t offset);

/// Whether a whole record with valid checksums starts anywhere after `offset`.
bool HasRecordAfter(std::string_view file, uint64_t offset);

/// Conversions between batches, snapshots and their stored form.
std::string EncodeBatch(const LogBatch& batch);
schema::StoredSnapshot ToProto(const Snapshot& snapshot);
LogEntry FromProto(schema::LogRecord&& record);

}  // namespace hawthorn::storage

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "schema/generated/consensus.pb.h"
#include "storage/log_store.h"

// Format of the records in a file: a header with its own checksum, then the
// payload. The header consists of a magic number, the payload's size and
// checksum, and an xxHash64 of these fields, all little-endian.
namespace hawthorn::storage {

/// Size of a record's header, in bytes.
inline constexpr size_t kRecordHeaderBytes = 24;

/// Returns a record with this payload.
std::string EncodeRecord(std::string_view payload);
/// Returns the beginning of a record that contains `snapshot`: all but its
/// data, which follows as it is.
std::string EncodeSnapshotHead(const Snapshot& snapshot);

/// Payload of the record at `offset`; std::nullopt unless a complete record
/// with valid checksums starts there.
std::optional<std::string_view> DecodeRecord(std::string_view file,
                                             uint64_t offset);

/// Whether a complete record with valid checksums starts after `offset`.
bool HasRecordAfter(std::string_view file, uint64_t offset);

/// Conversions between batches, log entries and their stored form.
std::string EncodeBatch(const LogBatch& batch);
LogEntry FromProto(schema::LogRecord&& record);

}  // namespace hawthorn::storage

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/error.h"
#include "turns/turn_log.h"

namespace hawthorn::turns {

/// Disk of an instance that keeps turns, without blocking. Callbacks are called
/// on the caller's thread, never from within the call that they belong to.
class TurnDisk {
 public:
  using OpenCallback =
      std::function<void(const core::Result<TurnLog::Opened>&)>;
  using AppendCallback =
      std::function<void(const core::Result<std::vector<RecordLocation>>&)>;
  using ReadCallback =
      std::function<void(const core::Result<std::vector<schema::StoredTurn>>&)>;
  using DoneCallback = std::function<void(const core::Status&)>;

  virtual ~TurnDisk() = default;

  virtual void Open(OpenCallback callback) = 0;
  /// Writes and syncs records.
  virtual void Append(std::vector<std::string> payloads,
                      AppendCallback callback) = 0;
  /// Reads records; an error if one of them cannot be read.
  virtual void Read(std::vector<RecordLocation> locations,
                    ReadCallback callback) = 0;
  virtual void RemoveSegment(uint32_t segment, DoneCallback callback) = 0;
  virtual void MarkComplete(DoneCallback callback) = 0;
};

}  // namespace hawthorn::turns

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "control.pb.h"
#include "control/operation_id.h"

namespace hawthorn::control {

/// First replies to operations, so that a resend gets the first reply. The
/// number is bounded: the oldest ids are pruned, and every id up to the newest
/// pruned one is refused from then on.
class OperationLog {
 public:
  /// Maximum number of operations kept.
  static constexpr size_t kMaxOperations = 4096;
  /// Maximum time by which an id may be ahead of the leader's wall clock, in
  /// ms.
  static constexpr int64_t kMaxAheadMs = 600'000;

  /// Reply to a command that must not run: the first reply to a resend, or a
  /// refusal. std::nullopt if the command is new and may run.
  std::optional<schema::ControlReply> FindReply(const std::string& operation,
                                                uint64_t digest,
                                                int64_t now_wall_ms) const;

  /// Records the first reply to `operation`, which must be a valid id.
  void Record(const std::string& operation, uint64_t digest,
              const schema::ControlReply& reply);

  size_t size() const { return records_.size(); }

  void Save(schema::ControlSnapshot* snapshot) const;
  void Load(const schema::ControlSnapshot& snapshot);

 private:
  std::map<OperationId, schema::OperationRecord> records_;
  // Newest id that was pruned.
  OperationId pruned_;
};

}  // namespace hawthorn::control

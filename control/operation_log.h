#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "control.pb.h"
#include "control/operation_id.h"

namespace hawthorn::control {

/// First answers of operations, so that a resend returns the first answer.
/// Holds a bounded number; the oldest ids are pruned, and every id up to the
/// youngest pruned one is refused from then on.
class OperationLog {
 public:
  /// Operations that are remembered.
  static constexpr size_t kMaxOperations = 4096;
  /// Time by which an id may run ahead of the leader's wall clock.
  static constexpr int64_t kMaxAheadMs = 600'000;

  /// Answer to a command that is not to be run: the first answer of a
  /// resend, or a refusal. Nothing if the command is new and may run.
  std::optional<schema::ControlReply> FindAnswer(const std::string& operation,
                                                 uint64_t digest,
                                                 int64_t now_wall_ms) const;

  /// Remembers the first answer to `operation`, a valid id.
  void Record(const std::string& operation, uint64_t digest,
              const schema::ControlReply& reply);

  size_t size() const { return records_.size(); }

  void Save(schema::ControlSnapshot* snapshot) const;
  void Load(const schema::ControlSnapshot& snapshot);

 private:
  std::map<OperationId, schema::OperationRecord> records_;
  // Ids up to this one were pruned.
  OperationId pruned_;
};

}  // namespace hawthorn::control

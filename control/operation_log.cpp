#include "control/operation_log.h"

#include <absl/strings/str_cat.h>

#include <limits>

namespace hawthorn::control {
namespace {

schema::ControlReply Refusal(schema::ControlVerdict verdict,
                             const std::string& message) {
  schema::ControlReply reply;
  reply.set_verdict(verdict);
  reply.set_message(message);
  return reply;
}

}  // namespace

std::optional<schema::ControlReply> OperationLog::FindReply(
    const std::string& operation, uint64_t digest, int64_t now_wall_ms) const {
  const std::optional<OperationId> id = ParseOperationId(operation);
  if (!id.has_value()) {
    return Refusal(schema::CONTROL_VERDICT_INVALID,
                   "the operation id is not of the form TIME-RANDOM");
  }
  const auto it = records_.find(*id);
  if (it != records_.end()) {
    if (it->second.digest() != digest) {
      return Refusal(schema::CONTROL_VERDICT_INVALID,
                     "the operation id belongs to another command");
    }
    schema::ControlReply reply = it->second.reply();
    reply.set_repeated_answer(true);
    return reply;
  }
  if (*id <= pruned_) {
    return Refusal(schema::CONTROL_VERDICT_EXPIRED,
                   "the operation id is older than the remembered ones; the "
                   "command was not run now");
  }
  // Unsigned arithmetic, because the time in the id may be any value and could
  // overflow.
  if (id->wall_ms > now_wall_ms &&
      static_cast<uint64_t>(id->wall_ms) - static_cast<uint64_t>(now_wall_ms) >
          static_cast<uint64_t>(kMaxAheadMs)) {
    return Refusal(schema::CONTROL_VERDICT_INVALID,
                   "the time of the operation id lies in the future");
  }
  return std::nullopt;
}

void OperationLog::Record(const std::string& operation, uint64_t digest,
                          const schema::ControlReply& reply) {
  const std::optional<OperationId> id = ParseOperationId(operation);
  schema::OperationRecord record;
  record.set_id_wall_ms(id->wall_ms);
  record.set_operation(operation);
  record.set_digest(digest);
  *record.mutable_reply() = reply;
  records_.insert_or_assign(*id, std::move(record));
  while (records_.size() > kMaxOperations) {
    pruned_ = records_.begin()->first;
    records_.erase(records_.begin());
  }
}

void OperationLog::Save(schema::ControlSnapshot* snapshot) const {
  for (const auto& [id, record] : records_) {
    *snapshot->add_operations() = record;
  }
  snapshot->set_pruned_wall_ms(pruned_.wall_ms);
  snapshot->set_pruned_operation(pruned_.text);
}

void OperationLog::Load(const schema::ControlSnapshot& snapshot) {
  records_.clear();
  for (const schema::OperationRecord& it : snapshot.operations()) {
    records_.emplace(OperationId{it.id_wall_ms(), it.operation()}, it);
  }
  pruned_ = {snapshot.pruned_wall_ms(), snapshot.pruned_operation()};
}

}  // namespace hawthorn::control

#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "control.pb.h"
#include "control/group_table.h"
#include "control/operation_log.h"
#include "control/order_book.h"
#include "control/revision_history.h"
#include "core/error.h"

namespace hawthorn::control {

/// State machine of the control group: the configuration, the members of the
/// replicated groups and the orders to engines. Deterministic: the same
/// commands in the same order give the same replies and snapshots. Not
/// thread-safe.
class ControlState {
 public:
  /// Runs a committed command. A refused command changes only the log of
  /// operations.
  schema::ControlReply Apply(const schema::ControlCommand& command);

  /// Runs the serialized command of a log entry and returns the serialized
  /// reply.
  std::string Apply(uint64_t index, std::string_view command);

  /// The serialized state; equal states give equal bytes.
  std::string Snapshot() const;

  /// Replaces the state by a snapshot. On an error the state is unchanged.
  core::Status Restore(std::string_view snapshot);

  /// Revision in force; 0 before the first configuration.
  uint64_t revision() const { return current_.revision(); }

  /// Configuration in force, sorted by ids.
  const schema::VersionedConfiguration& current() const { return current_; }

  /// Records of the last accepted revisions, oldest first.
  const std::deque<schema::RevisionRecord>& history() const {
    return history_.records();
  }

  /// Configuration of a revision. Errors: kExpired if it is no longer kept,
  /// kNotFound if it does not exist yet.
  core::Result<schema::VersionedConfiguration> ConfigurationAt(
      uint64_t revision) const;

  /// Update of an instance from `revision` to the one in force: the changes in
  /// between or, if they are not kept or the revision is 0, the whole
  /// configuration.
  schema::ConfigurationUpdate UpdateFrom(uint64_t revision) const;

  const GroupTable& groups() const { return groups_; }
  const OrderBook& orders() const { return orders_; }

 private:
  schema::ControlReply ApplyOnce(const schema::ControlCommand& command);
  schema::ControlReply Run(const schema::ControlCommand& command);
  schema::ControlReply ApplyWhole(const schema::ApplyConfiguration& command,
                                  int64_t wall_ms);
  schema::ControlReply ApplyChange(const schema::PatchConfiguration& command,
                                   int64_t wall_ms);
  schema::ControlReply Conflict() const;
  schema::ControlReply Accept(schema::RevisionRecord record);

  schema::VersionedConfiguration current_;
  RevisionHistory history_;
  OperationLog operations_;
  GroupTable groups_;
  OrderBook orders_;
};

}  // namespace hawthorn::control

#pragma once

#include <cstdint>
#include <vector>

#include "core/id.h"
#include "membership/instance_directory.h"
#include "membership/record_set.h"
#include "schema/generated/peer.pb.h"

// Message forms of the values that gossip carries.
namespace hawthorn::membership::detail {

/// XXH32 of the id: the short name of an instance in gossip.
uint32_t HashOf(const core::InstanceId& instance);

/// Appends `heartbeat`; the batch's base revision must be set.
void AppendHeartbeat(const Heartbeat& heartbeat, schema::Heartbeats& batch);

/// Leaves out the arrays whose elements are all 0.
void DropZeros(schema::Heartbeats& batch);

/// Heartbeat with the short name of its instance.
struct HashedHeartbeat {
  uint32_t hash = 0;
  Heartbeat heartbeat;
};

/// Reads a batch; empty if the arrays differ in length.
std::vector<HashedHeartbeat> ReadHeartbeats(const schema::Heartbeats& batch);

/// Reads the changes of a set.
RecordSetChanges ReadChanges(const schema::RecordSetDelta& delta);

}  // namespace hawthorn::membership::detail

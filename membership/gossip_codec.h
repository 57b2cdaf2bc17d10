#pragma once

#include <cstdint>
#include <vector>

#include "core/id.h"
#include "membership/instance_directory.h"
#include "membership/record_set.h"
#include "schema/generated/peer.pb.h"

// Conversion of membership values to and from gossip messages.
namespace hawthorn::membership::detail {

/// XXH32 of the id. Gossip identifies instances by this hash.
uint32_t HashOf(const core::InstanceId& instance);

/// Appends `heartbeat`; the batch's base revision must be set.
void AppendHeartbeat(const Heartbeat& heartbeat, schema::Heartbeats& batch);

/// Removes the arrays whose elements are all 0.
void DropZeros(schema::Heartbeats& batch);

/// Heartbeat with the hash of its instance. The instance id is not set.
struct HashedHeartbeat {
  uint32_t hash = 0;
  Heartbeat heartbeat;
};

/// Reads a batch; empty if its arrays differ in length.
std::vector<HashedHeartbeat> ReadHeartbeats(const schema::Heartbeats& batch);

/// Reads the changes of a record set.
RecordSetChanges ReadChanges(const schema::RecordSetDelta& delta);

}  // namespace hawthorn::membership::detail

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "consensus/membership.h"

namespace hawthorn::consensus {

/// Options of one replica.
struct ReplicaOptions {
  /// Identity of this replica, with the incarnation of its store.
  ReplicaId id;
  /// The store keeps its contents when the process ends.
  bool durable = false;
  /// Initial members of a new group; ignored if the store is not empty. Empty
  /// for a replica that waits to be admitted to a group.
  std::vector<Member> initial_members;
  /// Instances that should be members of the group. The group bootstraps and
  /// repairs its membership from them without an operator; the first one
  /// bootstraps it. If empty, the host manages the membership.
  std::vector<std::string> instances;
  /// Seed of the random election timeouts; must differ between replicas.
  uint64_t seed = 1;

  /// Minimum time without contact with a leader after which a replica starts an
  /// election; a random time of up to the same length is added. Also the
  /// duration of the leader lease.
  std::chrono::nanoseconds election_timeout = std::chrono::milliseconds(600);
  std::chrono::nanoseconds heartbeat_interval = std::chrono::milliseconds(120);
  /// Maximum difference in rate between two clocks, in percent. A leader
  /// shortens its lease by this much.
  int max_clock_drift_percent = 5;
  /// Serve reads under the leader lease; otherwise each read needs a heartbeat
  /// round.
  bool lease_reads = true;
  /// An entry commits only if a member with a disk has synced it too.
  bool require_durable_copy = false;

  /// Maximum data of the entries in one message, in bytes.
  size_t max_append_bytes = size_t{256} * 1024;
  /// Maximum messages with entries in flight to one replica.
  size_t max_appends_in_flight = 32;
  /// Maximum size of a snapshot chunk, in bytes.
  size_t snapshot_chunk_bytes = size_t{256} * 1024;
  /// Maximum number of uncommitted entries; more proposals are refused.
  size_t max_uncommitted_entries = size_t{16} * 1024;
  /// Maximum committed entries that are returned for the state machine at once,
  /// so that a long log after a restart does not hold up heartbeats.
  size_t max_committed_entries = 1024;
  /// Entries kept before a snapshot, for replicas that are slightly behind.
  uint64_t retained_entries = 1024;

  /// Notify followers of each commit without delay. Otherwise they learn of it
  /// with the next entries or heartbeat, which halves the number of messages.
  bool announce_commits = true;
  /// Maximum delay of entries to replicas that are not needed for a commit.
  /// They then get many entries in one message. 0 disables the delay.
  std::chrono::nanoseconds lazy_interval{0};
};

}  // namespace hawthorn::consensus

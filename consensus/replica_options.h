#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "consensus/membership.h"

namespace hawthorn::consensus {

/// How one replica takes part in its group.
struct ReplicaOptions {
  /// Identity of this replica; the incarnation is that of its store.
  ReplicaId id;
  /// The store of this replica outlives the process.
  bool durable = false;
  /// Membership of a new group; ignored once the store holds one. Empty for a
  /// replica that waits to be admitted.
  std::vector<Member> initial_members;
  /// Instances that should belong to the group, for formation and repair
  /// without an operator; see Admission. Empty to leave both to the host. The
  /// first one forms the group.
  std::vector<std::string> instances;
  /// Seed of the election time-outs. Differs between replicas.
  uint64_t seed = 1;

  /// Shortest time without a leader after which a replica campaigns; a random
  /// part of up to the same length is added. Also the length of a lease.
  std::chrono::nanoseconds election_timeout = std::chrono::milliseconds(600);
  std::chrono::nanoseconds heartbeat_interval = std::chrono::milliseconds(120);
  /// Upper bound of the difference in rate between two clocks, in percent. A
  /// leader shortens its lease by it.
  int max_clock_drift_percent = 5;
  /// Reads are served under the lease; otherwise each takes a round.
  bool lease_reads = true;
  /// An entry also needs the synced copy of a voter with a disk.
  bool require_durable_copy = false;

  /// Upper bound of the entries in one message, in bytes of data.
  size_t max_append_bytes = size_t{256} * 1024;
  /// Messages with entries that may be under way to one replica.
  size_t max_appends_in_flight = 32;
  /// Maximum size of a snapshot chunk, in bytes.
  size_t snapshot_chunk_bytes = size_t{256} * 1024;
  /// Proposals that may wait for commit, in entries.
  size_t max_uncommitted_entries = size_t{16} * 1024;
  /// Entries kept before a snapshot for replicas that are a little behind.
  uint64_t retained_entries = 1024;

  /// Followers hear of a commit at once; otherwise with the next entries or
  /// heartbeat, at half the messages.
  bool announce_commits = true;
  /// Longest time for which entries are held back from replicas that no commit
  /// waits for. They then get many in one message. 0 sends all at once.
  std::chrono::nanoseconds lazy_interval{0};
};

}  // namespace hawthorn::consensus

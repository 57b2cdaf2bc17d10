#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/id.h"
#include "schema/generated/peer.pb.h"

// Record of one upstream.
namespace hawthorn::membership {

/// Lifecycle of an upstream within one incarnation. A phase never decreases:
/// leaving and gone are final until the upstream announces itself again.
enum class Phase {
  kActive,   ///< Accepts new work.
  kLeaving,  ///< Finishes its work and accepts no more.
  kGone,     ///< Its lease expired.
};

/// Load as the upstream last reported it.
struct UpstreamLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  int64_t cached_tokens = 0;

  auto operator<=>(const UpstreamLoad&) const = default;
};

/// Registration of an upstream.
struct Announcement {
  core::UpstreamId upstream;
  core::ServiceId service;
  core::ZoneId zone;
  std::string address;
  uint32_t max_running = 0;
  int64_t cache_tokens = 0;
  bool verifies_fencing = false;
  /// Wall-clock time of the announcement. It orders announcements of one
  /// upstream to instances that do not know each other's records yet.
  core::WallTime announced_at{};

  auto operator<=>(const Announcement&) const = default;
};

/// One upstream as an instance knows it.
struct UpstreamRecord {
  core::UpstreamId upstream;
  core::ServiceId service;
  core::ZoneId zone;
  std::string address;
  uint32_t max_running = 0;
  int64_t cache_tokens = 0;
  bool verifies_fencing = false;
  /// Increases with each announcement of the upstream.
  uint64_t incarnation = 0;
  Phase phase = Phase::kActive;
  /// Increases with each change within one incarnation.
  uint64_t version = 0;
  /// Instance that receives the renewals and ends the lease without them.
  core::InstanceId reporter;
  /// The reporter no longer reports this upstream; another instance may.
  bool moved = false;
  /// Short identifier within the reporter's record set.
  uint32_t slot = 0;
  UpstreamLoad load;

  auto operator<=>(const UpstreamRecord&) const = default;
};

/// Returns whether `a` supersedes `b`, two records of one upstream: by
/// incarnation, then phase, then version. Ties are broken by the remaining
/// content, so that all instances choose the same record.
bool Supersedes(const UpstreamRecord& a, const UpstreamRecord& b);

/// Merges two records of one upstream. Commutative, associative, idempotent.
UpstreamRecord Merge(const UpstreamRecord& a, const UpstreamRecord& b);

/// Converts a record to its message form. `lease` is the remaining lease, and
/// `set_version` the version of the record set at the last change.
schema::UpstreamRecord ToMessage(const UpstreamRecord& record,
                                 std::chrono::milliseconds lease,
                                 uint64_t set_version);

/// Converts a message to a record.
UpstreamRecord FromMessage(const schema::UpstreamRecord& message);

}  // namespace hawthorn::membership

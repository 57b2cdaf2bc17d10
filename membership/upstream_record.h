#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/id.h"
#include "schema/generated/peer.pb.h"

// What instances know of one upstream, as an immutable value.
namespace hawthorn::membership {

/// Life of an upstream within one incarnation. Phases only rise: leaving and
/// gone are final until the upstream announces itself again.
enum class Phase {
  kActive,   ///< Takes new work.
  kLeaving,  ///< Finishes what it has and takes no new work.
  kGone,     ///< Stopped renewing its lease.
};

/// Load as the upstream last reported it.
struct UpstreamLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  int64_t cached_tokens = 0;

  auto operator<=>(const UpstreamLoad&) const = default;
};

/// What an upstream says of itself when it announces itself.
struct Announcement {
  core::UpstreamId upstream;
  core::ServiceId service;
  core::ZoneId zone;
  std::string address;
  uint32_t max_running = 0;
  int64_t cache_tokens = 0;
  bool verifies_fencing = false;
  /// Wall-clock time of the announcement; orders the announcements of one
  /// upstream at instances that have not heard of each other's.
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
  /// Rises with each announcement of the upstream.
  uint64_t incarnation = 0;
  Phase phase = Phase::kActive;
  /// Rises with each change within one incarnation.
  uint64_t version = 0;
  /// Instance that receives the renewals and decides on their absence.
  core::InstanceId reporter;
  /// The reporter gave the upstream up; another instance may report it.
  bool moved = false;
  /// Short name within the reporter's set.
  uint32_t slot = 0;
  UpstreamLoad load;

  auto operator<=>(const UpstreamRecord&) const = default;
};

/// Returns whether `a` supersedes `b`, two records of one upstream: by
/// incarnation, then phase, then version. Ties are broken by the remaining
/// content, so that all instances choose the same record.
bool Supersedes(const UpstreamRecord& a, const UpstreamRecord& b);

/// Joins two records of one upstream. Commutative, associative, idempotent.
UpstreamRecord Merge(const UpstreamRecord& a, const UpstreamRecord& b);

/// Message form; `lease` is the remaining lease and `set_version` the
/// version of the set at the record's last change.
schema::UpstreamRecord ToMessage(const UpstreamRecord& record,
                                 std::chrono::milliseconds lease,
                                 uint64_t set_version);

/// Reads the message form.
UpstreamRecord FromMessage(const schema::UpstreamRecord& message);

}  // namespace hawthorn::membership

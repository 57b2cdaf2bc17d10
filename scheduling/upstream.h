#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/id.h"
#include "scheduling/call.h"

// Types that describe an upstream to the scheduler: state, load reports, cache
// events and decisions about its cache.
namespace hawthorn::scheduling {

/// State of an upstream, as it announced it.
struct UpstreamState {
  core::UpstreamId id;
  core::ServiceId service;
  core::ZoneId zone;
  /// Requests that the engine runs at the same time; 0 if unknown.
  uint32_t max_running = 0;
  /// Size of its KV cache in tokens; 0 for a plain service.
  int64_t cache_tokens = 0;
  /// Version of its software.
  std::string software_version;
  /// The upstream is shutting down and gets no new calls.
  bool leaving = false;
  /// Requests per second that it takes from all instances together, if it
  /// limits them.
  std::optional<double> request_limit;
  /// Models and adapters that are loaded; empty if it serves any.
  std::vector<std::string> models;

  bool operator==(const UpstreamState&) const = default;
};

/// Load that an upstream measured some time ago.
struct LoadReport {
  /// Time at which the upstream measured the load, on the local clock.
  core::TimePoint taken_at;
  uint32_t running = 0;
  uint32_t waiting = 0;
  int64_t cached_tokens = 0;

  bool operator==(const LoadReport&) const = default;
};

/// Change of an engine's prefix cache.
struct CacheEvent {
  /// Sequence number; starts at 1 and has no gaps.
  uint64_t sequence = 0;
  /// True if the prefix was stored, false if it was evicted.
  bool stored = true;
  PrefixSegment prefix;

  bool operator==(const CacheEvent&) const = default;
};

/// Complete content of an engine's prefix cache after the event `sequence`.
struct CacheListing {
  uint64_t sequence = 0;
  std::vector<PrefixSegment> prefixes;

  bool operator==(const CacheListing&) const = default;
};

/// Result of applying a cache event.
enum class CacheSync {
  kApplied,
  /// The event was already applied or its upstream is unknown; no change.
  kIgnored,
  /// Events are missing: the caller must fetch the engine's listing.
  kNeedsListing,
};

/// A prefix of a program and the upstream that has cached it.
struct CachedPrefix {
  core::UpstreamId upstream;
  PrefixSegment prefix;

  bool operator==(const CachedPrefix&) const = default;
};

/// What to do with a program's cached prefix during a tool pause.
enum class PauseAction {
  /// Pin the prefix on the upstream until the lease ends.
  kKeep,
  /// Export the KV cache and import it afterwards.
  kExport,
  /// Do nothing; the prompt is prefilled again if the engine evicts it.
  kDrop,
};

/// Decision for one tool pause.
struct PauseDecision {
  PauseAction action = PauseAction::kDrop;
  /// Upstream that has cached the prefix; empty if none is known.
  core::UpstreamId upstream;
  PrefixSegment prefix;
  /// Lease of the hold; 0 for kDrop.
  std::chrono::milliseconds lease{0};

  bool operator==(const PauseDecision&) const = default;
};

}  // namespace hawthorn::scheduling

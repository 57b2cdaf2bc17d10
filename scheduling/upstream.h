#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/id.h"
#include "scheduling/call.h"

// Upstreams as the scheduler sees them: state, load reports, cache events.
namespace hawthorn::scheduling {

/// What an upstream announced about itself.
struct UpstreamState {
  core::UpstreamId id;
  core::ServiceId service;
  core::ZoneId zone;
  /// Requests that the engine runs at once; 0 if it does not say.
  uint32_t max_running = 0;
  /// Size of its KV cache in tokens; 0 for a plain service.
  int64_t cache_tokens = 0;
  /// A leaving upstream gets no new call.
  bool leaving = false;
  /// Models and adapters that are loaded; empty stands for any.
  std::vector<std::string> models;

  bool operator==(const UpstreamState&) const = default;
};

/// Load as an upstream saw it some time ago.
struct LoadReport {
  /// Local time at which the upstream took the figures.
  core::TimePoint taken_at;
  uint32_t running = 0;
  uint32_t waiting = 0;
  int64_t cached_tokens = 0;

  bool operator==(const LoadReport&) const = default;
};

/// Change of an engine's prefix cache.
struct CacheEvent {
  /// Counts from 1 without gaps.
  uint64_t sequence = 0;
  /// True if the prefix was stored, false if it was evicted.
  bool stored = true;
  PrefixSegment prefix;

  bool operator==(const CacheEvent&) const = default;
};

/// Everything that an engine holds, valid after the event `sequence`.
struct CacheListing {
  uint64_t sequence = 0;
  std::vector<PrefixSegment> prefixes;

  bool operator==(const CacheListing&) const = default;
};

/// What a cache event led to.
enum class CacheSync {
  kApplied,
  /// Already known or from an unknown upstream; nothing changed.
  kIgnored,
  /// Events are missing: fetch the engine's listing.
  kNeedsListing,
};

/// Order to drop a prefix that no program needs any more.
struct CacheDrop {
  core::UpstreamId upstream;
  PrefixSegment prefix;

  bool operator==(const CacheDrop&) const = default;
};

/// What to do with a program's cache through a tool pause.
enum class PauseAction {
  /// Pin the prefix on the upstream until the lease ends.
  kKeep,
  /// Export the KV cache and import it afterwards.
  kExport,
  /// Hold nothing; the prompt is prefilled again if the engine evicts it.
  kDrop,
};

/// Decision for one tool pause.
struct PauseDecision {
  PauseAction action = PauseAction::kDrop;
  /// Where the prefix is; empty when nothing is known.
  core::UpstreamId upstream;
  PrefixSegment prefix;
  /// Lease of the hold; 0 for kDrop.
  std::chrono::milliseconds lease{0};

  bool operator==(const PauseDecision&) const = default;
};

}  // namespace hawthorn::scheduling

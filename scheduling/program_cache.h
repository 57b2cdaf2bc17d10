#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/id.h"
#include "scheduling/upstream.h"

namespace hawthorn::scheduling {

/// Tracks which upstreams have cached the prefixes of programs, which prefixes
/// are held, and how fast each engine's cache is rewritten.
class ProgramCache {
 public:
  /// Maximum number of programs kept; the least recently used are removed
  /// first.
  static constexpr size_t kMaxPrograms = 20000;
  /// Maximum number of prefixes kept for one program.
  static constexpr size_t kMaxCopies = 8;

  /// Records that `upstream` has cached `prefix` after a call of the program
  /// that wrote `written` tokens to its cache. Ends a hold of the program.
  void OnProduced(const core::ProgramId& program,
                  const core::UpstreamId& upstream, const PrefixSegment& prefix,
                  int64_t written, core::TimePoint now);
  /// Most recent prefix of the program, and the upstream that has cached it.
  std::optional<CachedPrefix> Latest(const core::ProgramId& program) const;
  /// Records a hold of the program's latest prefix until `lease_end`.
  void Hold(const core::ProgramId& program, core::TimePoint lease_end);
  /// Ends a hold, for example because the program made its next call.
  void Release(const core::ProgramId& program);
  /// Removes the program and returns all its prefixes.
  std::vector<CachedPrefix> Forget(const core::ProgramId& program);
  void RemoveUpstream(const core::UpstreamId& upstream);

  /// Tokens held on `upstream`; holds with an expired lease do not count.
  int64_t HeldTokens(const core::UpstreamId& upstream, core::TimePoint now);
  double ChurnTokensPerSecond(const core::UpstreamId& upstream) const;

 private:
  struct Program {
    std::vector<CachedPrefix> copies;
    std::optional<core::TimePoint> lease_end;
    std::list<core::ProgramId>::iterator order;
  };
  struct Engine {
    int64_t held = 0;
    double churn = 0;
    core::TimePoint last_write;
  };

  void ExpireHolds(core::TimePoint now);

  std::unordered_map<core::ProgramId, Program> programs_;
  /// Least recently used first.
  std::list<core::ProgramId> order_;
  std::unordered_map<core::UpstreamId, Engine> engines_;
  std::vector<std::pair<core::TimePoint, core::ProgramId>> leases_;
};

}  // namespace hawthorn::scheduling

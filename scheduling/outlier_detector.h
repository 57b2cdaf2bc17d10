#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace hawthorn::scheduling {

/// Circuit breaker for each member of a pool. A member with several consecutive
/// failures, or with a success rate far below the pool's, is ejected for a time
/// that grows with each ejection. At most half of the pool is ejected, and
/// never its last member.
class OutlierDetector {
 public:
  static constexpr uint32_t kConsecutiveFailures = 4;
  static constexpr uint32_t kMinSamples = 20;
  static constexpr double kMaxEjectedShare = 0.5;
  static constexpr std::chrono::seconds kBaseEjection{5};
  static constexpr std::chrono::seconds kMaxEjection{120};

  /// Adds a member; an existing one keeps its statistics.
  void Add(size_t member);
  /// Removes a member. Returns the members that are readmitted because the
  /// pool would otherwise have no available member.
  std::vector<size_t> Remove(size_t member);
  /// Records the result of a call. Returns true if this ejects the member.
  bool Record(size_t member, bool success, core::TimePoint now);
  /// Readmits and returns the members whose ejection has ended.
  std::vector<size_t> Readmit(core::TimePoint now);
  std::optional<core::TimePoint> NextReadmission() const;
  bool IsEjected(size_t member) const;
  size_t ejected() const { return ejections_.size(); }
  size_t size() const { return members_.size(); }

 private:
  struct Member {
    uint32_t consecutive_failures = 0;
    uint32_t samples = 0;
    double success_rate = 1;
    uint32_t times_ejected = 0;
    bool ejected = false;
    core::TimePoint until;
  };

  bool IsOutlier(const Member& member) const;
  bool MayEject() const;
  void ReadmitMember(size_t id, Member& member);

  std::map<size_t, Member> members_;
  std::set<std::pair<core::TimePoint, size_t>> ejections_;
  /// Exponentially smoothed success rate of the whole pool.
  double pool_rate_ = 1;
};

}  // namespace hawthorn::scheduling

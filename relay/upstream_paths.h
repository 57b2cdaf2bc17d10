#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace hawthorn::relay {

/// How exchanges with an upstream are carried out.
enum class UpstreamPath {
  kDirect,     ///< On connections of this instance.
  kForwarded,  ///< By another instance, as this one cannot reach the upstream.
};

/// The upstreams that this instance reaches only through others. Deterministic;
/// `now` must never decrease.
class UpstreamPaths {
 public:
  /// Interval of the checks whether an upstream can be reached directly again;
  /// doubles with each failed one, up to the longest.
  static constexpr std::chrono::milliseconds kCheckInterval{250};
  static constexpr std::chrono::milliseconds kLongestInterval{1000};
  /// Time for which direct checks must succeed before an upstream is used
  /// directly again. Doubles, up to the longest, each time that the direct path
  /// fails again within kStableTime: calls that are on a path when it fails are
  /// delayed or lost.
  static constexpr std::chrono::milliseconds kFirstProbation{500};
  static constexpr std::chrono::milliseconds kLongestProbation{8000};
  static constexpr std::chrono::milliseconds kStableTime{10000};

  UpstreamPath Of(const std::string& upstream) const;
  /// The direct path failed, and another instance reaches the upstream. With
  /// `needs_answer` connections are accepted there and not answered, so that
  /// direct checks must ask for an answer.
  void SetForwarded(const std::string& upstream, core::TimePoint now,
                    bool needs_answer = false);
  /// Whether the upstream is forwarded, and a connection proves nothing.
  bool NeedsAnswer(const std::string& upstream) const;
  /// Reports the result of a direct check. Returns whether the upstream is now
  /// used directly again.
  bool OnDirectCheck(const std::string& upstream, bool reachable,
                     core::TimePoint now);
  /// Forwarded upstreams that are due for a direct check. Each is returned once
  /// until its result is reported.
  std::vector<std::string> TakeDueChecks(core::TimePoint now);
  void Remove(const std::string& upstream);

  /// Number of upstreams that are reached through other instances.
  size_t forwarded_count() const;

 private:
  struct State {
    bool forwarded = false;
    bool needs_answer = false;
    bool is_checking = false;
    core::TimePoint check_at;
    std::chrono::milliseconds interval{kCheckInterval};
    std::chrono::milliseconds probation{kFirstProbation};
    /// When the direct checks began to succeed.
    std::optional<core::TimePoint> reachable_since;
    /// When the upstream was used directly again.
    core::TimePoint restored_at;
  };

  std::map<std::string, State> states_;
};

}  // namespace hawthorn::relay

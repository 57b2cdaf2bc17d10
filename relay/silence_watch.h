#pragma once

#include <chrono>
#include <map>
#include <string>

#include "core/clock.h"

namespace hawthorn::relay {

/// Decides when the silence of an upstream is reason to ask it for an answer,
/// as a connection that it accepts proves nothing. Deterministic; `now` must
/// never decrease.
class SilenceWatch {
 public:
  /// Silence of a call from which the upstream is asked, if no other upstream
  /// of its zone is heard either: a whole zone rarely pauses at once.
  static constexpr std::chrono::milliseconds kZoneSilence{700};
  /// The same if others of its zone are heard. Upstreams pause for a second or
  /// so, and long prompts take as long.
  static constexpr std::chrono::milliseconds kUpstreamSilence{2000};
  /// Least time between two questions to one upstream.
  static constexpr std::chrono::milliseconds kInterval{2000};

  /// When bytes of responses last arrived at this instance.
  struct Heard {
    core::TimePoint upstream;
    core::TimePoint zone;
  };

  /// Whether the upstream is to be asked about a call that it was sent at
  /// `sent_at`; counts it as asked if so.
  bool TakeQuestion(const std::string& upstream, core::TimePoint sent_at,
                    const Heard& heard, core::TimePoint now);
  void Remove(const std::string& upstream) { asked_.erase(upstream); }

 private:
  std::map<std::string, core::TimePoint> asked_;
};

}  // namespace hawthorn::relay

#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/error.h"

namespace hawthorn::cluster {

/// Which claims an instance sends to a leader that refuses first claims of
/// programs: those of programs that had a turn here, and one other now and
/// then, so that the refusals do not take the leader's time.
class ProgramGate {
 public:
  /// Pause after a refused first claim. It doubles with each further one, up to
  /// kMaxPause, until one is granted.
  static constexpr std::chrono::milliseconds kPause{500};
  static constexpr std::chrono::milliseconds kMaxPause{2000};
  /// Time without a turn after which a program is forgotten, and the maximum
  /// number of programs that are known.
  static constexpr std::chrono::milliseconds kKnownFor{10'000};
  static constexpr size_t kMaxKnown = 4096;

  /// The error with which the leader refused another program, if a claim of
  /// `program` is not to be sent now.
  std::optional<core::Error> RefusalOf(const std::string& program,
                                       core::TimePoint now) const;
  void OnGranted(const std::string& program, core::TimePoint now);
  /// The leader refused a claim of `program` for its load.
  void OnRefused(const std::string& program, const core::Error& error,
                 core::TimePoint now);

 private:
  bool Knows(const std::string& program, core::TimePoint now) const;

  /// When each program last had a turn.
  std::map<std::string, core::TimePoint> known_;
  std::chrono::milliseconds pause_{0};
  core::TimePoint closed_until_;
  std::optional<core::Error> refusal_;
};

}  // namespace hawthorn::cluster

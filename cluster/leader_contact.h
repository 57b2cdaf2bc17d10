#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"

namespace hawthorn::cluster {

/// Which claims an instance may send to the leader, by how it answered earlier
/// ones. A leader that is slow or gone gets one claim at a time, so that it
/// does not find many when it answers again.
class LeaderContact {
 public:
  /// Age of the oldest unanswered claim from which no further ones are sent.
  static constexpr std::chrono::milliseconds kPatience{400};

  /// Forgets what a previous leader did not answer.
  void OnNewLeader();
  /// Notes that a claim was sent; returns its number.
  uint64_t OnSent(core::TimePoint now);
  /// Notes that the leader answered, whatever it said.
  void OnAnswer(uint64_t number, core::TimePoint now);
  /// Notes that there will be no answer.
  void OnNoAnswer(uint64_t number);

  bool MaySend(core::TimePoint now) const;
  /// Whether the leader answered within `time`.
  bool AnsweredWithin(std::chrono::milliseconds time,
                      core::TimePoint now) const {
    return answered_at_ && now - *answered_at_ < time;
  }
  size_t unanswered() const { return unanswered_.size(); }

 private:
  /// When each claim was sent that was not answered.
  std::map<uint64_t, core::TimePoint> unanswered_;
  uint64_t last_number_ = 0;
  /// A claim was not answered, and none was answered since.
  bool is_silent_ = false;
  std::optional<core::TimePoint> answered_at_;
};

}  // namespace hawthorn::cluster

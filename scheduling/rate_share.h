#pragma once

#include <chrono>

#include "core/clock.h"

namespace hawthorn::scheduling {

/// Share of one of many instances in a limit on requests per second. The share
/// is a sequence of evenly spaced slots, one for each request. A slot that is
/// not used in time is lost, so that the instances together never save up more
/// than the limit allows in kValidity.
class RateShare {
 public:
  /// Time for which a slot may be used.
  static constexpr std::chrono::seconds kValidity{1};

  /// `phase` is the part of a period until the first slot, from 0 to 1.
  /// Instances that choose it at random spread their slots evenly.
  RateShare(double per_second, double phase, core::TimePoint now);

  /// Changes the rate; `per_second` must be positive.
  void SetRate(double per_second, core::TimePoint now);
  /// Whether a request may be sent at `now`.
  bool Allows(core::TimePoint now) const { return FirstSlot(now) <= now; }
  /// Uses up one slot, also if none is due.
  void Take(core::TimePoint now);
  /// Time until a request may be sent; 0 if it may be sent now.
  std::chrono::duration<double> Wait(core::TimePoint now) const;

 private:
  using Period = std::chrono::duration<double>;

  /// Earliest slot that is unused and has not been lost at `now`.
  core::TimePoint FirstSlot(core::TimePoint now) const;
  static core::TimePoint::duration Round(Period time) {
    return std::chrono::duration_cast<core::TimePoint::duration>(time);
  }

  Period period_;
  core::TimePoint next_;
};

}  // namespace hawthorn::scheduling

#pragma once

#include <chrono>
#include <cmath>

#include "core/clock.h"

namespace hawthorn::scheduling {

/// Exponentially weighted mean of recent samples: a sample loses half of its
/// weight in each half-life. Without new samples the mean tends to zero.
class DecayingMean {
 public:
  /// Weight of a constant prior sample of zero; small against the weight 1 of a
  /// new sample.
  static constexpr double kPriorWeight = 0.2;

  explicit DecayingMean(std::chrono::duration<double> half_life)
      : half_life_(half_life) {}

  void Add(double sample, core::TimePoint now) {
    const double decay = DecayFactor(now);
    sum_ = sum_ * decay + sample;
    weight_ = weight_ * decay + 1;
    updated_at_ = now;
  }

  double Value(core::TimePoint now) const {
    const double decay = DecayFactor(now);
    return sum_ * decay / (weight_ * decay + kPriorWeight);
  }

 private:
  double DecayFactor(core::TimePoint now) const {
    const std::chrono::duration<double> age = now - updated_at_;
    return age.count() <= 0 ? 1 : std::exp2(-age / half_life_);
  }

  std::chrono::duration<double> half_life_;
  double sum_ = 0;
  double weight_ = 0;
  core::TimePoint updated_at_;
};

}  // namespace hawthorn::scheduling

#include "scheduling/rate_share.h"

#include <algorithm>
#include <cmath>

namespace hawthorn::scheduling {

RateShare::RateShare(double per_second, double phase, core::TimePoint now)
    : period_(1 / per_second), next_(now + Round(period_ * phase)) {}

void RateShare::SetRate(double per_second, core::TimePoint now) {
  const Period period(1 / per_second);
  if (period == period_) {
    return;
  }
  if (next_ > now) {
    next_ = now + Round((next_ - now) * (period / period_));
  }
  period_ = period;
}

core::TimePoint RateShare::FirstSlot(core::TimePoint now) const {
  const Period lost = (now - kValidity) - next_;
  return lost.count() <= 0 ? next_
                           : next_ + Round(period_ * std::ceil(lost / period_));
}

void RateShare::Take(core::TimePoint now) {
  next_ = FirstSlot(now) + Round(period_);
}

std::chrono::duration<double> RateShare::Wait(core::TimePoint now) const {
  return std::max(Period(0), Period(FirstSlot(now) - now));
}

}  // namespace hawthorn::scheduling

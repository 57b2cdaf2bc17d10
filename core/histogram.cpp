#include "core/histogram.h"

#include <algorithm>
#include <cmath>

namespace hawthorn::core {

namespace acc = boost::accumulators;

void Histogram::Add(std::chrono::nanoseconds latency) {
  const double ms = std::chrono::duration<double, std::milli>(latency).count();
  summary_(ms);
  const auto* it = std::lower_bound(kBoundsMs.begin(), kBoundsMs.end(), ms);
  ++buckets_[static_cast<size_t>(it - kBoundsMs.begin())];
}

uint64_t Histogram::count() const { return acc::count(summary_); }

double Histogram::sum_ms() const { return acc::sum(summary_); }

double Histogram::mean_ms() const {
  return count() == 0 ? 0 : acc::mean(summary_);
}

double Histogram::max_ms() const {
  return count() == 0 ? 0 : acc::max(summary_);
}

double Histogram::QuantileMs(double q) const {
  if (count() == 0) {
    return 0;
  }
  const double target = std::clamp(q, 0.0, 1.0) * static_cast<double>(count());
  const auto rank =
      std::max<uint64_t>(1, static_cast<uint64_t>(std::ceil(target)));
  uint64_t cumulative = 0;
  for (size_t n = 0; n < kBoundsMs.size(); ++n) {
    cumulative += buckets_[n];
    if (cumulative >= rank) {
      return std::min(kBoundsMs[n], max_ms());
    }
  }
  return max_ms();
}

}  // namespace hawthorn::core

#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <cstdint>

namespace hawthorn::core {

/// Latency distribution with fixed bucket bounds, so that histograms of
/// several instances can be added. Not thread-safe.
class Histogram {
 public:
  /// Upper bounds of the buckets in milliseconds; one more bucket has no bound.
  static constexpr std::array<double, 16> kBoundsMs = {
      0.5, 1,   2,    5,    10,   20,    50,    100,
      200, 500, 1000, 2000, 5000, 10000, 30000, 120000};

  /// Adds one sample.
  void Add(std::chrono::nanoseconds latency);

  /// Number of samples.
  uint64_t count() const;
  /// Sum of all samples in milliseconds.
  double sum_ms() const;
  /// Arithmetic mean in milliseconds; 0 without samples.
  double mean_ms() const;
  /// Largest sample in milliseconds; 0 without samples.
  double max_ms() const;
  /// Number of samples in each bucket; the last one counts those above all
  /// bounds.
  const std::array<uint64_t, kBoundsMs.size() + 1>& buckets() const {
    return buckets_;
  }

  /// Upper bound in milliseconds of the bucket that contains the quantile `q`
  /// in [0, 1], or the largest sample if that is smaller.
  double QuantileMs(double q) const;

 private:
  boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count, boost::accumulators::tag::sum,
          boost::accumulators::tag::mean, boost::accumulators::tag::max>>
      summary_;
  std::array<uint64_t, kBoundsMs.size() + 1> buckets_{};
};

}  // namespace hawthorn::core

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "core/histogram.h"
#include "core/id.h"

namespace hawthorn::core {

/// What a latency histogram is kept for.
struct LatencyKey {
  OrganisationId organisation;
  std::string service_class;
  /// What was timed, in lower case and underscores; part of the metric's name.
  std::string measure = "call";

  auto operator<=>(const LatencyKey&) const = default;
};

/// Counters and latency histograms of one process. Thread-safe.
class Metrics {
 public:
  /// Number of organisation and class pairs with a histogram of their own;
  /// further pairs share the key "other" so that memory stays bounded.
  static constexpr size_t kMaxHistograms = 4096;

  /// Adds `n` to the counter `name`.
  void Count(const std::string& name, uint64_t n = 1);

  /// Sets the gauge `name`.
  void Gauge(const std::string& name, double value);

  /// Adds one sample to the histogram of `key`.
  void Observe(const LatencyKey& key, std::chrono::nanoseconds latency);

  /// Value of a counter; 0 if it was never counted.
  uint64_t CounterValue(const std::string& name) const;

  /// Copy of all histograms.
  std::map<LatencyKey, Histogram> Histograms() const;

  /// Everything in the Prometheus text exposition format, version 0.0.4.
  std::string Exposition() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<LatencyKey, Histogram> histograms_;
};

}  // namespace hawthorn::core

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

/// Key of a latency histogram.
struct LatencyKey {
  OrganisationId organisation;
  std::string service_class;
  /// What was measured, in lower case and underscores; part of the metric's
  /// name.
  std::string measure = "call";

  auto operator<=>(const LatencyKey&) const = default;
};

/// Counters and latency histograms of one process. Thread-safe.
class Metrics {
 public:
  /// Maximum number of keys with their own histogram; further organisations and
  /// classes share the key "other", so that memory stays bounded.
  static constexpr size_t kMaxHistograms = 4096;

  /// Adds `n` to the counter `name`.
  void Count(const std::string& name, uint64_t n = 1);

  /// Sets the gauge `name`.
  void SetGauge(const std::string& name, double value);

  /// Adds one sample to the histogram of `key`.
  void Observe(const LatencyKey& key, std::chrono::nanoseconds latency);

  /// Value of a counter; 0 if it does not exist.
  uint64_t CounterValue(const std::string& name) const;

  /// Copy of all histograms.
  std::map<LatencyKey, Histogram> Histograms() const;

  /// All metrics in the Prometheus text exposition format, version 0.0.4.
  std::string Exposition() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<LatencyKey, Histogram> histograms_;
};

}  // namespace hawthorn::core

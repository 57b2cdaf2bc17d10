#include "core/metrics.h"

#include <set>
#include <sstream>

namespace hawthorn::core {

namespace {

constexpr char kPrefix[] = "hawthorn_";
constexpr char kOther[] = "other";

/// Escapes a label value for the exposition format.
std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    escaped += c;
  }
  return escaped;
}

std::string NameOf(const std::string& measure) {
  return kPrefix + measure + "_latency_ms";
}

void WriteHistogram(const LatencyKey& key, const Histogram& histogram,
                    std::ostream& out) {
  const std::string name = NameOf(key.measure);
  const std::string labels = "organisation=\"" +
                             Escape(key.organisation.text()) + "\",class=\"" +
                             Escape(key.service_class) + "\"";
  uint64_t cumulative = 0;
  for (size_t n = 0; n < Histogram::kBoundsMs.size(); ++n) {
    cumulative += histogram.buckets()[n];
    out << name << "_bucket{" << labels << ",le=\"" << Histogram::kBoundsMs[n]
        << "\"} " << cumulative << "\n";
  }
  out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << histogram.count()
      << "\n";
  out << name << "_sum{" << labels << "} " << histogram.sum_ms() << "\n";
  out << name << "_count{" << labels << "} " << histogram.count() << "\n";
}

}  // namespace

void Metrics::Count(const std::string& name, uint64_t n) {
  const std::lock_guard lock(mutex_);
  counters_[name] += n;
}

void Metrics::SetGauge(const std::string& name, double value) {
  const std::lock_guard lock(mutex_);
  gauges_[name] = value;
}

void Metrics::Observe(const LatencyKey& key, std::chrono::nanoseconds latency) {
  const std::lock_guard lock(mutex_);
  auto it = histograms_.find(key);
  if (it == histograms_.end()) {
    const bool full = histograms_.size() >= kMaxHistograms;
    const LatencyKey shared{OrganisationId(kOther), kOther, key.measure};
    it = histograms_.try_emplace(full ? shared : key).first;
  }
  it->second.Add(latency);
}

uint64_t Metrics::CounterValue(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto it = counters_.find(name);
  return it == counters_.end() ? 0 : it->second;
}

std::map<LatencyKey, Histogram> Metrics::Histograms() const {
  const std::lock_guard lock(mutex_);
  return histograms_;
}

std::string Metrics::Exposition() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  for (const auto& [name, value] : counters_) {
    out << "# TYPE " << kPrefix << name << " counter\n";
    out << kPrefix << name << " " << value << "\n";
  }
  for (const auto& [name, value] : gauges_) {
    out << "# TYPE " << kPrefix << name << " gauge\n";
    out << kPrefix << name << " " << value << "\n";
  }
  std::set<std::string> measures;
  for (const auto& [key, histogram] : histograms_) {
    measures.insert(key.measure);
  }
  // The format requires all lines of a metric to be contiguous.
  for (const std::string& measure : measures) {
    out << "# TYPE " << NameOf(measure) << " histogram\n";
    for (const auto& [key, histogram] : histograms_) {
      if (key.measure == measure) {
        WriteHistogram(key, histogram, out);
      }
    }
  }
  return out.str();
}

}  // namespace hawthorn::core

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/clock.h"
#include "core/metrics.h"
#include "relay/organisation.h"

namespace hawthorn::relay {

/// Metrics and log records about the calls of organisations. A few
/// organisations have labels of their own and the others share one, so that
/// memory and metrics stay bounded.
class OrganisationStats {
 public:
  /// Number of organisations with a label of their own: those with the highest
  /// limits.
  static constexpr size_t kMaxLabels = 32;
  static constexpr const char* kOther = "other";
  /// Least time between two records that an organisation is over its limit.
  static constexpr std::chrono::seconds kLogInterval{10};

  explicit OrganisationStats(core::Metrics& metrics) : metrics_(metrics) {}

  /// Chooses the labels; null if there are no organisations.
  void SetOrganisations(const OrganisationTable* organisations);
  std::string LabelOf(const std::string& organisation) const;
  /// Counts a call that has ended with `status`.
  void OnEnded(const std::string& organisation, int status,
               std::chrono::milliseconds total, core::TimePoint now);

 private:
  struct Refusals {
    uint64_t count = 0;
    core::TimePoint next_log;
  };

  void LogRefusal(const std::string& organisation, core::TimePoint now);

  core::Metrics& metrics_;
  std::set<std::string> labelled_;
  /// Requests refused since the last log record.
  std::map<std::string, Refusals> refusals_;
};

}  // namespace hawthorn::relay

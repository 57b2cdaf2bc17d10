#include "relay/organisation_stats.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "logging/log.h"
#include "transport/http_status.h"

namespace hawthorn::relay {

namespace {

double SizeOf(const Organisation& organisation) {
  return organisation.limit.IsLimited()
             ? organisation.limit.rate
             : std::numeric_limits<double>::infinity();
}

const char* OutcomeOf(int status) {
  if (transport::IsSuccess(status)) {
    return "served";
  }
  return status == transport::status::kTooManyRequests ? "limited" : "failed";
}

}  // namespace

void OrganisationStats::SetOrganisations(
    const OrganisationTable* organisations) {
  labelled_.clear();
  if (organisations == nullptr) {
    refusals_.clear();
    return;
  }
  std::vector<Organisation> sorted = organisations->all();
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Organisation& a, const Organisation& b) {
                     return SizeOf(a) > SizeOf(b);
                   });
  std::set<std::string> known;
  for (const Organisation& it : sorted) {
    known.insert(it.name);
    if (labelled_.size() < kMaxLabels) {
      labelled_.insert(it.name);
    }
  }
  std::erase_if(refusals_,
                [&known](const auto& it) { return !known.contains(it.first); });
}

std::string OrganisationStats::LabelOf(const std::string& organisation) const {
  return labelled_.contains(organisation) ? organisation : kOther;
}

void OrganisationStats::OnEnded(const std::string& organisation, int status,
                                std::chrono::milliseconds total,
                                core::TimePoint now) {
  if (organisation.empty()) {
    return;
  }
  metrics_.Observe({core::OrganisationId(LabelOf(organisation)),
                    OutcomeOf(status), "organisation"},
                   total);
  if (status == transport::status::kTooManyRequests) {
    LogRefusal(organisation, now);
  }
}

void OrganisationStats::LogRefusal(const std::string& organisation,
                                   core::TimePoint now) {
  Refusals& refusals = refusals_[organisation];
  ++refusals.count;
  if (now < refusals.next_log) {
    return;
  }
  refusals.next_log = now + kLogInterval;
  logging::Log(logging::LogLevel::kWarn, "organisation over its request limit",
               {{"organisation", organisation},
                {"refused", std::to_string(std::exchange(refusals.count, 0))}});
}

}  // namespace hawthorn::relay

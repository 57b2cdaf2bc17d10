#include "membership/lease.h"

#include <algorithm>

namespace hawthorn::membership {

namespace {

constexpr int64_t kPartsPerMillion = 1'000'000;

std::chrono::nanoseconds DriftOf(const LeaseTerms& terms) {
  const std::chrono::nanoseconds duration = terms.duration;
  return duration * terms.max_drift_ppm / kPartsPerMillion;
}

}  // namespace

void Lease::Grant(FencingToken token, core::TimePoint requested_at) {
  if (token < token_) {
    return;
  }
  const core::TimePoint until =
      requested_at + terms_.duration - DriftOf(terms_);
  const bool extends = token == token_ && valid_until_.has_value();
  valid_until_ = extends ? std::max(*valid_until_, until) : until;
  token_ = token;
}

bool Lease::IsRenewalDue(core::TimePoint now) const {
  return !valid_until_ || now + terms_.duration / 2 >= *valid_until_;
}

std::optional<FencingToken> LeaseGranter::Grant(const std::string& holder,
                                                core::TimePoint now) {
  const bool active = granted_until_ && now < *granted_until_;
  if (active && holder != holder_) {
    return std::nullopt;
  }
  const bool renews = active && holder == holder_;
  holder_ = holder;
  granted_until_ = now + DurationWithDrift();
  return renews ? counter_.last() : counter_.Next();
}

void LeaseGranter::Release(const std::string& holder) {
  if (holder == holder_) {
    granted_until_.reset();
  }
}

void LeaseGranter::AssumeGranted(core::TimePoint now) {
  holder_.clear();
  granted_until_ = now + DurationWithDrift();
}

std::chrono::nanoseconds LeaseGranter::DurationWithDrift() const {
  return terms_.duration + DriftOf(terms_);
}

}  // namespace hawthorn::membership

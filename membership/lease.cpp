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

void Lease::Grant(FencingToken token, core::TimePoint asked_at) {
  if (token < token_) {
    return;
  }
  const core::TimePoint until = asked_at + terms_.duration - DriftOf(terms_);
  const bool extends = token == token_ && held_until_.has_value();
  held_until_ = extends ? std::max(*held_until_, until) : until;
  token_ = token;
}

bool Lease::IsRenewalDue(core::TimePoint now) const {
  return !held_until_ || now + terms_.duration / 2 >= *held_until_;
}

std::optional<FencingToken> LeaseGranter::Grant(const std::string& holder,
                                                core::TimePoint now) {
  const bool taken = given_until_ && now < *given_until_;
  if (taken && holder != holder_) {
    return std::nullopt;
  }
  const bool renews = taken && holder == holder_;
  holder_ = holder;
  given_until_ = now + Guarded();
  return renews ? counter_.last() : counter_.Next();
}

void LeaseGranter::Release(const std::string& holder) {
  if (holder == holder_) {
    given_until_.reset();
  }
}

void LeaseGranter::AssumeGranted(core::TimePoint now) {
  holder_.clear();
  given_until_ = now + Guarded();
}

std::chrono::nanoseconds LeaseGranter::Guarded() const {
  return terms_.duration + DriftOf(terms_);
}

}  // namespace hawthorn::membership

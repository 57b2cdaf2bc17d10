#include "scheduling/outlier_detector.h"

#include <algorithm>

namespace hawthorn::scheduling {
namespace {

constexpr double kMemberSmoothing = 0.05;
constexpr double kPoolSmoothing = 0.01;
/// Fraction of the pool's success rate below which a member is an outlier.
constexpr double kOutlierShare = 0.85;
constexpr uint32_t kMaxDoublings = 5;

}  // namespace

void OutlierDetector::Add(size_t member) { members_.try_emplace(member); }

std::vector<size_t> OutlierDetector::Remove(size_t member) {
  const auto it = members_.find(member);
  if (it == members_.end()) {
    return {};
  }
  ejections_.erase({it->second.until, member});
  members_.erase(it);
  std::vector<size_t> readmitted;
  while (!members_.empty() && ejections_.size() >= members_.size()) {
    const size_t id = ejections_.begin()->second;
    ReadmitMember(id, members_[id]);
    readmitted.push_back(id);
  }
  return readmitted;
}

bool OutlierDetector::Record(size_t member, bool success, core::TimePoint now) {
  const auto it = members_.find(member);
  if (it == members_.end() || it->second.ejected) {
    return false;
  }
  Member& record = it->second;
  const double value = success ? 1 : 0;
  record.success_rate += kMemberSmoothing * (value - record.success_rate);
  pool_rate_ += kPoolSmoothing * (value - pool_rate_);
  ++record.samples;
  record.consecutive_failures = success ? 0 : record.consecutive_failures + 1;
  if (success || !IsOutlier(record) || !MayEject()) {
    return false;
  }
  const uint32_t doublings = std::min(record.times_ejected, kMaxDoublings);
  const auto length =
      std::min(kMaxEjection, kBaseEjection * (int64_t{1} << doublings));
  ++record.times_ejected;
  record.ejected = true;
  record.until = now + length;
  ejections_.emplace(record.until, member);
  return true;
}

bool OutlierDetector::IsOutlier(const Member& member) const {
  if (member.consecutive_failures >= kConsecutiveFailures) {
    return true;
  }
  return member.samples >= kMinSamples &&
         member.success_rate < pool_rate_ * kOutlierShare;
}

bool OutlierDetector::MayEject() const {
  const size_t after = ejections_.size() + 1;
  if (after >= members_.size()) {
    return false;
  }
  const double bound = kMaxEjectedShare * static_cast<double>(members_.size());
  return after == 1 || static_cast<double>(after) <= bound;
}

void OutlierDetector::ReadmitMember(size_t id, Member& member) {
  ejections_.erase({member.until, id});
  member.ejected = false;
  member.consecutive_failures = 0;
  member.samples = 0;
  member.success_rate = 1;
}

std::vector<size_t> OutlierDetector::Readmit(core::TimePoint now) {
  std::vector<size_t> readmitted;
  while (!ejections_.empty() && ejections_.begin()->first <= now) {
    const size_t id = ejections_.begin()->second;
    ReadmitMember(id, members_[id]);
    readmitted.push_back(id);
  }
  return readmitted;
}

std::optional<core::TimePoint> OutlierDetector::NextReadmission() const {
  if (ejections_.empty()) {
    return std::nullopt;
  }
  return ejections_.begin()->first;
}

bool OutlierDetector::IsEjected(size_t member) const {
  const auto it = members_.find(member);
  return it != members_.end() && it->second.ejected;
}

}  // namespace hawthorn::scheduling

#include "control/crash_table.h"

#include <algorithm>

namespace hawthorn::control {

void CrashTable::Report(uint64_t digest, int64_t now_ms) {
  CrashCount& crashed = requests_[digest];
  crashed.last_ms = now_ms;
  if (++crashed.upstreams == kCrashLimit) {
    ++revision_;
  }
  if (requests_.size() > kMaxRequests) {
    Erase(std::min_element(requests_.begin(), requests_.end(),
                           [](const auto& a, const auto& b) {
                             return a.second.last_ms < b.second.last_ms;
                           }));
  }
}

void CrashTable::Expire(int64_t now_ms) {
  for (auto it = requests_.begin(); it != requests_.end();) {
    const auto next = std::next(it);
    if (it->second.last_ms + kRetentionMs < now_ms) {
      Erase(it);
    }
    it = next;
  }
}

void CrashTable::Erase(std::map<uint64_t, CrashCount>::iterator it) {
  revision_ += it->second.upstreams >= kCrashLimit ? 1 : 0;
  requests_.erase(it);
}

uint32_t CrashTable::CrashesOf(uint64_t digest) const {
  const auto it = requests_.find(digest);
  return it == requests_.end() ? 0 : it->second.upstreams;
}

std::vector<uint64_t> CrashTable::PoisonDigests() const {
  std::vector<uint64_t> digests;
  for (const auto& [digest, crashed] : requests_) {
    if (crashed.upstreams >= kCrashLimit) {
      digests.push_back(digest);
    }
  }
  return digests;
}

void CrashTable::Save(schema::DeploymentSnapshot* snapshot) const {
  for (const auto& [digest, crashed] : requests_) {
    schema::CrashedRequest* out = snapshot->add_crashed();
    out->set_digest(digest);
    out->set_upstreams(crashed.upstreams);
    out->set_last_ms(crashed.last_ms);
  }
  snapshot->set_crash_revision(revision_);
}

void CrashTable::Load(const schema::DeploymentSnapshot& snapshot) {
  for (const schema::CrashedRequest& it : snapshot.crashed()) {
    requests_[it.digest()] = {it.upstreams(), it.last_ms()};
  }
  revision_ = snapshot.crash_revision();
}

}  // namespace hawthorn::control

#include "contact.h"

#include <algorithm>

namespace hawthorn::soak {

namespace {

constexpr int64_t kContactMs = 3000;
constexpr int64_t kApplyMs = 2000;
/// A disk that takes longer to sync slows the core; one that takes this long
/// does not count as running.
constexpr std::chrono::milliseconds kSlowSync{700};
constexpr std::chrono::milliseconds kStalledSync{2000};
/// What an unstable core adds to the bound.
constexpr int64_t kOuterMs = 5000;

bool IsDown(const Instance& it) {
  return it.paused || it.stalled || it.cut || !it.wanted;
}

}  // namespace

void Contact::Observe(std::chrono::milliseconds sync_time) {
  const int64_t now = findings_.Now();
  if (sync_time > kSlowSync) {
    disk_slow_at_ = now;
  }
  size_t up = 0;
  const std::vector<Instance*> core = fleet_.WithDisk();
  for (const Instance* it : core) {
    // An instance that is back counts once it had its time in contact.
    up += !IsDown(*it) && now - it->last_disruption >= kContactMs ? 1 : 0;
  }
  if (up * 2 <= core.size() || sync_time > kStalledSync) {
    core_up_since_ = now;
  }
  if (!CoreStable(now)) {
    core_stable_since_ = now;
  }
}

bool Contact::CoreStable(int64_t since) const {
  const std::vector<Instance*> core = fleet_.WithDisk();
  if (since - disk_slow_at_ < kContactMs) {
    return false;
  }
  return std::none_of(core.begin(), core.end(), [since](const Instance* it) {
    return IsDown(*it) || since - it->last_disruption < kContactMs;
  });
}

std::optional<int64_t> Contact::ApplyBound(const Instance& it,
                                           int64_t sent) const {
  if (it.paused || !it.wanted || sent - it.last_disruption < kContactMs) {
    return std::nullopt;
  }
  return CoreStable(sent) ? kApplyMs : kApplyMs + kOuterMs;
}

}  // namespace hawthorn::soak

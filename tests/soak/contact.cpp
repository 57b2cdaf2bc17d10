#include "contact.h"

#include <algorithm>

namespace hawthorn::soak {

namespace {

constexpr int64_t kContactMs = 3000;
constexpr int64_t kApplyMs = 2000;
/// What an unstable core adds to the bound.
constexpr int64_t kOuterMs = 5000;

bool IsDown(const Instance& it) {
  return it.paused || it.stalled || it.cut || !it.wanted;
}

}  // namespace

void Contact::Observe() {
  const int64_t now = findings_.Now();
  size_t up = 0;
  const std::vector<Instance*> core = fleet_.WithDisk();
  for (const Instance* it : core) {
    // An instance that is back counts once it had its time in contact.
    up += !IsDown(*it) && now - it->last_disruption >= kContactMs ? 1 : 0;
  }
  if (up * 2 <= core.size()) {
    core_up_since_ = now;
  }
  if (!CoreStable(now)) {
    core_stable_since_ = now;
  }
}

bool Contact::CoreStable(int64_t since) const {
  const std::vector<Instance*> core = fleet_.WithDisk();
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

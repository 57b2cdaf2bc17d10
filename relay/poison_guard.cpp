#include "relay/poison_guard.h"

#include <utility>

namespace hawthorn::relay {

bool PoisonGuard::SetListed(std::set<uint64_t> refused,
                            std::set<uint64_t> suspected) {
  if (refused == listed_ && suspected == suspected_) {
    return false;
  }
  listed_ = std::move(refused);
  suspected_ = std::move(suspected);
  return true;
}

void PoisonGuard::OnCrash(const schema::ReportCrash& report, int64_t now_ms) {
  seen_.EndRefusals(now_ms);
  seen_.Expire(now_ms);
  seen_.Report(report, true, now_ms);
}

std::optional<PoisonGuard::Kind> PoisonGuard::Find(
    const RequestDigests& digests, int64_t now_ms) {
  seen_.EndRefusals(now_ms);
  const auto is_refused = [this](uint64_t digest) {
    return listed_.contains(digest) || seen_.refused().contains(digest);
  };
  if (is_refused(digests.content)) {
    return Kind::kContent;
  }
  for (const uint64_t it : digests.prefixes) {
    if (is_refused(it)) {
      return Kind::kPrefix;
    }
  }
  return is_refused(digests.target) ? std::optional(Kind::kTarget)
                                    : std::nullopt;
}

std::vector<uint64_t> PoisonGuard::OnSuccess(const RequestDigests& digests) {
  std::vector<uint64_t> cleared;
  const auto clear = [&](uint64_t digest) {
    seen_.Succeeded(digest);
    // One report is enough until the list changes.
    if (suspected_.erase(digest) > 0) {
      cleared.push_back(digest);
    }
  };
  clear(digests.content);
  for (const uint64_t it : digests.prefixes) {
    clear(it);
  }
  clear(digests.target);
  return cleared;
}

}  // namespace hawthorn::relay

#include "scheduling/upstream_pool.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace hawthorn::scheduling {
namespace {

/// Number of steps in which the window grows during slow start.
constexpr int kRampSteps = 10;
/// Maximum number of upstreams with the same prefix that are compared for a
/// call.
constexpr size_t kMaxHolders = 16;

}  // namespace

UpstreamPool::UpstreamPool(core::ZoneId zone) : zone_(std::move(zone)) {}

size_t UpstreamPool::Allocate(const UpstreamState& state) {
  Slot slot(state.max_running);
  slot.incarnation = next_incarnation_++;
  if (unused_.empty()) {
    slots_.push_back(std::move(slot));
    return slots_.size() - 1;
  }
  const size_t id = unused_.back();
  unused_.pop_back();
  slots_[id] = std::move(slot);
  return id;
}

void UpstreamPool::Set(const UpstreamState& state, core::TimePoint now) {
  auto it = by_name_.find(state.id);
  const bool added = it == by_name_.end();
  if (added) {
    it = by_name_.emplace(state.id, Allocate(state)).first;
  }
  const size_t id = it->second;
  Slot& slot = slots_[id];
  const bool was_usable = !added && !slot.state.leaving;
  slot.window.SetMaxRunning(state.max_running);
  slot.state = state;
  if (was_usable && state.leaving) {
    --usable_;
    router_.Remove(id);
    Readmit(outliers_.Remove(id), now);
  }
  if (!was_usable && !state.leaving) {
    const bool others_serve = usable_ > 0 && capacity_ > 0;
    ++usable_;
    router_.Add(id);
    outliers_.Add(id);
    if (others_serve && ramps_.empty()) {
      BeginSlowStart(id, now);
    }
  }
  Refresh(id, now);
}

void UpstreamPool::Remove(const core::UpstreamId& upstream,
                          core::TimePoint now) {
  const auto it = by_name_.find(upstream);
  if (it == by_name_.end()) {
    return;
  }
  const size_t id = it->second;
  Slot& slot = slots_[id];
  by_name_.erase(it);
  if (!slot.state.leaving) {
    --usable_;
    router_.Remove(id);
    Readmit(outliers_.Remove(id), now);
  }
  slot.used = false;
  Refresh(id, now);
  std::erase_if(ramps_, [id](const auto& ramp) { return ramp.second == id; });
  cache_.Remove(id);
  unused_.push_back(id);
}

void UpstreamPool::BeginSlowStart(size_t id, core::TimePoint now) {
  slots_[id].ramp_from = now;
  ramps_.emplace(now + kSlowStart / kRampSteps, id);
}

void UpstreamPool::Readmit(const std::vector<size_t>& slots,
                           core::TimePoint now) {
  for (const size_t id : slots) {
    BeginSlowStart(id, now);
    Refresh(id, now);
  }
}

void UpstreamPool::OnReport(const core::UpstreamId& upstream,
                            const LoadReport& report, core::TimePoint now) {
  const auto it = by_name_.find(upstream);
  if (it == by_name_.end()) {
    return;
  }
  if (slots_[it->second].window.OnReport(report, now)) {
    Refresh(it->second, now);
  }
}

CacheSync UpstreamPool::OnCacheEvent(const core::UpstreamId& upstream,
                                     const CacheEvent& event) {
  const auto it = by_name_.find(upstream);
  if (it == by_name_.end()) {
    return CacheSync::kIgnored;
  }
  return cache_.Apply(it->second, event);
}

void UpstreamPool::OnCacheListing(const core::UpstreamId& upstream,
                                  const CacheListing& listing) {
  const auto it = by_name_.find(upstream);
  if (it != by_name_.end()) {
    cache_.Replace(it->second, listing);
  }
}

void UpstreamPool::SetInstanceCount(size_t instances, core::TimePoint now) {
  instances_ = std::max<size_t>(1, instances);
  RefreshAll(now);
}

void UpstreamPool::SetHealthControl(HealthControl control,
                                    core::TimePoint now) {
  health_ = control;
  RefreshAll(now);
}

void UpstreamPool::RefreshAll(core::TimePoint now) {
  for (const auto& [name, id] : by_name_) {
    Refresh(id, now);
  }
}

void UpstreamPool::Advance(core::TimePoint now) {
  Readmit(outliers_.Readmit(now), now);
  if (router_.Update(now) && health_ == HealthControl::kFeedback) {
    RefreshAll(now);
  }
  while (!ramps_.empty() && ramps_.begin()->first <= now) {
    const size_t id = ramps_.begin()->second;
    ramps_.erase(ramps_.begin());
    Slot& slot = slots_[id];
    if (slot.ramp_from && now - *slot.ramp_from < kSlowStart) {
      ramps_.emplace(now + kSlowStart / kRampSteps, id);
    } else {
      slot.ramp_from.reset();
    }
    Refresh(id, now);
  }
}

std::optional<core::TimePoint> UpstreamPool::NextEvent() const {
  std::optional<core::TimePoint> next = outliers_.NextReadmission();
  if (!ramps_.empty() && (!next || ramps_.begin()->first < *next)) {
    next = ramps_.begin()->first;
  }
  if (health_ == HealthControl::kFeedback && router_.NextUpdate() &&
      (!next || *router_.NextUpdate() < *next)) {
    next = router_.NextUpdate();
  }
  return next;
}

bool UpstreamPool::Has(const core::UpstreamId& upstream) const {
  return by_name_.contains(upstream);
}

uint32_t UpstreamPool::LimitOf(size_t id, core::TimePoint now) const {
  const Slot& slot = slots_[id];
  if (!slot.used || slot.state.leaving || slot.reserved) {
    return 0;
  }
  double limit = slot.window.Limit(instances_, now);
  if (health_ == HealthControl::kFeedback) {
    limit *= std::min(1.0, router_.RelativeShare(id));
  } else if (outliers_.IsEjected(id)) {
    return 0;
  }
  if (slot.ramp_from) {
    const std::chrono::duration<double> ramped = now - *slot.ramp_from;
    const double part = ramped / std::chrono::duration<double>(kSlowStart);
    limit *= std::clamp(part, kSlowStartFloor, 1.0);
  }
  return std::max<uint32_t>(1, static_cast<uint32_t>(limit));
}

void UpstreamPool::Unindex(size_t id) {
  Slot& slot = slots_[id];
  if (!slot.indexed) {
    return;
  }
  (slot.state.zone == zone_ ? local_ : remote_).erase({slot.load, id});
  slot.indexed = false;
}

void UpstreamPool::Refresh(size_t id, core::TimePoint now) {
  Slot& slot = slots_[id];
  Unindex(id);
  const uint32_t limit = LimitOf(id, now);
  if (slot.state.zone == zone_) {
    capacity_ += limit;
    capacity_ -= slot.limit;
  }
  slot.limit = limit;
  if (slot.window.in_flight() >= limit) {
    return;
  }
  const auto window = std::max<uint32_t>(1, slot.window.window());
  slot.load = static_cast<double>(slot.window.EstimatedLoad(now)) / window;
  slot.indexed = true;
  (slot.state.zone == zone_ ? local_ : remote_).emplace(slot.load, id);
}

bool UpstreamPool::Allows(const Slot& slot, const CallRequest& call) const {
  const auto& models = slot.state.models;
  if (!call.model.empty() && !models.empty() &&
      std::find(models.begin(), models.end(), call.model) == models.end()) {
    return false;
  }
  if (call.excluded.size() >= usable_) {
    return true;
  }
  return std::find(call.excluded.begin(), call.excluded.end(), slot.state.id) ==
         call.excluded.end();
}

std::optional<size_t> UpstreamPool::LeastLoaded(const LoadIndex& index,
                                                const CallRequest& call,
                                                double load_bound) const {
  for (const auto& [load, id] : index) {
    if (load > load_bound) {
      return std::nullopt;
    }
    if (Allows(slots_[id], call)) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<Placement> UpstreamPool::ChooseCached(const CallRequest& call,
                                                    double bound,
                                                    size_t fallback) const {
  const double least = slots_[fallback].load;
  for (auto it = call.prefix.rbegin(); it != call.prefix.rend(); ++it) {
    const std::vector<size_t>& holders = cache_.Holders(it->hash);
    std::optional<size_t> best;
    for (size_t n = 0; n < std::min(holders.size(), kMaxHolders); ++n) {
      const size_t id = holders[n];
      const Slot& slot = slots_[id];
      const bool fits = slot.indexed && slot.state.zone == zone_ &&
                        slot.load <= least + bound && Allows(slot, call);
      if (fits && (!best || slot.load < slots_[*best].load)) {
        best = id;
      }
    }
    if (best) {
      return Placement{*best, false, it->tokens};
    }
  }
  return std::nullopt;
}

std::optional<Placement> UpstreamPool::Choose(
    const CallRequest& call, const PlacementRules& rules) const {
  constexpr double kNoBound = std::numeric_limits<double>::max();
  const std::optional<size_t> local = LeastLoaded(local_, call, kNoBound);
  if (local) {
    if (rules.affinity) {
      const auto cached = ChooseCached(call, rules.imbalance_bound, *local);
      if (cached) {
        return cached;
      }
    }
    return Placement{*local, false, cache_.CachedTokens(*local, call.prefix)};
  }
  const double bound = capacity_ == 0 ? kNoBound : kSpillLoad;
  const std::optional<size_t> remote = LeastLoaded(remote_, call, bound);
  if (!remote) {
    return std::nullopt;
  }
  return Placement{*remote, true, cache_.CachedTokens(*remote, call.prefix)};
}

std::optional<size_t> UpstreamPool::Home(
    const std::vector<PrefixSegment>& prefix) const {
  for (auto it = prefix.rbegin(); it != prefix.rend(); ++it) {
    const std::vector<size_t>& holders = cache_.Holders(it->hash);
    if (holders.empty()) {
      continue;
    }
    const size_t compared = std::min(holders.size(), kMaxHolders);
    return *std::min_element(
        holders.begin(), holders.begin() + static_cast<ptrdiff_t>(compared),
        [this](size_t a, size_t b) { return slots_[a].load < slots_[b].load; });
  }
  return std::nullopt;
}

bool UpstreamPool::Admits(size_t slot, const CallRequest& call) const {
  return slots_[slot].indexed && Allows(slots_[slot], call);
}

int64_t UpstreamPool::CachedTokens(
    size_t slot, const std::vector<PrefixSegment>& prefix) const {
  return cache_.CachedTokens(slot, prefix);
}

std::optional<size_t> UpstreamPool::Reserve(const CallRequest& call,
                                            core::TimePoint now) {
  std::optional<size_t> best;
  for (const auto& [name, id] : by_name_) {
    const Slot& slot = slots_[id];
    const bool usable = !slot.state.leaving && !slot.reserved && slot.limit > 0;
    if (!usable || !Allows(slot, call)) {
      continue;
    }
    const auto key = std::make_pair(slot.window.EstimatedLoad(now), id);
    if (!best ||
        key < std::make_pair(slots_[*best].window.EstimatedLoad(now), *best)) {
      best = id;
    }
  }
  if (best) {
    slots_[*best].reserved = true;
    Refresh(*best, now);
  }
  return best;
}

bool UpstreamPool::IsIdle(size_t slot) const {
  return slots_[slot].window.in_flight() == 0;
}

bool UpstreamPool::IsUsable(size_t slot, uint64_t incarnation) const {
  const Slot& it = slots_[slot];
  return it.used && !it.state.leaving && it.incarnation == incarnation;
}

void UpstreamPool::Unreserve(size_t slot, uint64_t incarnation,
                             core::TimePoint now) {
  if (slots_[slot].incarnation != incarnation) {
    return;
  }
  slots_[slot].reserved = false;
  Refresh(slot, now);
}

void UpstreamPool::Start(size_t slot, core::TimePoint now) {
  slots_[slot].window.OnStart(now);
  Refresh(slot, now);
}

void UpstreamPool::End(size_t slot, uint64_t incarnation,
                       const CallResult& result, core::TimePoint now) {
  Slot& ended = slots_[slot];
  if (!ended.used || ended.incarnation != incarnation) {
    return;
  }
  ended.window.OnEnd(now);
  if (result.outcome != CallOutcome::kCancelled) {
    const bool success = result.outcome == CallOutcome::kSucceeded;
    router_.Record(slot, success);
    if (health_ == HealthControl::kOutlierDetection &&
        outliers_.Record(slot, success, now)) {
      ++ejections_;
    }
  }
  if (result.outcome == CallOutcome::kSucceeded && result.produced &&
      ended.state.cache_tokens > 0) {
    cache_.Insert(slot, *result.produced);
  }
  Refresh(slot, now);
}

const core::UpstreamId& UpstreamPool::Name(size_t slot) const {
  return slots_[slot].state.id;
}

uint64_t UpstreamPool::Incarnation(size_t slot) const {
  return slots_[slot].incarnation;
}

int64_t UpstreamPool::CacheTokens(size_t slot) const {
  return slots_[slot].state.cache_tokens;
}

bool UpstreamPool::CrossesZone(size_t slot) const {
  return slots_[slot].state.zone != zone_;
}

}  // namespace hawthorn::scheduling

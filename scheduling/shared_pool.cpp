#include "scheduling/shared_pool.h"

#include <algorithm>
#include <functional>

namespace hawthorn::scheduling {

namespace {

constexpr double kRunSmoothing = 0.05;
constexpr double kFailureSmoothing = 0.1;
/// Fraction of the prompt that the home upstream of a started program is
/// assumed to have cached when this instance has not observed its cache. The
/// earlier calls of the program may have come through other instances.
constexpr double kHomeCachedShare = 0.6;

/// Weight of an upstream for a key in rendezvous hashing.
uint64_t RendezvousWeight(const std::string& key, const std::string& upstream) {
  return std::hash<std::string>{}(key + '\n' + upstream);
}

bool IsExcluded(const CallRequest& call, const core::UpstreamId& upstream) {
  return std::find(call.excluded.begin(), call.excluded.end(), upstream) !=
         call.excluded.end();
}

bool IsOfVersion(const CallRequest& call, const UpstreamState& upstream) {
  return !call.software_version ||
         *call.software_version == upstream.software_version;
}

}  // namespace

uint64_t SharedPool::NextRandom() {
  // SplitMix64.
  random_ += 0x9e3779b97f4a7c15U;
  uint64_t z = random_;
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31U);
}

double SharedPool::ShareOf(double limit) const {
  const double share =
      std::max(limit, kLeastLimit) / static_cast<double>(instances_);
  return share < kSparseShare && instances_ > 1 ? share * kSparseReserve
                                                : share;
}

void SharedPool::UpdateShare(Upstream* upstream, core::TimePoint now) {
  if (!upstream->state.request_limit) {
    upstream->share.reset();
    return;
  }
  const double per_second = ShareOf(*upstream->state.request_limit);
  if (upstream->share) {
    upstream->share->SetRate(per_second, now);
    return;
  }
  const double phase =
      static_cast<double>(NextRandom()) / static_cast<double>(UINT64_MAX);
  upstream->share.emplace(per_second, phase, now);
}

void SharedPool::SetInstanceCount(size_t instances, core::TimePoint now) {
  instances_ = std::max<size_t>(1, instances);
  for (auto& [id, upstream] : upstreams_) {
    UpdateShare(&upstream, now);
  }
}

void SharedPool::Set(const UpstreamState& state, core::TimePoint now) {
  const auto [it, added] = upstreams_.try_emplace(state.id);
  if (added) {
    it->second.cache_slot = next_cache_slot_++;
  }
  it->second.state = state;
  UpdateShare(&it->second, now);
}

void SharedPool::Remove(const core::UpstreamId& upstream) {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end()) {
    return;
  }
  cache_.Remove(it->second.cache_slot);
  upstreams_.erase(it);
}

void SharedPool::OnReport(const core::UpstreamId& upstream,
                          const LoadReport& report) {
  const auto it = upstreams_.find(upstream);
  if (it != upstreams_.end()) {
    Upstream& reporting = it->second;
    reporting.load.OnReport(report);
    others_per_slot_.Add(reporting.load.others() / reporting.MaxRunning(),
                         report.taken_at);
  }
}

void SharedPool::OnSlowdown(const core::UpstreamId& upstream, double slowdown,
                            core::TimePoint taken_at) {
  const auto it = upstreams_.find(upstream);
  if (it != upstreams_.end()) {
    it->second.speed.OnReport(slowdown, taken_at);
  }
}

size_t SharedPool::SlowCount(core::TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(), [now](const auto& it) {
        return it.second.speed.SlowdownAt(now) >= kSlow;
      }));
}

double SharedPool::PrefillCost(int64_t tokens, double total) {
  return static_cast<double>(tokens) * kMsPerPromptToken * (1 + total);
}

double SharedPool::CostOf(const Upstream& upstream, const CallRequest& call,
                          double total, double slowdown) const {
  if (placement_ == SharedPlacement::kLeastLoaded) {
    return total / upstream.MaxRunning();
  }
  const double waiting = std::max(0.0, total + 1 - upstream.MaxRunning());
  const double wait_ms =
      waiting / upstream.MaxRunning() * mean_run_seconds_ * 1000.0;
  const double extra_run_ms = (slowdown - 1) * mean_run_seconds_ * 1000.0;
  double cost = (wait_ms + total * kMsPerRunningCall) * slowdown + extra_run_ms;
  if (upstream.state.cache_tokens > 0) {
    const int64_t cached =
        cache_.CachedTokens(upstream.cache_slot, call.prefix);
    cost += PrefillCost(call.prompt_tokens - cached, total) * slowdown;
  }
  cost += upstream.state.zone == zone_ ? 0 : kCrossZoneMs;
  return cost + upstream.failures * kFailureMs;
}

std::optional<core::UpstreamId> SharedPool::Choose(const CallRequest& call,
                                                   core::TimePoint now) {
  std::vector<const Upstream*> usable;
  for (const bool allow_excluded : {false, true}) {
    for (const auto& [id, upstream] : upstreams_) {
      if (upstream.TakesCalls() && IsOfVersion(call, upstream.state) &&
          (allow_excluded || !IsExcluded(call, id))) {
        usable.push_back(&upstream);
      }
    }
    if (!usable.empty()) {
      break;
    }
  }
  const double others = others_per_slot_.Value(now);
  // The mean load of the pool alone never makes an upstream count as full: an
  // upstream without reports is still tried.
  const double bounded_others = std::min(others, 1.0);
  std::erase_if(usable, [bounded_others, now](const Upstream* it) {
    if (it->share && !it->share->Allows(now)) {
      return true;
    }
    const double total =
        it->load.Total(now, bounded_others * (it->MaxRunning() - 1));
    return total + 1 > it->Room(now);
  });
  const bool has_room = !usable.empty();
  std::erase_if(usable, [&](const Upstream* it) {
    const bool is_held = memory_hold_ && memory_hold_->call != call.id &&
                         memory_hold_->upstream == it->state.id &&
                         now < memory_hold_->until;
    return is_held || !FitsMemory(*it, call, bounded_others, now);
  });
  lacked_memory_ = has_room && usable.empty();
  if (usable.empty()) {
    return std::nullopt;
  }
  if (placement_ == SharedPlacement::kRandom) {
    return usable[NextRandom() % usable.size()]->state.id;
  }
  const Upstream* home = nullptr;
  uint64_t home_weight = 0;
  const bool is_home_shared = instances_ >= kManyInstances;
  if ((call.attained_tokens > 0 || is_home_shared) && !call.program.empty()) {
    for (const Upstream* it : usable) {
      const uint64_t weight =
          RendezvousWeight(call.program.text(), it->state.id.text());
      if (home == nullptr || weight > home_weight) {
        home = it;
        home_weight = weight;
      }
    }
  }
  const Upstream* best = nullptr;
  double best_cost = 0;
  bool speeds_differ = false;
  std::vector<std::pair<double, const Upstream*>> costs;
  for (const Upstream* it : usable) {
    const double total = it->load.Total(now, others * it->MaxRunning());
    const double slowdown = it->speed.SlowdownAt(now);
    speeds_differ = speeds_differ || slowdown != 1;
    double cost = CostOf(*it, call, total, slowdown);
    const bool is_assumed_cached =
        it == home && it->state.cache_tokens > 0 &&
        (is_home_shared ||
         cache_.CachedTokens(it->cache_slot, call.prefix) == 0);
    if (is_assumed_cached) {
      const auto assumed = static_cast<int64_t>(
          static_cast<double>(call.prompt_tokens) * kHomeCachedShare);
      cost -= PrefillCost(assumed, total) * slowdown;
    }
    costs.emplace_back(cost, it);
    if (best == nullptr || cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  if (speeds_differ) {
    best = PickNear(costs, best_cost);
  }
  return best->state.id;
}

const SharedPool::Upstream* SharedPool::PickNear(
    const std::vector<std::pair<double, const Upstream*>>& costs,
    double best_cost) {
  std::vector<const Upstream*> near;
  for (const auto& [cost, upstream] : costs) {
    if (cost <= best_cost + kMsPerRunningCall) {
      near.push_back(upstream);
    }
  }
  return near[NextRandom() % near.size()];
}

bool SharedPool::FitsMemory(const Upstream& upstream, const CallRequest& call,
                            double expected_others, core::TimePoint now) const {
  const double total =
      upstream.load.Total(now, expected_others * (upstream.MaxRunning() - 1));
  return upstream.tokens.Fits(MemoryTokensOf(call), upstream.state.cache_tokens,
                              total - upstream.load.local(),
                              mean_tokens_.value());
}

bool SharedPool::CanHold(const CallRequest& call) const {
  bool any = false;
  for (const auto& [id, it] : upstreams_) {
    if (it.state.leaving || !IsOfVersion(call, it.state)) {
      continue;
    }
    any = true;
    if (it.state.cache_tokens <= 0 ||
        MemoryTokensOf(call) <= it.state.cache_tokens) {
      return true;
    }
  }
  return !any;
}

void SharedPool::HoldMemory(const CallRequest& call, core::TimePoint now) {
  if (memory_hold_) {
    MemoryHold& hold = *memory_hold_;
    const bool is_own = hold.call == call.id;
    if (is_own && now < hold.since + kLongestMemoryHold) {
      hold.until = std::min(now + kMemoryHold, hold.since + kLongestMemoryHold);
      return;
    }
    if (is_own ? now < hold.since + 2 * kLongestMemoryHold : now < hold.until) {
      return;
    }
  }
  const Upstream* best = nullptr;
  int64_t best_free = 0;
  for (const auto& [id, it] : upstreams_) {
    const int64_t free = it.state.cache_tokens - it.tokens.own();
    if (it.TakesCalls() && IsOfVersion(call, it.state) &&
        MemoryTokensOf(call) <= it.state.cache_tokens &&
        (best == nullptr || free > best_free)) {
      best = &it;
      best_free = free;
    }
  }
  if (best != nullptr) {
    memory_hold_ = {best->state.id, call.id, now, now + kMemoryHold};
  }
}

std::string SharedPool::ProposeVersion(const CallRequest& call,
                                       core::TimePoint now) {
  std::map<std::string, double> slots;
  for (const auto& [id, it] : upstreams_) {
    if (!it.state.leaving) {
      slots[it.state.software_version] += it.TakesCalls() ? it.MaxRunning() : 0;
    }
  }
  if (slots.size() > 1) {
    if (const auto upstream = Choose(call, now)) {
      return upstreams_.at(*upstream).state.software_version;
    }
  }
  const auto most = std::max_element(
      slots.begin(), slots.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == slots.end() ? "" : most->first;
}

bool SharedPool::HasVersionFor(const CallRequest& call) const {
  if (!call.software_version) {
    return true;
  }
  bool may_return = false;
  bool others_take_calls = false;
  for (const auto& [id, it] : upstreams_) {
    const bool is_of_version = IsOfVersion(call, it.state);
    if (is_of_version && it.TakesCalls()) {
      return true;
    }
    may_return = may_return || (is_of_version && !it.state.leaving);
    others_take_calls = others_take_calls || it.TakesCalls();
  }
  return call.continues_stream ? may_return : !others_take_calls;
}

std::set<std::string> SharedPool::Versions() const {
  std::set<std::string> versions;
  for (const auto& [id, it] : upstreams_) {
    if (!it.state.leaving) {
      versions.insert(it.state.software_version);
    }
  }
  return versions;
}

int64_t SharedPool::TokensToRead(const core::UpstreamId& upstream,
                                 const CallRequest& call) const {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end() || it->second.state.cache_tokens == 0) {
    return 0;
  }
  return std::max<int64_t>(
      0, call.prompt_tokens -
             cache_.CachedTokens(it->second.cache_slot, call.prefix));
}

void SharedPool::Start(const core::UpstreamId& upstream,
                       const CallRequest& call, core::TimePoint now) {
  const auto it = upstreams_.find(upstream);
  if (memory_hold_ && memory_hold_->call == call.id) {
    memory_hold_.reset();
  }
  if (it != upstreams_.end()) {
    it->second.load.OnStart(now);
    it->second.tokens.OnStart(call.id, MemoryTokensOf(call));
    mean_tokens_.Add(MemoryTokensOf(call));
    if (it->second.share) {
      it->second.share->Take(now);
    }
  }
}

bool SharedPool::TakeRepeat(const core::UpstreamId& upstream,
                            core::TimePoint now) {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end() || !it->second.share) {
    return true;
  }
  if (!it->second.share->Allows(now)) {
    return false;
  }
  it->second.share->Take(now);
  return true;
}

void SharedPool::End(const core::UpstreamId& upstream, const CallResult& result,
                     std::chrono::duration<double> ran, core::TimePoint now) {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end()) {
    return;
  }
  Upstream& ended = it->second;
  ended.load.OnEnd(now);
  ended.tokens.OnEnd(result.call);
  switch (result.outcome) {
    case CallOutcome::kCancelled:
      return;
    case CallOutcome::kUnreachable:
      Suspend(upstream, now);
      return;
    case CallOutcome::kFailed:
      ended.failures += kFailureSmoothing * (1 - ended.failures);
      return;
    case CallOutcome::kSucceeded:
      break;
  }
  Resume(upstream);
  ended.failures *= 1 - kFailureSmoothing;
  mean_run_seconds_ += kRunSmoothing * (ran.count() - mean_run_seconds_);
  if (result.produced && ended.state.cache_tokens > 0) {
    cache_.Insert(ended.cache_slot, *result.produced);
  }
}

SharedPool::Capacity SharedPool::CapacityAt(core::TimePoint now) const {
  const double others = others_per_slot_.Value(now);
  Capacity capacity;
  for (const auto& [id, it] : upstreams_) {
    if (!it.TakesCalls()) {
      continue;
    }
    const bool is_limited =
        it.share &&
        *it.state.request_limit * mean_run_seconds_ < it.MaxRunning();
    if (!is_limited) {
      capacity.running_limit += it.MaxRunning();
      capacity.load += it.load.Total(now, others * it.MaxRunning());
      continue;
    }
    const auto wait = it.share->Wait(now);
    capacity.limited_wait = capacity.limited_per_second == 0
                                ? wait
                                : std::min(capacity.limited_wait, wait);
    capacity.limited_per_second += ShareOf(*it.state.request_limit);
  }
  capacity.running_per_second = capacity.running_limit / mean_run_seconds_ /
                                static_cast<double>(instances_);
  return capacity;
}

void SharedPool::Suspend(const core::UpstreamId& upstream,
                         core::TimePoint now) {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end()) {
    return;
  }
  Upstream& suspended = it->second;
  suspended.suspension = std::clamp(suspended.suspension * 2, kFirstSuspension,
                                    kLongestSuspension);
  suspended.check_at = now + suspended.suspension;
}

void SharedPool::Resume(const core::UpstreamId& upstream) {
  const auto it = upstreams_.find(upstream);
  if (it != upstreams_.end()) {
    it->second.check_at.reset();
    it->second.suspension = std::chrono::milliseconds(0);
  }
}

std::vector<core::UpstreamId> SharedPool::DueChecks(core::TimePoint now) const {
  std::vector<core::UpstreamId> due;
  for (const auto& [id, it] : upstreams_) {
    if (it.check_at && *it.check_at <= now) {
      due.push_back(id);
    }
  }
  return due;
}

bool SharedPool::HasSuspended() const { return SuspendedCount() > 0; }

size_t SharedPool::SuspendedCount() const {
  return static_cast<size_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(),
      [](const auto& it) { return it.second.check_at.has_value(); }));
}

bool SharedPool::IsSuspended(const core::UpstreamId& upstream) const {
  const auto it = upstreams_.find(upstream);
  return it != upstreams_.end() && it->second.check_at.has_value();
}

bool SharedPool::IsUnreachable() const {
  bool any = false;
  for (const auto& [id, it] : upstreams_) {
    if (it.TakesCalls()) {
      return false;
    }
    any = any || !it.state.leaving;
  }
  return any;
}

}  // namespace hawthorn::scheduling

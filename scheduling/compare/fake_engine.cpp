#include "scheduling/compare/fake_engine.h"

#include <algorithm>

namespace hawthorn::scheduling::compare {

void FakeEngine::Submit(const EngineRequest& request, core::TimePoint now) {
  waiting_.push_back(request);
  Admit(now);
}

void FakeEngine::Admit(core::TimePoint now) {
  while (!waiting_.empty() && running_.size() < settings_.max_running) {
    if (!TryAdmit(waiting_.front(), now)) {
      return;
    }
    waiting_.pop_front();
  }
}

bool FakeEngine::TryAdmit(const EngineRequest& request, core::TimePoint now) {
  Sequence sequence;
  sequence.request = request;
  sequence.output_left = std::max<int64_t>(1, request.output_tokens);
  for (const PrefixSegment& prefix : request.prefix) {
    const auto it = cache_.find(prefix.hash);
    if (it == cache_.end()) {
      continue;
    }
    sequence.cached_tokens = prefix.tokens;
    sequence.locked.push_back(prefix.hash);
    ++it->second.users;
  }
  sequence.prefill_left = request.prompt_tokens - sequence.cached_tokens;
  sequence.memory = sequence.prefill_left + request.output_tokens;
  const bool has_memory = settings_.cache_tokens > 0;
  if (has_memory && !MakeRoom(sequence.memory, now)) {
    for (const uint64_t hash : sequence.locked) {
      --cache_[hash].users;
    }
    return false;
  }
  // Longer prefixes are touched first, so that they are evicted before the
  // shorter ones that they extend.
  for (auto it = sequence.locked.rbegin(); it != sequence.locked.rend(); ++it) {
    Touch(cache_[*it], now);
  }
  const int64_t reusable =
      request.prefix.empty() ? 0 : request.prefix.back().tokens;
  int64_t recomputed = std::max<int64_t>(0, reusable - sequence.cached_tokens);
  const bool imported =
      recomputed > 0 && exported_.erase(request.prefix.back().hash) > 0;
  if (imported) {
    sequence.prefill_left -= recomputed;
    sequence.import_left = recomputed * settings_.import_per_token;
    sequence.cached_tokens += recomputed;
    recomputed = 0;
  }
  waste_.prefilled_again += recomputed;
  running_tokens_ += has_memory ? sequence.memory : 0;
  running_.push_back(std::move(sequence));
  return true;
}

bool FakeEngine::MakeRoom(int64_t tokens, core::TimePoint now) {
  auto it = order_.begin();
  while (cached_tokens_ + running_tokens_ + tokens > settings_.cache_tokens) {
    while (it != order_.end() &&
           (cache_[*it].users > 0 || cache_[*it].pinned_until > now)) {
      ++it;
    }
    if (it == order_.end()) {
      return running_.empty();
    }
    const uint64_t hash = *it;
    ++it;
    Remove(hash, now);
  }
  return true;
}

void FakeEngine::Remove(uint64_t hash, core::TimePoint now) {
  const auto it = cache_.find(hash);
  if (it == cache_.end()) {
    return;
  }
  const Entry& entry = it->second;
  const double idle =
      std::chrono::duration<double>(now - entry.last_use).count();
  waste_.idle_token_seconds += idle * static_cast<double>(entry.tokens);
  cached_tokens_ -= entry.tokens;
  Emit(false, entry.prefix);
  order_.erase(entry.order);
  cache_.erase(it);
}

void FakeEngine::Store(const PrefixSegment& prefix, int64_t tokens,
                       core::TimePoint now) {
  const auto [it, added] = cache_.try_emplace(prefix.hash);
  Entry& entry = it->second;
  if (added) {
    order_.push_back(prefix.hash);
    entry.order = std::prev(order_.end());
    entry.prefix = prefix;
    entry.tokens = tokens;
    cached_tokens_ += tokens;
    Emit(true, prefix);
  }
  Touch(entry, now);
}

void FakeEngine::Touch(Entry& entry, core::TimePoint now) {
  entry.last_use = now;
  order_.splice(order_.end(), order_, entry.order);
}

std::optional<core::TimePoint> FakeEngine::BeginStep(core::TimePoint now) {
  if (stepping_ || running_.empty()) {
    return std::nullopt;
  }
  stepping_ = true;
  std::chrono::nanoseconds length = settings_.step_base;
  int64_t chunk = settings_.chunk_tokens;
  for (Sequence& it : running_) {
    length += it.import_left;
    it.import_left = std::chrono::nanoseconds(0);
    if (it.prefill_left == 0) {
      length += settings_.step_per_sequence;
      continue;
    }
    const int64_t part = std::min(chunk, it.prefill_left);
    chunk -= part;
    length += part * settings_.prefill_per_token;
  }
  return now + std::chrono::duration_cast<std::chrono::nanoseconds>(length *
                                                                    slowdown_);
}

std::vector<EngineDone> FakeEngine::EndStep(core::TimePoint now) {
  std::vector<EngineDone> done;
  if (!stepping_) {
    return done;
  }
  stepping_ = false;
  int64_t chunk = settings_.chunk_tokens;
  for (Sequence& it : running_) {
    if (it.prefill_left == 0) {
      --it.output_left;
      continue;
    }
    const int64_t part = std::min(chunk, it.prefill_left);
    chunk -= part;
    it.prefill_left -= part;
  }
  for (Sequence& it : running_) {
    if (it.output_left == 0) {
      Finish(it, now, done);
    }
  }
  std::erase_if(running_,
                [](const Sequence& it) { return it.output_left == 0; });
  Admit(now);
  return done;
}

void FakeEngine::Finish(Sequence& sequence, core::TimePoint now,
                        std::vector<EngineDone>& done) {
  const EngineRequest& request = sequence.request;
  for (const uint64_t hash : sequence.locked) {
    --cache_[hash].users;
  }
  EngineDone result{request.call,
                    request.prompt_tokens,
                    sequence.cached_tokens,
                    request.output_tokens,
                    {}};
  if (settings_.cache_tokens > 0) {
    running_tokens_ -= sequence.memory;
    StoreShared(sequence, now);
  }
  if (settings_.cache_tokens > 0 && request.produced.hash != 0) {
    result.produced = request.produced;
  }
  done.push_back(result);
}

void FakeEngine::StoreShared(const Sequence& sequence, core::TimePoint now) {
  const EngineRequest& request = sequence.request;
  int64_t base = 0;
  // The first prefix is shared between programs. The later ones are this
  // program's history; the produced prefix replaces them.
  const bool has_shared = !request.prefix.empty();
  if (has_shared && request.prefix.front().tokens > 0) {
    const PrefixSegment& shared = request.prefix.front();
    base = shared.tokens;
    for (size_t n = 1; n < request.prefix.size(); ++n) {
      const auto it = cache_.find(request.prefix[n].hash);
      if (it != cache_.end() && it->second.users == 0) {
        it->second.last_use = now;
        Remove(request.prefix[n].hash, now);
      }
    }
    MakeRoom(cache_.contains(shared.hash) ? 0 : shared.tokens, now);
    Store(shared, shared.tokens, now);
  }
  if (request.produced.hash != 0) {
    const int64_t unshared_tokens = request.produced.tokens - base;
    MakeRoom(unshared_tokens, now);
    Store(request.produced, unshared_tokens, now);
    const auto shared =
        has_shared ? cache_.find(request.prefix.front().hash) : cache_.end();
    if (shared != cache_.end()) {
      Touch(shared->second, now);
    }
  }
}

std::vector<CallId> FakeEngine::Crash(core::TimePoint now) {
  std::vector<CallId> lost;
  for (const Sequence& it : running_) {
    lost.push_back(it.request.call);
  }
  for (const EngineRequest& it : waiting_) {
    lost.push_back(it.call);
  }
  running_.clear();
  waiting_.clear();
  running_tokens_ = 0;
  while (!order_.empty()) {
    Remove(order_.front(), now);
  }
  exported_.clear();
  stepping_ = false;
  return lost;
}

void FakeEngine::Pin(uint64_t hash, core::TimePoint until) {
  const auto it = cache_.find(hash);
  if (it != cache_.end()) {
    it->second.pinned_until = until;
  }
}

void FakeEngine::Export(const PrefixSegment& prefix, core::TimePoint now) {
  const auto it = cache_.find(prefix.hash);
  if (it == cache_.end() || it->second.users > 0) {
    return;
  }
  Remove(prefix.hash, now);
  exported_.insert(prefix.hash);
}

void FakeEngine::Drop(uint64_t hash, core::TimePoint now) {
  const auto it = cache_.find(hash);
  if (it != cache_.end() && it->second.users == 0) {
    Remove(hash, now);
  }
  exported_.erase(hash);
}

void FakeEngine::Emit(bool stored, const PrefixSegment& prefix) {
  events_.push_back({++sequence_, stored, prefix});
}

std::vector<CacheEvent> FakeEngine::TakeEvents() {
  std::vector<CacheEvent> events;
  events.swap(events_);
  return events;
}

CacheListing FakeEngine::Listing() const {
  CacheListing listing;
  listing.sequence = sequence_;
  for (const uint64_t hash : order_) {
    listing.prefixes.push_back(cache_.at(hash).prefix);
  }
  return listing;
}

CacheWaste FakeEngine::Waste(core::TimePoint now) const {
  CacheWaste waste = waste_;
  for (const auto& [hash, entry] : cache_) {
    const double idle =
        std::chrono::duration<double>(now - entry.last_use).count();
    waste.idle_token_seconds += idle * static_cast<double>(entry.tokens);
  }
  return waste;
}

}  // namespace hawthorn::scheduling::compare

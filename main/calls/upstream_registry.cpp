#include "main/calls/upstream_registry.h"

#include <set>

namespace hawthorn::main {

void UpstreamRegistry::Sync(core::TimePoint now) {
  std::set<core::UpstreamId> present;
  for (const membership::UpstreamRecord& record : directory_.All()) {
    const bool leaving = record.phase == membership::Phase::kLeaving;
    if (!leaving && !directory_.IsRoutable(record.upstream, now)) {
      continue;
    }
    present.insert(record.upstream);
    Update(record, now);
  }
  for (auto it = known_.begin(); it != known_.end();) {
    if (present.contains(it->first)) {
      ++it;
      continue;
    }
    scheduler_.RemoveUpstream(it->first, now);
    it = known_.erase(it);
  }
}

void UpstreamRegistry::Update(const membership::UpstreamRecord& record,
                              core::TimePoint now) {
  scheduling::UpstreamState state;
  state.id = record.upstream;
  state.service = record.service;
  state.zone = record.zone;
  state.max_running = record.max_running;
  state.cache_tokens = record.cache_tokens;
  state.leaving = record.phase == membership::Phase::kLeaving;
  const auto [it, inserted] = known_.try_emplace(record.upstream);
  KnownUpstream& known = it->second;
  known.address = record.address;
  known.incarnation = record.incarnation;
  if (inserted || known.state != state) {
    known.state = state;
    scheduler_.SetUpstream(state, now);
  }
  if (inserted || known.load != record.load) {
    known.load = record.load;
    scheduler_.OnReport(record.upstream,
                        {now, record.load.running, record.load.waiting,
                         record.load.cached_tokens},
                        now);
  }
}

std::optional<UpstreamTarget> UpstreamRegistry::Target(
    const core::UpstreamId& id) const {
  const auto it = known_.find(id);
  if (it == known_.end() || it->second.state.leaving) {
    return std::nullopt;
  }
  return UpstreamTarget{it->second.address, it->second.incarnation};
}

}  // namespace hawthorn::main

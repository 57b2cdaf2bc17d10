// Creates gossip messages.

#include <algorithm>

#include "membership/gossip_codec.h"
#include "membership/membership.h"

namespace hawthorn::membership {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr int64_t kTokensPerKilotoken = 1024;
/// Age from which a heartbeat is useless, because its instance is considered
/// dead.
constexpr milliseconds kMaxHeartbeatAge{4000};

void SortByAge(std::vector<Heartbeat>& heartbeats) {
  std::ranges::sort(heartbeats, [](const Heartbeat& a, const Heartbeat& b) {
    return std::tie(a.age, a.instance) < std::tie(b.age, b.instance);
  });
}

}  // namespace

schema::Gossip Membership::NewMessage(core::TimePoint now) const {
  schema::Gossip gossip;
  schema::Heartbeats& batch = *gossip.mutable_heartbeats();
  batch.set_base_revision(heartbeat_.revision);
  batch.set_highest_offset(instances_.HighestRevision() - heartbeat_.revision);
  Heartbeat local = heartbeat_;
  local.age = duration_cast<milliseconds>(now - heartbeat_created_at_);
  detail::AppendHeartbeat(local, batch);
  return gossip;
}

void Membership::AddHeartbeats(const core::InstanceId& to, core::TimePoint now,
                               schema::Gossip& gossip) const {
  schema::Heartbeats& batch = *gossip.mutable_heartbeats();
  for (const Heartbeat& it : ZoneHeartbeats(to, now)) {
    detail::AppendHeartbeat(it, batch);
  }
  for (const Heartbeat& it : OtherZoneHeartbeats(now)) {
    detail::AppendHeartbeat(it, batch);
  }
}

std::vector<Heartbeat> Membership::ZoneHeartbeats(const core::InstanceId& to,
                                                  core::TimePoint now) const {
  std::vector<Heartbeat> heartbeats;
  for (const core::InstanceId& instance : InstancesOf(instances_.self().zone)) {
    // The recipient gets its own last heartbeat if it is not alive here. After
    // a restart it thus learns under which incarnation it is known.
    const bool alive = instances_.StateOf(instance) == InstanceState::kAlive;
    const auto last = instances_.LastHeartbeat(instance, now);
    const bool is_recent =
        last && last->age < kMaxHeartbeatAge && instance != to;
    if (is_recent || (last && instance == to && !alive)) {
      heartbeats.push_back(*last);
    }
  }
  SortByAge(heartbeats);
  if (heartbeats.size() > options_.max_heartbeats) {
    heartbeats.resize(options_.max_heartbeats);
  }
  return heartbeats;
}

std::vector<Heartbeat> Membership::OtherZoneHeartbeats(
    core::TimePoint now) const {
  std::map<core::ZoneId, Heartbeat> freshest;
  for (const auto& [instance, zone] : zone_of_) {
    const auto last = zone == instances_.self().zone
                          ? std::nullopt
                          : instances_.LastHeartbeat(instance, now);
    if (!last) {
      continue;
    }
    const auto [it, added] = freshest.try_emplace(zone, *last);
    if (!added && last->age < it->second.age) {
      it->second = *last;
    }
  }
  std::vector<Heartbeat> heartbeats;
  heartbeats.reserve(freshest.size());
  for (const auto& [zone, heartbeat] : freshest) {
    heartbeats.push_back(heartbeat);
  }
  SortByAge(heartbeats);
  if (heartbeats.size() > options_.max_other_zone_heartbeats) {
    heartbeats.resize(options_.max_other_zone_heartbeats);
  }
  return heartbeats;
}

void Membership::AddUpdates(const std::vector<PendingUpdate>& updates,
                            core::TimePoint now, schema::Gossip& gossip) const {
  std::map<SetKey, uint64_t> oldest;
  for (const PendingUpdate& it : updates) {
    const auto [entry, added] =
        oldest.try_emplace(it.update.key, it.update.set_version);
    entry->second = std::min(entry->second, it.update.set_version);
  }
  for (const auto& [key, version] : oldest) {
    AddChanges(key, version - 1, now, gossip);
  }
}

void Membership::AddChanges(const SetKey& key, uint64_t since,
                            core::TimePoint now, schema::Gossip& gossip) const {
  const KnownSet* known = upstreams_.FindSet(key);
  if (known == nullptr || known->set.version() <= since) {
    return;
  }
  const RecordSetChanges changes =
      known->set.ChangesSince(since, options_.max_records);
  schema::RecordSetDelta& delta = *gossip.add_deltas();
  delta.set_source(key.source.text());
  delta.set_incarnation(known->incarnation);
  delta.set_exported(key.exported);
  delta.set_since(changes.since);
  delta.set_version(changes.version);
  delta.set_full(changes.full);
  for (const VersionedRecord& item : changes.records) {
    *delta.add_records() = ToMessage(
        item.record, upstreams_.RemainingLease(item.record.upstream, now),
        item.set_version);
  }
}

void Membership::AddLoads(schema::Gossip& gossip) {
  const KnownSet* local =
      upstreams_.FindSet({instances_.self().instance, false});
  std::map<uint32_t, UpstreamLoad> by_slot;
  for (const auto& [upstream, item] : local->set.records()) {
    if (!item.record.moved && item.record.phase != Phase::kGone) {
      by_slot[item.record.slot] = item.record.load;
    }
  }
  auto it = by_slot.upper_bound(last_load_slot_);
  const size_t count = std::min(options_.max_loads, by_slot.size());
  for (size_t n = 0; n < count; ++n, ++it) {
    it = it == by_slot.end() ? by_slot.begin() : it;
    const auto& [slot, load] = *it;
    last_load_slot_ = slot;
    gossip.mutable_loads()->add_slot(slot);
    gossip.mutable_loads()->add_running(load.running);
    gossip.mutable_loads()->add_waiting(load.waiting);
    gossip.mutable_loads()->add_cached_kilotokens(
        static_cast<uint32_t>(load.cached_tokens / kTokensPerKilotoken));
  }
}

void Membership::AddSummary(schema::Gossip& gossip) {
  if (summaries_.empty()) {
    return;
  }
  auto it = summaries_.upper_bound(last_summary_);
  it = it == summaries_.end() ? summaries_.begin() : it;
  last_summary_ = it->first;
  *gossip.add_zones() = it->second;
}

schema::ZoneSummary Membership::LocalSummary(core::TimePoint now) const {
  schema::ZoneSummary summary;
  const InstanceSeed& self = instances_.self();
  summary.set_zone(self.zone.text());
  summary.set_relay(detail::HashOf(self.instance));
  summary.set_incarnation(instances_.incarnation());
  summary.set_heartbeat(heartbeat_.number);
  for (const ServiceLoad& load : upstreams_.ZoneLoad(now)) {
    schema::ServiceSummary& service = *summary.add_services();
    service.set_service(load.service.text());
    service.set_upstreams(load.upstreams);
    service.set_max_running(load.max_running);
    service.set_running(load.running);
    service.set_waiting(load.waiting);
  }
  for (const core::InstanceId& it : InstancesOf(self.zone)) {
    if (instances_.StateOf(it) == InstanceState::kDead) {
      summary.add_dead(detail::HashOf(it));
    }
  }
  return summary;
}

}  // namespace hawthorn::membership

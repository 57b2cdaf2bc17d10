#include "membership/instance_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hawthorn::membership {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

InstanceDirectory::InstanceDirectory(InstanceSeed self,
                                     const std::vector<InstanceSeed>& seeds,
                                     uint32_t incarnation, core::TimePoint now,
                                     InstanceTimings timings)
    : self_(std::move(self)), timings_(timings), started_at_(now) {
  local_heartbeat_.instance = self_.instance;
  local_heartbeat_.incarnation = incarnation;
  for (const InstanceSeed& seed : seeds) {
    AddSeed(seed);
  }
  AddSeed(self_);
  zones_[self_.zone] = {.last_contact_at = now, .reachable = true};
}

void InstanceDirectory::AddSeed(const InstanceSeed& seed) {
  zones_.try_emplace(seed.zone);
  if (seed.instance != self_.instance) {
    members_[seed.instance].zone = seed.zone;
  }
}

void InstanceDirectory::SetRevision(uint64_t revision) {
  local_heartbeat_.revision = revision;
}

uint32_t InstanceDirectory::SupersedeIncarnation(uint32_t incarnation) {
  if (incarnation > local_heartbeat_.incarnation) {
    local_heartbeat_.incarnation = incarnation + 1;
  }
  return local_heartbeat_.incarnation;
}

void InstanceDirectory::SetDraining(bool draining) {
  local_heartbeat_.draining = draining;
}

Heartbeat InstanceDirectory::NextHeartbeat(uint64_t report_version,
                                           uint64_t export_version) {
  ++local_heartbeat_.number;
  local_heartbeat_.report_version = report_version;
  local_heartbeat_.export_version = export_version;
  return local_heartbeat_;
}

bool InstanceDirectory::ApplyHeartbeat(const Heartbeat& heartbeat,
                                       core::TimePoint now) {
  RecordPeerRevision(heartbeat.revision);
  const auto it = members_.find(heartbeat.instance);
  if (it == members_.end()) {
    return false;
  }
  Member& member = it->second;
  const bool newer = std::tuple(heartbeat.incarnation, heartbeat.number) >
                     std::tuple(member.last.incarnation, member.last.number);
  if (!newer) {
    return false;
  }
  if (!IsLocalZone(member)) {
    RecordZoneContact(member.zone, now - heartbeat.age);
  }
  const bool restarted = heartbeat.incarnation != member.last.incarnation;
  const bool was_draining = member.last.draining && !restarted;
  member.last = heartbeat;
  member.created_at = now - heartbeat.age;
  const bool first = !member.has_heartbeat;
  member.has_heartbeat = true;
  ++member.heartbeats_since_dead;
  if (heartbeat.draining && !was_draining) {
    events_.emplace_back(InstanceDraining{heartbeat.instance});
  }
  // Hysteresis: over a link that delivers only single messages, an instance
  // must not alternate between alive and dead.
  const bool revives =
      member.state != InstanceState::kDead ||
      member.heartbeats_since_dead >= timings_.heartbeats_to_revive;
  const bool fresh = heartbeat.age < timings_.suspect_after;
  if (fresh && revives) {
    if (restarted && !first && member.state != InstanceState::kDead) {
      MarkDead(heartbeat.instance, member);
    }
    MarkAlive(heartbeat.instance, member);
  }
  return true;
}

void InstanceDirectory::ApplyDeadReport(
    const core::ZoneId& zone, const std::set<core::InstanceId>& dead) {
  if (zone == self_.zone) {
    return;
  }
  for (auto& [instance, member] : members_) {
    if (member.zone != zone) {
      continue;
    }
    if (dead.contains(instance)) {
      MarkDead(instance, member);
    } else {
      MarkAlive(instance, member);
    }
  }
}

void InstanceDirectory::RecordPeerRevision(uint64_t revision) {
  highest_seen_revision_ = std::max(highest_seen_revision_, revision);
}

void InstanceDirectory::Tick(core::TimePoint now) {
  for (auto& [id, zone] : zones_) {
    if (id != self_.zone && zone.reachable &&
        now - zone.last_contact_at >= timings_.zone_unreachable_after) {
      zone.reachable = false;
      events_.emplace_back(ZoneUnreachable{id});
    }
  }
  for (auto& [instance, member] : members_) {
    TickMember(instance, member, now);
  }
}

std::vector<InstanceEvent> InstanceDirectory::TakeEvents() {
  return std::exchange(events_, {});
}

InstanceState InstanceDirectory::StateOf(
    const core::InstanceId& instance) const {
  if (instance == self_.instance) {
    return InstanceState::kAlive;
  }
  const auto it = members_.find(instance);
  return it == members_.end() ? InstanceState::kUnknown : it->second.state;
}

std::optional<InstanceView> InstanceDirectory::Find(
    const core::InstanceId& instance) const {
  if (instance == self_.instance) {
    return InstanceView{
        .instance = instance,
        .zone = self_.zone,
        .state = InstanceState::kAlive,
        .draining = local_heartbeat_.draining,
        .incarnation = local_heartbeat_.incarnation,
        .revision = local_heartbeat_.revision,
    };
  }
  const auto it = members_.find(instance);
  if (it == members_.end()) {
    return std::nullopt;
  }
  const Member& member = it->second;
  return InstanceView{
      .instance = instance,
      .zone = member.zone,
      .state = member.state,
      .draining = member.last.draining,
      .incarnation = member.last.incarnation,
      .revision = member.last.revision,
  };
}

std::vector<InstanceView> InstanceDirectory::All() const {
  std::vector<InstanceView> views;
  views.push_back(*Find(self_.instance));
  for (const auto& [instance, member] : members_) {
    views.push_back(*Find(instance));
  }
  std::ranges::sort(views);
  return views;
}

std::vector<core::InstanceId> InstanceDirectory::PeersIn(
    const core::ZoneId& zone) const {
  std::vector<core::InstanceId> peers;
  for (const auto& [instance, member] : members_) {
    if (member.zone == zone && member.state != InstanceState::kDead) {
      peers.push_back(instance);
    }
  }
  return peers;
}

std::set<core::ZoneId> InstanceDirectory::ReachableZones() const {
  std::set<core::ZoneId> reachable;
  for (const auto& [id, zone] : zones_) {
    if (zone.reachable) {
      reachable.insert(id);
    }
  }
  return reachable;
}

std::set<core::ZoneId> InstanceDirectory::Zones() const {
  std::set<core::ZoneId> zones;
  for (const auto& [id, zone] : zones_) {
    zones.insert(id);
  }
  return zones;
}

std::vector<core::InstanceId> InstanceDirectory::RelaysOf(
    const core::ZoneId& zone) const {
  std::vector<core::InstanceId> relays;
  for (const InstanceView& view : All()) {
    if (relays.size() == timings_.relays_per_zone) {
      break;
    }
    if (view.zone == zone && view.state != InstanceState::kDead &&
        !view.draining) {
      relays.push_back(view.instance);
    }
  }
  return relays;
}

bool InstanceDirectory::IsRelay() const {
  const std::vector<core::InstanceId> relays = RelaysOf(self_.zone);
  return std::ranges::find(relays, self_.instance) != relays.end();
}

uint64_t InstanceDirectory::HighestRevision() const {
  return std::max(local_heartbeat_.revision, highest_seen_revision_);
}

bool InstanceDirectory::MayServe(core::TimePoint now) const {
  const bool discovery_done = now - started_at_ >= timings_.discovery_period ||
                              HasContactWithAllPeers();
  return discovery_done && local_heartbeat_.revision >= HighestRevision();
}

std::optional<Heartbeat> InstanceDirectory::LastHeartbeat(
    const core::InstanceId& instance, core::TimePoint now) const {
  const auto it = members_.find(instance);
  if (it == members_.end() || !it->second.has_heartbeat) {
    return std::nullopt;
  }
  Heartbeat last = it->second.last;
  last.age = duration_cast<milliseconds>(now - it->second.created_at);
  return last;
}

void InstanceDirectory::RecordZoneContact(const core::ZoneId& zone,
                                          core::TimePoint at) {
  Zone& known = zones_[zone];
  known.last_contact_at = std::max(known.last_contact_at, at);
  if (!known.reachable) {
    known.reachable = true;
    events_.emplace_back(ZoneReachable{zone});
  }
}

void InstanceDirectory::MarkAlive(const core::InstanceId& instance,
                                  Member& member) {
  const InstanceState before = member.state;
  member.state = InstanceState::kAlive;
  if (before == InstanceState::kUnknown || before == InstanceState::kDead) {
    events_.emplace_back(InstanceAlive{instance, member.last.incarnation});
  }
}

void InstanceDirectory::MarkDead(const core::InstanceId& instance,
                                 Member& member) {
  if (member.state == InstanceState::kDead) {
    return;
  }
  member.state = InstanceState::kDead;
  member.heartbeats_since_dead = 0;
  events_.emplace_back(InstanceDied{instance});
}

void InstanceDirectory::TickMember(const core::InstanceId& instance,
                                   Member& member, core::TimePoint now) {
  if (!IsLocalZone(member)) {
    const auto zone = zones_.find(member.zone);
    const bool unreachable = zone == zones_.end() || !zone->second.reachable;
    if (unreachable && member.state == InstanceState::kAlive) {
      member.state = InstanceState::kSuspect;
    }
    return;
  }
  const core::TimePoint last_contact_at =
      member.has_heartbeat ? member.created_at : started_at_;
  const auto contact_age = now - last_contact_at;
  if (contact_age >= timings_.dead_after) {
    MarkDead(instance, member);
  } else if (contact_age >= timings_.suspect_after &&
             member.state == InstanceState::kAlive) {
    member.state = InstanceState::kSuspect;
  }
}

bool InstanceDirectory::HasContactWithAllPeers() const {
  const bool zones_reachable = std::ranges::all_of(
      zones_, [](const auto& entry) { return entry.second.reachable; });
  return zones_reachable &&
         std::ranges::all_of(members_, [&](const auto& entry) {
           return entry.second.has_heartbeat || !IsLocalZone(entry.second);
         });
}

}  // namespace hawthorn::membership

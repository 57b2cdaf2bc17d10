#include "membership/membership.h"

#include <algorithm>
#include <bit>

#include "membership/gossip_codec.h"

namespace hawthorn::membership {

Membership::Membership(const MembershipSettings& settings, core::TimePoint now)
    : options_(settings.gossip),
      instances_(settings.self, settings.seeds, settings.incarnation, now,
                 settings.instances),
      upstreams_(settings.self.instance, settings.self.zone,
                 settings.incarnation, settings.upstreams),
      random_(settings.gossip.seed),
      next_round_(now + FirstDelay(settings.gossip.interval)),
      next_cross_zone_(now + FirstDelay(settings.gossip.cross_zone_interval)),
      ring_step_(random_()) {
  for (const InstanceSeed& seed : settings.seeds) {
    by_hash_[detail::HashOf(seed.instance)] = seed.instance;
    zone_of_[seed.instance] = seed.zone;
  }
  by_hash_[detail::HashOf(settings.self.instance)] = settings.self.instance;
  zone_of_[settings.self.instance] = settings.self.zone;
  upstreams_.SetAliveCheck([this](const core::InstanceId& reporter) {
    const auto view = instances_.Find(reporter);
    return view && view->state != InstanceState::kDead && !view->draining;
  });
  UpdateHeartbeat(now);
}

std::chrono::milliseconds Membership::FirstDelay(
    std::chrono::milliseconds interval) {
  std::uniform_int_distribution<int64_t> delay(0, interval.count());
  return std::chrono::milliseconds(delay(random_));
}

std::vector<OutgoingGossip> Membership::Tick(core::TimePoint now) {
  std::vector<OutgoingGossip> out;
  upstreams_.Expire(now);
  instances_.Tick(now);
  CollectUpdates();
  SendNewUpdates(now, out);
  SendPendingRenewals(out);
  if (now >= next_round_) {
    next_round_ = now + options_.interval;
    UpdateHeartbeat(now);
    SendRound(now, out);
    ++rounds_;
  }
  if (now >= next_cross_zone_) {
    next_cross_zone_ = now + options_.cross_zone_interval;
    SendToOtherZones(now, out);
    ++cross_zone_rounds_;
  }
  for (OutgoingGossip& it : out) {
    detail::DropZeros(*it.gossip.mutable_heartbeats());
  }
  return out;
}

std::map<core::ZoneId, std::vector<ServiceLoad>> Membership::OtherZoneLoads()
    const {
  std::map<core::ZoneId, std::vector<ServiceLoad>> loads;
  for (const auto& [zone, summary] : summaries_) {
    for (const schema::ServiceSummary& service : summary.services()) {
      loads[zone].push_back({
          .service = core::ServiceId(service.service()),
          .upstreams = service.upstreams(),
          .max_running = service.max_running(),
          .running = service.running(),
          .waiting = service.waiting(),
      });
    }
  }
  return loads;
}

void Membership::CollectUpdates() {
  const core::InstanceId& self = instances_.self().instance;
  for (const RecordSetUpdate& update : upstreams_.TakeUpdates()) {
    if (update.key == SetKey{self, true}) {
      continue;
    }
    std::vector<PendingUpdate>& queue =
        update.key.source == self ? new_updates_ : repeated_updates_;
    queue.push_back({update, options_.update_rounds});
  }
}

std::vector<Membership::PendingUpdate> Membership::TakeDueUpdates() {
  std::vector<PendingUpdate> due = repeated_updates_;
  for (PendingUpdate& it : repeated_updates_) {
    --it.rounds_left;
  }
  std::erase_if(repeated_updates_,
                [](const PendingUpdate& it) { return it.rounds_left == 0; });
  return due;
}

void Membership::SendNewUpdates(core::TimePoint now,
                                std::vector<OutgoingGossip>& out) {
  if (new_updates_.empty()) {
    return;
  }
  UpdateHeartbeat(now);
  schema::Gossip gossip = NewMessage(now);
  AddUpdates(new_updates_, now, gossip);
  for (const core::InstanceId& to :
       instances_.PeersIn(instances_.self().zone)) {
    out.push_back({to, gossip});
  }
  repeated_updates_.insert(repeated_updates_.end(), new_updates_.begin(),
                           new_updates_.end());
  new_updates_.clear();
}

void Membership::SendPendingRenewals(std::vector<OutgoingGossip>& out) {
  for (const core::InstanceId& reporter : upstreams_.PendingReporters()) {
    schema::Gossip gossip;
    for (const PendingRenewal& it : upstreams_.TakePendingRenewals(reporter)) {
      schema::ForwardedRenewal* renewal = gossip.add_renewals();
      renewal->set_upstream(it.upstream.text());
      renewal->set_incarnation(it.incarnation);
      renewal->set_running(it.load.running);
      renewal->set_waiting(it.load.waiting);
      renewal->set_cached_tokens(it.load.cached_tokens);
    }
    out.push_back({reporter, gossip});
  }
}

void Membership::SendRound(core::TimePoint now,
                           std::vector<OutgoingGossip>& out) {
  const std::vector<PendingUpdate> due = TakeDueUpdates();
  for (const core::InstanceId& to : NextTargets()) {
    schema::Gossip gossip = NewMessage(now);
    AddHeartbeats(to, now, gossip);
    AddUpdates(due, now, gossip);
    AddLoads(gossip);
    if (rounds_ % options_.summary_rounds == 0) {
      AddSummary(gossip);
    }
    out.push_back({to, std::move(gossip)});
  }
}

void Membership::SendToOtherZones(core::TimePoint now,
                                  std::vector<OutgoingGossip>& out) {
  const InstanceSeed& self = instances_.self();
  const std::vector<core::InstanceId> relays = instances_.RelaysOf(self.zone);
  const auto self_it = std::ranges::find(relays, self.instance);
  if (self_it == relays.end()) {
    return;
  }
  upstreams_.RefreshExport(now);
  CollectUpdates();
  UpdateHeartbeat(now);
  const size_t index = self_it - relays.begin();
  const std::set<core::ZoneId> reachable = instances_.ReachableZones();
  size_t position = 0;
  for (const core::ZoneId& zone : instances_.Zones()) {
    ++position;
    if (zone == self.zone ||
        (position + cross_zone_rounds_) % relays.size() != index) {
      continue;
    }
    // The relays of an unreachable zone may have changed, so all of its
    // instances are tried in turn.
    std::vector<core::InstanceId> targets = reachable.contains(zone)
                                                ? instances_.RelaysOf(zone)
                                                : InstancesOf(zone);
    if (targets.empty()) {
      targets = InstancesOf(zone);
    }
    if (targets.empty()) {
      continue;
    }
    const size_t turn = cross_zone_rounds_ / relays.size() + index;
    schema::Gossip gossip = NewMessage(now);
    *gossip.add_zones() = LocalSummary(now);
    out.push_back({targets[turn % targets.size()], std::move(gossip)});
  }
}

std::vector<core::InstanceId> Membership::InstancesOf(
    const core::ZoneId& zone) const {
  std::vector<core::InstanceId> found;
  for (const auto& [instance, its_zone] : zone_of_) {
    if (its_zone == zone) {
      found.push_back(instance);
    }
  }
  return found;
}

std::vector<core::InstanceId> Membership::NextTargets() {
  const std::vector<core::InstanceId> ring =
      InstancesOf(instances_.self().zone);
  std::vector<core::InstanceId> targets;
  const size_t wanted =
      ring.size() <= options_.small_zone ? options_.small_zone_fan_out : 1;
  for (size_t n = 0; n < wanted; ++n) {
    const auto target = TargetAt(ring, ring_step_++);
    if (target && std::ranges::find(targets, *target) == targets.end()) {
      targets.push_back(*target);
    }
  }
  if (rounds_ % options_.dead_probe_rounds == 0) {
    AddDeadTarget(ring, targets);
  }
  return targets;
}

std::optional<core::InstanceId> Membership::TargetAt(
    const std::vector<core::InstanceId>& ring, size_t step) const {
  const auto self_it = std::ranges::find(ring, instances_.self().instance);
  const size_t position = self_it - ring.begin();
  const size_t distances = std::bit_width(ring.size() - 1);
  if (distances == 0) {
    return std::nullopt;
  }
  const size_t distance = size_t{1} << (step % distances);
  for (size_t n = 0; n + 1 < ring.size(); ++n) {
    const core::InstanceId& it = ring[(position + distance + n) % ring.size()];
    if (it != instances_.self().instance &&
        instances_.StateOf(it) != InstanceState::kDead) {
      return it;
    }
  }
  return std::nullopt;
}

void Membership::AddDeadTarget(const std::vector<core::InstanceId>& ring,
                               std::vector<core::InstanceId>& targets) {
  std::vector<core::InstanceId> dead;
  for (const core::InstanceId& it : ring) {
    if (instances_.StateOf(it) == InstanceState::kDead) {
      dead.push_back(it);
    }
  }
  if (!dead.empty()) {
    targets.push_back(dead[random_() % dead.size()]);
  }
}

void Membership::UpdateHeartbeat(core::TimePoint now) {
  const core::InstanceId& self = instances_.self().instance;
  heartbeat_ =
      instances_.NextHeartbeat(upstreams_.FindSet({self, false})->set.version(),
                               upstreams_.FindSet({self, true})->set.version());
  heartbeat_created_at_ = now;
}

}  // namespace hawthorn::membership

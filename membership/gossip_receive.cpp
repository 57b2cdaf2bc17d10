// Handles gossip messages.

#include <algorithm>
#include <utility>

#include "membership/gossip_codec.h"
#include "membership/membership.h"

namespace hawthorn::membership {

namespace {

constexpr int64_t kTokensPerKilotoken = 1024;

bool IsEmpty(const schema::Gossip& gossip) {
  return gossip.deltas().empty() && gossip.requests().empty();
}

}  // namespace

std::vector<OutgoingGossip> Membership::Receive(const core::InstanceId& from,
                                                uint64_t revision,
                                                const schema::Gossip& gossip,
                                                core::TimePoint now) {
  instances_.RecordPeerRevision(revision);
  schema::Gossip reply = NewMessage(now);
  ApplyDeltas(gossip, now);
  ApplyHeartbeats(gossip.heartbeats(), now, reply);
  ApplyLoads(from, gossip.loads());
  for (const schema::ZoneSummary& summary : gossip.zones()) {
    ApplySummary(summary);
  }
  for (const schema::ForwardedRenewal& it : gossip.renewals()) {
    const UpstreamLoad load{.running = it.running(),
                            .waiting = it.waiting(),
                            .cached_tokens = it.cached_tokens()};
    upstreams_.ApplyForwardedRenewal(
        {core::UpstreamId(it.upstream()), it.incarnation(), load}, now);
  }
  AddRequestedChanges(gossip, now, reply);
  std::vector<OutgoingGossip> out;
  if (!IsEmpty(reply)) {
    detail::DropZeros(*reply.mutable_heartbeats());
    out.push_back({from, std::move(reply)});
  }
  return out;
}

void Membership::ApplyDeltas(const schema::Gossip& gossip,
                             core::TimePoint now) {
  for (const schema::RecordSetDelta& delta : gossip.deltas()) {
    const core::InstanceId source(delta.source());
    if (!zone_of_.contains(source)) {
      continue;
    }
    upstreams_.Apply({source, delta.exported()}, delta.incarnation(),
                     detail::ReadChanges(delta), now);
  }
}

void Membership::ApplyHeartbeats(const schema::Heartbeats& heartbeats,
                                 core::TimePoint now, schema::Gossip& reply) {
  instances_.RecordPeerRevision(heartbeats.base_revision() +
                                heartbeats.highest_offset());
  for (auto& [hash, heartbeat] : detail::ReadHeartbeats(heartbeats)) {
    const core::InstanceId* instance = FindByHash(hash);
    if (instance == nullptr) {
      continue;
    }
    heartbeat.instance = *instance;
    if (*instance == instances_.self().instance) {
      const uint32_t incarnation =
          instances_.SupersedeIncarnation(heartbeat.incarnation);
      upstreams_.SetIncarnation(incarnation);
      heartbeat_.incarnation = incarnation;
    } else if (instances_.ApplyHeartbeat(heartbeat, now)) {
      ConfirmRecordSet(heartbeat, now, reply);
    }
  }
}

void Membership::ConfirmRecordSet(const Heartbeat& heartbeat,
                                  core::TimePoint now, schema::Gossip& reply) {
  const bool local_zone =
      zone_of_.at(heartbeat.instance) == instances_.self().zone;
  const SetKey key{heartbeat.instance, !local_zone};
  const uint64_t version =
      local_zone ? heartbeat.report_version : heartbeat.export_version;
  if (version == 0) {
    return;
  }
  if (upstreams_.Confirm(key, heartbeat.incarnation, version,
                         now - heartbeat.age)) {
    RequestMissing(key, heartbeat.incarnation, reply);
  }
}

void Membership::RequestMissing(const SetKey& key, uint32_t incarnation,
                                schema::Gossip& reply) const {
  schema::RecordSetRequest& request = *reply.add_requests();
  request.set_source(key.source.text());
  request.set_incarnation(incarnation);
  request.set_exported(key.exported);
  request.set_since(upstreams_.FindSet(key)->set.version());
}

void Membership::ApplyLoads(const core::InstanceId& from,
                            const schema::UpstreamLoads& loads) {
  const int count =
      std::min({loads.slot_size(), loads.running_size(), loads.waiting_size(),
                loads.cached_kilotokens_size()});
  for (int n = 0; n < count; ++n) {
    const UpstreamLoad load{
        .running = loads.running(n),
        .waiting = loads.waiting(n),
        .cached_tokens = loads.cached_kilotokens(n) * kTokensPerKilotoken,
    };
    upstreams_.SetLoad(from, loads.slot(n), load);
  }
}

void Membership::ApplySummary(const schema::ZoneSummary& summary) {
  const core::ZoneId zone(summary.zone());
  const std::pair version(summary.incarnation(), summary.heartbeat());
  std::pair<uint32_t, uint64_t>& known = summary_versions_[summary.relay()];
  if (version <= known || zone == instances_.self().zone ||
      FindByHash(summary.relay()) == nullptr) {
    return;
  }
  known = version;
  summaries_[zone] = summary;
  std::set<core::InstanceId> dead;
  for (const uint32_t hash : summary.dead()) {
    if (const core::InstanceId* it = FindByHash(hash)) {
      dead.insert(*it);
    }
  }
  instances_.ApplyDeadReport(zone, dead);
}

void Membership::AddRequestedChanges(const schema::Gossip& gossip,
                                     core::TimePoint now,
                                     schema::Gossip& reply) const {
  for (const schema::RecordSetRequest& request : gossip.requests()) {
    const SetKey key{core::InstanceId(request.source()), request.exported()};
    const KnownSet* known = upstreams_.FindSet(key);
    if (known == nullptr || known->incarnation < request.incarnation()) {
      continue;
    }
    const uint64_t since =
        known->incarnation == request.incarnation() ? request.since() : 0;
    AddChanges(key, since, now, reply);
  }
}

const core::InstanceId* Membership::FindByHash(uint32_t hash) const {
  const auto it = by_hash_.find(hash);
  return it == by_hash_.end() ? nullptr : &it->second;
}

}  // namespace hawthorn::membership

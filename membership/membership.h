#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "core/id.h"
#include "membership/instance_directory.h"
#include "membership/upstream_directory.h"
#include "schema/generated/peer.pb.h"

// Gossip between instances, which synchronizes the directories of instances and
// upstreams.
namespace hawthorn::membership {

/// Intervals and limits of gossip.
struct GossipOptions {
  /// Interval of rounds within the zone.
  std::chrono::milliseconds interval{200};
  /// Interval of the rounds in which a relay sends to other zones.
  std::chrono::milliseconds cross_zone_interval{1000};
  /// Maximum number of instances in a small zone.
  size_t small_zone = 10;
  /// Targets per round in a small zone; a larger one has one target.
  size_t small_zone_fan_out = 2;
  /// Number of rounds in which an instance sends each update, its own or a
  /// received one.
  uint32_t update_rounds = 3;
  /// Maximum heartbeats of other instances of the zone in one message.
  size_t max_heartbeats = 32;
  /// Maximum heartbeats of instances in other zones in one message.
  size_t max_other_zone_heartbeats = 3;
  /// Maximum load reports in one message.
  size_t max_loads = 32;
  /// Interval in rounds at which messages contain a summary of another zone.
  uint32_t summary_rounds = 3;
  /// Maximum upstream records in one delta, except for a set sent in full.
  size_t max_records = 32;
  /// Interval in rounds at which a dead instance is probed.
  uint32_t dead_probe_rounds = 8;
  /// Seed of the random choices: phase of the rounds, first target, and which
  /// dead instance is probed.
  uint64_t seed = 1;
};

/// Identity of this instance and its known peers.
struct MembershipSettings {
  InstanceSeed self;
  /// All instances of the deployment.
  std::vector<InstanceSeed> seeds;
  /// Start of this instance in seconds since the Unix epoch; must increase with
  /// each restart.
  uint32_t incarnation = 0;
  GossipOptions gossip;
  InstanceTimings instances;
  UpstreamTimings upstreams;
};

/// Message for another instance.
struct OutgoingGossip {
  core::InstanceId to;
  schema::Gossip gossip;
};

/// The directories of one instance and their synchronization with those of
/// other instances. Deterministic; not thread-safe. The host calls Tick at
/// least every 50 ms and Receive for each message, and sends the returned
/// messages. Any message may be lost.
class Membership {
 public:
  Membership(const MembershipSettings& settings, core::TimePoint now);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  InstanceDirectory& instances() { return instances_; }
  const InstanceDirectory& instances() const { return instances_; }
  UpstreamDirectory& upstreams() { return upstreams_; }
  const UpstreamDirectory& upstreams() const { return upstreams_; }

  /// Updates leases and states. Returns the messages that are due, including
  /// new updates since the last call.
  std::vector<OutgoingGossip> Tick(core::TimePoint now);

  /// Handles gossip from `from`, an authenticated instance, whose message
  /// contained `revision`. Returns the replies to send.
  std::vector<OutgoingGossip> Receive(const core::InstanceId& from,
                                      uint64_t revision,
                                      const schema::Gossip& gossip,
                                      core::TimePoint now);

  /// Load of each service in the other zones, as their relays reported it.
  std::map<core::ZoneId, std::vector<ServiceLoad>> OtherZoneLoads() const;

 private:
  struct PendingUpdate {
    RecordSetUpdate update;
    uint32_t rounds_left = 0;
  };
  void CollectUpdates();
  std::vector<PendingUpdate> TakeDueUpdates();
  void SendRound(core::TimePoint now, std::vector<OutgoingGossip>& out);
  void SendNewUpdates(core::TimePoint now, std::vector<OutgoingGossip>& out);
  void SendPendingRenewals(std::vector<OutgoingGossip>& out);
  void SendToOtherZones(core::TimePoint now, std::vector<OutgoingGossip>& out);
  std::chrono::milliseconds FirstDelay(std::chrono::milliseconds interval);
  std::vector<core::InstanceId> NextTargets();
  std::optional<core::InstanceId> TargetAt(
      const std::vector<core::InstanceId>& ring, size_t step) const;
  void AddDeadTarget(const std::vector<core::InstanceId>& ring,
                     std::vector<core::InstanceId>& targets);
  std::vector<core::InstanceId> InstancesOf(const core::ZoneId& zone) const;

  /// A message with the last heartbeat of this instance.
  schema::Gossip NewMessage(core::TimePoint now) const;
  void UpdateHeartbeat(core::TimePoint now);
  void AddHeartbeats(const core::InstanceId& to, core::TimePoint now,
                     schema::Gossip& gossip) const;
  std::vector<Heartbeat> ZoneHeartbeats(const core::InstanceId& to,
                                        core::TimePoint now) const;
  std::vector<Heartbeat> OtherZoneHeartbeats(core::TimePoint now) const;
  void AddUpdates(const std::vector<PendingUpdate>& updates,
                  core::TimePoint now, schema::Gossip& gossip) const;
  void AddChanges(const SetKey& key, uint64_t since, core::TimePoint now,
                  schema::Gossip& gossip) const;
  void AddLoads(schema::Gossip& gossip);
  void AddSummary(schema::Gossip& gossip);
  schema::ZoneSummary LocalSummary(core::TimePoint now) const;

  void ApplyDeltas(const schema::Gossip& gossip, core::TimePoint now);
  void ApplyHeartbeats(const schema::Heartbeats& heartbeats,
                       core::TimePoint now, schema::Gossip& reply);
  void ConfirmRecordSet(const Heartbeat& heartbeat, core::TimePoint now,
                        schema::Gossip& reply);
  void RequestMissing(const SetKey& key, uint32_t incarnation,
                      schema::Gossip& reply) const;
  void ApplyLoads(const core::InstanceId& from,
                  const schema::UpstreamLoads& loads);
  void ApplySummary(const schema::ZoneSummary& summary);
  void AddRequestedChanges(const schema::Gossip& gossip, core::TimePoint now,
                           schema::Gossip& reply) const;
  const core::InstanceId* FindByHash(uint32_t hash) const;

  GossipOptions options_;
  InstanceDirectory instances_;
  UpstreamDirectory upstreams_;
  std::mt19937_64 random_;
  std::map<uint32_t, core::InstanceId> by_hash_;
  std::map<core::InstanceId, core::ZoneId> zone_of_;
  std::vector<PendingUpdate> new_updates_;
  std::vector<PendingUpdate> repeated_updates_;
  std::map<core::ZoneId, schema::ZoneSummary> summaries_;
  // Incarnation and heartbeat number of the last summary from each relay.
  std::map<uint32_t, std::pair<uint32_t, uint64_t>> summary_versions_;
  core::ZoneId last_summary_;
  Heartbeat heartbeat_;
  core::TimePoint heartbeat_created_at_;
  core::TimePoint next_round_;
  core::TimePoint next_cross_zone_;
  size_t ring_step_ = 0;
  uint64_t rounds_ = 0;
  uint64_t cross_zone_rounds_ = 0;
  uint32_t last_load_slot_ = 0;
};

}  // namespace hawthorn::membership

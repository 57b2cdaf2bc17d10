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

// Gossip between instances: keeps both directories of one instance in step
// with those of the others.
namespace hawthorn::membership {

/// Rhythm and bounds of gossip.
struct GossipOptions {
  /// Time between rounds within the zone.
  std::chrono::milliseconds interval{200};
  /// Time between messages of a relay to another zone.
  std::chrono::milliseconds cross_zone_interval{1000};
  /// Instances of a zone up to which it counts as small.
  size_t small_zone = 10;
  /// Targets of each round in a small zone; in a larger one it is one.
  size_t small_zone_fan_out = 2;
  /// Rounds in which an instance repeats news that it learned.
  uint32_t update_rounds = 3;
  /// Heartbeats of other instances in one message.
  size_t max_heartbeats = 32;
  /// Heartbeats of relays of other zones in one message.
  size_t max_other_zone_heartbeats = 3;
  /// Load reports in one message.
  size_t max_loads = 32;
  /// Every how many rounds a message carries a summary of another zone.
  uint32_t summary_rounds = 3;
  /// Upstream records in one message, but for a set sent in full.
  size_t max_records = 32;
  /// Rounds after which instances that are held for dead are tried again.
  uint32_t dead_probe_rounds = 8;
  /// Seed of the random choices: phase of the rounds, first target, and which
  /// dead instance is tried.
  uint64_t seed = 1;
};

/// Who this instance is and whom it knows from its settings.
struct MembershipSettings {
  InstanceSeed self;
  /// All instances of the deployment.
  std::vector<InstanceSeed> seeds;
  /// Start of this instance in seconds since the Unix epoch; must rise with
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

/// Both directories of one instance and their exchange with others.
/// Deterministic; not thread-safe. The host calls Tick at least every 50 ms,
/// and Receive for each message, and sends what they return. Every message
/// may be lost.
class Membership {
 public:
  Membership(const MembershipSettings& settings, core::TimePoint now);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  InstanceDirectory& instances() { return instances_; }
  const InstanceDirectory& instances() const { return instances_; }
  UpstreamDirectory& upstreams() { return upstreams_; }
  const UpstreamDirectory& upstreams() const { return upstreams_; }

  /// Updates leases and states; returns the messages that are due, news that
  /// became known since the last call included.
  std::vector<OutgoingGossip> Tick(core::TimePoint now);

  /// Takes the gossip of `from`, an authenticated instance, whose message
  /// carried `revision`. Returns answers to send.
  std::vector<OutgoingGossip> Receive(const core::InstanceId& from,
                                      uint64_t revision,
                                      const schema::Gossip& gossip,
                                      core::TimePoint now);

  /// Load of each service in the other zones, as their relays reported it.
  std::map<core::ZoneId, std::vector<ServiceLoad>> OtherZoneLoads() const;

 private:
  struct PendingUpdate {
    RecordSetUpdate news;
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

  /// A message that carries the last heartbeat of this instance.
  schema::Gossip NewMessage(core::TimePoint now) const;
  void UpdateHeartbeat(core::TimePoint now);
  void AddHeartbeats(const core::InstanceId& to, core::TimePoint now,
                     schema::Gossip& gossip) const;
  std::vector<Heartbeat> ZoneHeartbeats(const core::InstanceId& to,
                                        core::TimePoint now) const;
  std::vector<Heartbeat> OtherZoneHeartbeats(core::TimePoint now) const;
  void AddUpdates(const std::vector<PendingUpdate>& news, core::TimePoint now,
                  schema::Gossip& gossip) const;
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
  // Start and heartbeat of the last summary of each relay.
  std::map<uint32_t, std::pair<uint32_t, uint64_t>> summary_versions_;
  core::ZoneId last_summary_;
  Heartbeat heartbeat_;
  core::TimePoint heartbeat_made_at_;
  core::TimePoint next_round_;
  core::TimePoint next_cross_zone_;
  size_t ring_step_ = 0;
  uint64_t rounds_ = 0;
  uint64_t cross_zone_rounds_ = 0;
  uint32_t last_load_slot_ = 0;
};

}  // namespace hawthorn::membership

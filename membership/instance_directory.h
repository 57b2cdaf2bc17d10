#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/id.h"

// The instances that one instance knows, and which of them are alive.
namespace hawthorn::membership {

/// Instance as the settings name it.
struct InstanceSeed {
  core::InstanceId instance;
  core::ZoneId zone;

  auto operator<=>(const InstanceSeed&) const = default;
};

/// Durations and counts of failure detection.
struct InstanceTimings {
  /// Age of the last heartbeat after which an instance is suspect.
  std::chrono::milliseconds suspect_after{1500};
  /// Age of the last heartbeat after which an instance is dead.
  std::chrono::milliseconds dead_after{4000};
  /// Heartbeats that a dead instance must make before it is alive again.
  uint32_t heartbeats_to_revive = 3;
  /// Time since the last summary after which a zone is unreachable.
  std::chrono::milliseconds zone_unreachable_after{5000};
  /// Time after its start during which an instance looks for its peers.
  std::chrono::milliseconds discovery_period{2000};
  /// Relays of each zone that exchange news with other zones.
  size_t relays_per_zone = 2;
};

/// How an instance is seen from here.
enum class InstanceState {
  kUnknown,  ///< Never heard of since the start of this instance.
  kAlive,
  kSuspect,
  kDead,
};

/// What one heartbeat says of its instance.
struct Heartbeat {
  core::InstanceId instance;
  /// Start of the instance in seconds since the Unix epoch.
  uint32_t incarnation = 0;
  /// Rises with each heartbeat of one incarnation.
  uint64_t number = 0;
  /// Time since the instance made it, without the last transit.
  std::chrono::milliseconds age{0};
  uint64_t report_version = 0;
  uint64_t export_version = 0;
  /// Configuration revision that the instance has in force.
  uint64_t revision = 0;
  bool draining = false;

  auto operator<=>(const Heartbeat&) const = default;
};

/// An instance as seen from here.
struct InstanceView {
  core::InstanceId instance;
  core::ZoneId zone;
  InstanceState state = InstanceState::kUnknown;
  bool draining = false;
  uint32_t incarnation = 0;
  uint64_t revision = 0;

  auto operator<=>(const InstanceView&) const = default;
};

/// The instance is held for dead.
struct InstanceDied {
  core::InstanceId instance;
  auto operator<=>(const InstanceDied&) const = default;
};
/// The instance is alive again, or for the first time. A new incarnation
/// means that it restarted.
struct InstanceAlive {
  core::InstanceId instance;
  uint32_t incarnation = 0;
  auto operator<=>(const InstanceAlive&) const = default;
};
/// The instance takes no new work because it is shutting down.
struct InstanceDraining {
  core::InstanceId instance;
  auto operator<=>(const InstanceDraining&) const = default;
};
/// No news of the zone arrives.
struct ZoneUnreachable {
  core::ZoneId zone;
  auto operator<=>(const ZoneUnreachable&) const = default;
};
/// Updates of the zone arrive again.
struct ZoneReachable {
  core::ZoneId zone;
  auto operator<=>(const ZoneReachable&) const = default;
};

using InstanceEvent =
    std::variant<InstanceDied, InstanceAlive, InstanceDraining, ZoneUnreachable,
                 ZoneReachable>;

/// Deterministic; not thread-safe.
class InstanceDirectory {
 public:
  /// `seeds` are all instances of the deployment, this one included.
  InstanceDirectory(InstanceSeed self, const std::vector<InstanceSeed>& seeds,
                    uint32_t incarnation, core::TimePoint now,
                    InstanceTimings timings = {});

  /// Adds an instance that joined the deployment, or moves it.
  void AddSeed(const InstanceSeed& seed);
  /// Forgets an instance that left the deployment for good.
  void RemoveSeed(const core::InstanceId& instance);

  /// Configuration revision that this instance has in force.
  void SetRevision(uint64_t revision);
  /// Chooses an incarnation above `incarnation`, under which others know an
  /// earlier run of this instance. Returns the incarnation in use.
  uint32_t SupersedeIncarnation(uint32_t incarnation);
  /// Tells the others that this instance takes no new work.
  void SetDraining(bool draining);

  /// Makes the next heartbeat of this instance.
  Heartbeat NextHeartbeat(uint64_t report_version, uint64_t export_version);

  /// Takes a heartbeat from any instance's message. Returns whether it is
  /// newer than what is known.
  bool ApplyHeartbeat(const Heartbeat& heartbeat, core::TimePoint now);

  /// Notes which of its instances another zone holds for dead.
  void ApplyDeadReport(const core::ZoneId& zone,
                       const std::set<core::InstanceId>& dead);

  /// Notes a revision seen in any peer message.
  void HearRevision(uint64_t revision);

  /// Updates states by the age of the last heartbeats.
  void Tick(core::TimePoint now);

  /// Events since the last call, in their order.
  std::vector<InstanceEvent> TakeEvents();

  InstanceState StateOf(const core::InstanceId& instance) const;
  std::optional<InstanceView> Find(const core::InstanceId& instance) const;
  /// All known instances in the order of their ids.
  std::vector<InstanceView> All() const;
  /// Instances of `zone` that take part in gossip: alive, suspect or not yet
  /// heard of, without this one.
  std::vector<core::InstanceId> PeersIn(const core::ZoneId& zone) const;
  /// Zones of which news arrives, the own one included.
  std::set<core::ZoneId> ReachableZones() const;
  /// All zones of the deployment.
  std::set<core::ZoneId> Zones() const;

  /// Instances that exchange news between `zone` and others: the first live
  /// ones in an order that all instances agree on.
  std::vector<core::InstanceId> RelaysOf(const core::ZoneId& zone) const;
  /// Returns whether this instance is a relay of its zone.
  bool IsRelay() const;

  /// Highest revision that this instance or a reachable one has in force.
  uint64_t HighestRevision() const;
  /// Returns whether this instance may take traffic: it has looked for its
  /// peers and has in force the highest revision that they know.
  bool MayServe(core::TimePoint now) const;

  /// Last heartbeat of `instance` with its age at `now`, if any was heard.
  std::optional<Heartbeat> LastHeartbeat(const core::InstanceId& instance,
                                         core::TimePoint now) const;

  const InstanceSeed& self() const { return self_; }
  uint32_t incarnation() const { return local_heartbeat_.incarnation; }

 private:
  struct Member {
    core::ZoneId zone;
    InstanceState state = InstanceState::kUnknown;
    Heartbeat last;
    core::TimePoint made_at;
    bool has_heartbeat = false;
    // Heartbeats since the instance was held for dead.
    uint32_t heartbeats_since_dead = 0;
  };
  struct Zone {
    core::TimePoint last_contact_at;
    bool reachable = false;
  };

  void RecordZoneContact(const core::ZoneId& zone, core::TimePoint at);
  void MarkAlive(const core::InstanceId& instance, Member& member);
  void MarkDead(const core::InstanceId& instance, Member& member);
  void TickMember(const core::InstanceId& instance, Member& member,
                  core::TimePoint now);
  bool IsLocalZone(const Member& member) const {
    return member.zone == self_.zone;
  }
  bool HasContactToAllPeers() const;

  InstanceSeed self_;
  InstanceTimings timings_;
  core::TimePoint started_at_;
  Heartbeat local_heartbeat_;
  std::map<core::InstanceId, Member> members_;
  std::map<core::ZoneId, Zone> zones_;
  std::vector<InstanceEvent> events_;
  uint64_t highest_seen_revision_ = 0;
};

}  // namespace hawthorn::membership

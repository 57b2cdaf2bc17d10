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

// Failure detector: the instances of the deployment and which of them are
// alive, as seen from one instance.
namespace hawthorn::membership {

/// Instance of the deployment as given in the settings.
struct InstanceSeed {
  core::InstanceId instance;
  core::ZoneId zone;

  auto operator<=>(const InstanceSeed&) const = default;
};

/// Settings of failure detection.
struct InstanceTimings {
  /// Age of the last heartbeat after which an instance is suspect.
  std::chrono::milliseconds suspect_after{1500};
  /// Age of the last heartbeat after which an instance is considered dead.
  std::chrono::milliseconds dead_after{4000};
  /// Heartbeats after which a dead instance is considered alive again.
  uint32_t heartbeats_to_revive = 3;
  /// Age of the last heartbeat from another zone after which that zone is
  /// unreachable.
  std::chrono::milliseconds zone_unreachable_after{5000};
  /// Time after the start in which this instance discovers its peers.
  std::chrono::milliseconds discovery_period{2000};
  /// Number of relays per zone, which exchange updates with other zones.
  size_t relays_per_zone = 2;
};

/// State of an instance as seen from this one.
enum class InstanceState {
  kUnknown,  ///< No contact since this instance started.
  kAlive,
  kSuspect,
  kDead,
};

/// Contents of one heartbeat.
struct Heartbeat {
  core::InstanceId instance;
  /// Start of the instance in seconds since the Unix epoch.
  uint32_t incarnation = 0;
  /// Increases with each heartbeat of one incarnation.
  uint64_t number = 0;
  /// Time since the instance created it, without the transit time of the last
  /// message.
  std::chrono::milliseconds age{0};
  uint64_t report_version = 0;
  uint64_t export_version = 0;
  /// Configuration revision that the instance applies.
  uint64_t revision = 0;
  bool draining = false;

  auto operator<=>(const Heartbeat&) const = default;
};

/// An instance as seen from this one.
struct InstanceView {
  core::InstanceId instance;
  core::ZoneId zone;
  InstanceState state = InstanceState::kUnknown;
  bool draining = false;
  uint32_t incarnation = 0;
  uint64_t revision = 0;

  auto operator<=>(const InstanceView&) const = default;
};

/// The instance is considered dead.
struct InstanceDied {
  core::InstanceId instance;
  auto operator<=>(const InstanceDied&) const = default;
};
/// The instance is alive, for the first time or again. A new incarnation means
/// that it restarted.
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
/// No heartbeats arrive from the zone.
struct ZoneUnreachable {
  core::ZoneId zone;
  auto operator<=>(const ZoneUnreachable&) const = default;
};
/// Heartbeats arrive from the zone again.
struct ZoneReachable {
  core::ZoneId zone;
  auto operator<=>(const ZoneReachable&) const = default;
};

using InstanceEvent =
    std::variant<InstanceDied, InstanceAlive, InstanceDraining, ZoneUnreachable,
                 ZoneReachable>;

/// Tracks the state of all instances. Deterministic; not thread-safe.
class InstanceDirectory {
 public:
  /// `seeds` are all instances of the deployment, including this one.
  InstanceDirectory(InstanceSeed self, const std::vector<InstanceSeed>& seeds,
                    uint32_t incarnation, core::TimePoint now,
                    InstanceTimings timings = {});

  /// Sets the configuration revision that this instance applies.
  void SetRevision(uint64_t revision);
  /// Ensures that the incarnation of this instance is not below `incarnation`,
  /// under which other instances know an earlier run of it. Returns the
  /// incarnation in use.
  uint32_t SupersedeIncarnation(uint32_t incarnation);
  /// Sets whether this instance is draining, so that it takes no new work.
  void SetDraining(bool draining);

  /// Returns the next heartbeat of this instance.
  Heartbeat NextHeartbeat(uint64_t report_version, uint64_t export_version);

  /// Applies a heartbeat of another instance, from any message. Returns whether
  /// it is newer than the last one.
  bool ApplyHeartbeat(const Heartbeat& heartbeat, core::TimePoint now);

  /// Applies the list of dead instances that another zone reported. All other
  /// instances of that zone become alive.
  void ApplyDeadReport(const core::ZoneId& zone,
                       const std::set<core::InstanceId>& dead);

  /// Records a revision that some peer message contained.
  void RecordPeerRevision(uint64_t revision);

  /// Updates the states according to the age of the last heartbeats.
  void Tick(core::TimePoint now);

  /// Removes and returns the events since the last call, in order.
  std::vector<InstanceEvent> TakeEvents();

  InstanceState StateOf(const core::InstanceId& instance) const;
  std::optional<InstanceView> Find(const core::InstanceId& instance) const;
  /// All known instances in the order of their ids.
  std::vector<InstanceView> All() const;
  /// Instances of `zone` that take part in gossip, without this one: alive,
  /// suspect or unknown.
  std::vector<core::InstanceId> PeersIn(const core::ZoneId& zone) const;
  /// Zones from which heartbeats arrive, and the local one.
  std::set<core::ZoneId> ReachableZones() const;
  /// All zones of the deployment.
  std::set<core::ZoneId> Zones() const;

  /// Instances that exchange updates between `zone` and other zones: the first
  /// ones by id that are neither dead nor draining, so that all instances
  /// choose the same ones.
  std::vector<core::InstanceId> RelaysOf(const core::ZoneId& zone) const;
  /// Returns whether this instance is a relay of its zone.
  bool IsRelay() const;

  /// Highest revision seen on this or any other instance.
  uint64_t HighestRevision() const;
  /// Returns whether this instance may take traffic: the discovery period is
  /// over or all peers are known, and it applies the highest known revision.
  bool MayServe(core::TimePoint now) const;

  /// Last heartbeat of `instance` with its age at `now`; empty without one.
  std::optional<Heartbeat> LastHeartbeat(const core::InstanceId& instance,
                                         core::TimePoint now) const;

  const InstanceSeed& self() const { return self_; }
  uint32_t incarnation() const { return local_heartbeat_.incarnation; }

 private:
  void AddSeed(const InstanceSeed& seed);

  struct Member {
    core::ZoneId zone;
    InstanceState state = InstanceState::kUnknown;
    Heartbeat last;
    core::TimePoint created_at;
    bool has_heartbeat = false;
    // Heartbeats since the instance was marked dead.
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
  bool HasContactWithAllPeers() const;

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

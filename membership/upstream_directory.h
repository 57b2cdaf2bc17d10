#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "core/id.h"
#include "membership/record_set.h"
#include "membership/upstream_record.h"

// The upstreams that one instance knows. Each upstream has one reporter, the
// instance that receives its renewals. The other instances have a copy of the
// reporter's record set, and use it only while the reporter confirms it.
namespace hawthorn::membership {

/// Durations of the leases.
struct UpstreamTimings {
  /// Time without a renewal after which the reporter marks an upstream gone.
  std::chrono::milliseconds upstream_lease{1200};
  /// Time without a confirmation after which the upstreams of a reporter in the
  /// local zone get no new work.
  std::chrono::milliseconds reporter_lease{1800};
  /// Time without a confirmation after which another instance of the zone
  /// that receives a renewal becomes the reporter.
  std::chrono::milliseconds takeover_after{1000};
  /// Time without a confirmation after which upstreams known from a relay of
  /// another zone get no new work.
  std::chrono::milliseconds export_lease{5000};
};

/// Upstream that may take new work.
struct Route {
  UpstreamRecord upstream;
  /// The upstream is in another zone than this instance.
  bool crosses_zone = false;

  auto operator<=>(const Route&) const = default;
};

/// The renewal was applied by this instance.
struct Renewed {
  auto operator<=>(const Renewed&) const = default;
};

/// The renewal was queued for the reporter of the upstream.
struct Forwarded {
  core::InstanceId reporter;

  auto operator<=>(const Forwarded&) const = default;
};

using RenewalOutcome = std::variant<Renewed, Forwarded>;

/// Renewal to forward to the reporter of the upstream.
struct PendingRenewal {
  core::UpstreamId upstream;
  uint64_t incarnation = 0;
  UpstreamLoad load;

  auto operator<=>(const PendingRenewal&) const = default;
};

/// Identifies a record set: the reports of `source`, or what it exports as a
/// relay.
struct SetKey {
  core::InstanceId source;
  bool exported = false;

  auto operator<=>(const SetKey&) const = default;
};

/// Change of a record set to send to other instances without delay.
struct RecordSetUpdate {
  SetKey key;
  uint64_t set_version = 0;

  auto operator<=>(const RecordSetUpdate&) const = default;
};

/// Record set with the incarnation of its writer.
struct KnownSet {
  uint32_t incarnation = 0;
  RecordSet set;
};

/// Total load of one service in one zone.
struct ServiceLoad {
  core::ServiceId service;
  uint32_t upstreams = 0;
  uint32_t max_running = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;

  auto operator<=>(const ServiceLoad&) const = default;
};

/// Tracks upstreams and which of them may get new work. Deterministic; not
/// thread-safe.
class UpstreamDirectory {
 public:
  /// Maximum records that a relay exports per service.
  static constexpr size_t kExportedPerService = 8;
  /// Maximum upstreams that one instance reports.
  static constexpr size_t kMaxReported = 4096;

  /// `incarnation` is the start of this instance in seconds since the epoch.
  UpstreamDirectory(core::InstanceId self, core::ZoneId zone,
                    uint32_t incarnation, UpstreamTimings timings = {});

  /// Registers an upstream; this instance becomes its reporter. Returns the
  /// incarnation, or kInvalidArgument or kLimitExceeded.
  core::Result<uint64_t> Announce(const Announcement& announcement,
                                  core::TimePoint now);

  /// Renews the lease of `upstream`, or queues the renewal for its reporter.
  /// Returns kNotFound if the upstream is unknown or gone; it must then
  /// announce itself again. A leaving upstream may renew and remains leaving.
  core::Result<RenewalOutcome> Renew(const core::UpstreamId& upstream,
                                     const UpstreamLoad& load,
                                     core::TimePoint now);

  /// Marks `upstream` as leaving; any instance can do so. Returns kNotFound if
  /// it is unknown or gone.
  core::Status Leave(const core::UpstreamId& upstream, core::TimePoint now);

  /// Marks the upstreams with an expired lease as gone and removes old records.
  void Expire(core::TimePoint now);

  /// Upstreams of `service` that may get new work: first those of the local
  /// zone, then others, each ordered by id.
  std::vector<Route> Routable(const core::ServiceId& service,
                              core::TimePoint now) const;

  /// The current record of `upstream` in any phase; empty if it is unknown.
  std::optional<UpstreamRecord> Find(const core::UpstreamId& upstream) const;

  /// The current records of all upstreams, for status reports.
  std::vector<UpstreamRecord> All() const;

  /// Returns whether `upstream` may get new work.
  bool IsRoutable(const core::UpstreamId& upstream, core::TimePoint now) const;

  /// Load of the upstreams of the local zone, by service.
  std::vector<ServiceLoad> ZoneLoad(core::TimePoint now) const;

  // Synchronization with other instances.

  /// Applies changes of the record set of another instance.
  void Apply(const SetKey& key, uint32_t incarnation,
             const RecordSetChanges& changes, core::TimePoint now);

  /// Notes that the source of `key` was at `version` at time `at`. Returns
  /// whether changes are missing in the local copy.
  bool Confirm(const SetKey& key, uint32_t incarnation, uint64_t version,
               core::TimePoint at);

  /// Updates the load of an upstream, as its reporter sent it.
  void SetLoad(const core::InstanceId& reporter, uint32_t slot,
               const UpstreamLoad& load);

  /// Applies a renewal that another instance forwarded.
  void ApplyForwardedRenewal(const PendingRenewal& renewal,
                             core::TimePoint now);

  /// Removes and returns the renewals to forward to `reporter`.
  std::vector<PendingRenewal> TakePendingRenewals(
      const core::InstanceId& reporter);
  /// Reporters for which renewals are queued.
  std::vector<core::InstanceId> PendingReporters() const;

  /// Removes and returns the changes since the last call.
  std::vector<RecordSetUpdate> TakeUpdates();

  /// Sets the incarnation of the local record sets. Other instances then copy
  /// them in full.
  void SetIncarnation(uint32_t incarnation);

  /// Updates the record set that this instance exports as a relay.
  void RefreshExport(core::TimePoint now);

  /// Returns the set of `key`, or null. The local sets always exist.
  const KnownSet* FindSet(const SetKey& key) const;

  /// Sets an additional check whether a reporter is alive. Without it, a
  /// reporter is alive while it confirms its record set.
  void SetAliveCheck(std::function<bool(const core::InstanceId&)> is_alive);

  /// Remaining lease of an upstream that this instance reports; zero for
  /// others.
  std::chrono::milliseconds RemainingLease(const core::UpstreamId& upstream,
                                           core::TimePoint now) const;

 private:
  struct Candidate {
    const UpstreamRecord* record = nullptr;
    bool confirmed = false;
  };

  KnownSet& local() { return sets_.at({self_, false}); }
  const KnownSet& local() const { return sets_.at({self_, false}); }
  bool IsConfirmed(const SetKey& key, const KnownSet& known,
                   core::TimePoint now) const;
  bool IsReporterAlive(const core::InstanceId& reporter,
                       core::TimePoint now) const;
  Candidate FindBest(const core::UpstreamId& upstream,
                     core::TimePoint now) const;
  std::map<core::UpstreamId, Candidate> Candidates(core::TimePoint now) const;
  void UpdateBest(const UpstreamRecord& record, bool confirmed,
                  Candidate& best) const;
  void PutLocal(UpstreamRecord record, core::TimePoint now);
  void TakeOver(UpstreamRecord record, core::TimePoint now);
  void Reconcile(const VersionedRecord& item, core::TimePoint now);
  void ReannounceLocal(const UpstreamRecord& lost, const UpstreamRecord& winner,
                       core::TimePoint now);
  KnownSet* EnsureSet(const SetKey& key, uint32_t incarnation);

  core::InstanceId self_;
  core::ZoneId zone_;
  UpstreamTimings timings_;
  std::map<SetKey, KnownSet> sets_;
  std::map<core::UpstreamId, core::TimePoint> renewed_at_;
  std::map<core::InstanceId, std::vector<PendingRenewal>> pending_renewals_;
  std::vector<RecordSetUpdate> updates_;
  uint32_t next_slot_ = 1;
  std::function<bool(const core::InstanceId&)> is_alive_;
};

}  // namespace hawthorn::membership

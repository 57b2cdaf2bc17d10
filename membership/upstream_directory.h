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
// instance that receives its renewals; the other instances hold a copy of the
// reporter's set and trust it only while the reporter confirms it.
namespace hawthorn::membership {

/// Durations of the leases.
struct UpstreamTimings {
  /// Time without a renewal after which the reporter gives an upstream up.
  std::chrono::milliseconds upstream_lease{1200};
  /// Time without a confirmation after which the upstreams of a reporter in
  /// the own zone take no new work.
  std::chrono::milliseconds reporter_lease{1800};
  /// Time without a confirmation after which another instance of the zone
  /// that receives a renewal becomes the reporter.
  std::chrono::milliseconds takeover_after{1000};
  /// Time without a confirmation after which upstreams known through a relay
  /// of another zone take no new work.
  std::chrono::milliseconds export_lease{5000};
};

/// Upstream that may take new work.
struct Route {
  UpstreamRecord upstream;
  /// The upstream is in another zone than this instance.
  bool crosses_zone = false;

  auto operator<=>(const Route&) const = default;
};

/// The renewal was taken here.
struct Renewed {
  auto operator<=>(const Renewed&) const = default;
};

/// The renewal was queued for the reporter of the upstream.
struct Forwarded {
  core::InstanceId reporter;

  auto operator<=>(const Forwarded&) const = default;
};

using RenewalOutcome = std::variant<Renewed, Forwarded>;

/// Renewal that goes on to the reporter of the upstream.
struct PendingRenewal {
  core::UpstreamId upstream;
  uint64_t incarnation = 0;
  UpstreamLoad load;

  auto operator<=>(const PendingRenewal&) const = default;
};

/// Which set of an instance: its own reports, or what it exports as a relay.
struct SetKey {
  core::InstanceId source;
  bool exported = false;

  auto operator<=>(const SetKey&) const = default;
};

/// Change that other instances should hear of at once.
struct RecordSetUpdate {
  SetKey key;
  uint64_t set_version = 0;

  auto operator<=>(const RecordSetUpdate&) const = default;
};

/// Set of records with the start of its writer.
struct KnownSet {
  uint32_t incarnation = 0;
  RecordSet set;
};

/// Load of one service in one zone.
struct ServiceLoad {
  core::ServiceId service;
  uint32_t upstreams = 0;
  uint32_t max_running = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;

  auto operator<=>(const ServiceLoad&) const = default;
};

/// Deterministic; not thread-safe.
class UpstreamDirectory {
 public:
  /// Records that a relay exports for each service at most.
  static constexpr size_t kExportedPerService = 8;
  /// Upstreams that one instance reports at most.
  static constexpr size_t kMaxReported = 4096;

  /// `incarnation` is the start of this instance in seconds since the epoch.
  UpstreamDirectory(core::InstanceId self, core::ZoneId zone,
                    uint32_t incarnation, UpstreamTimings timings = {});

  /// Takes an announcement; this instance becomes the reporter. Returns the
  /// incarnation, or kInvalidArgument, or kLimitExceeded.
  core::Result<uint64_t> Announce(const Announcement& announcement,
                                  core::TimePoint now);

  /// Extends the lease of `upstream`. Returns kNotFound if the upstream is
  /// unknown or gone and must announce itself again. A leaving upstream may
  /// renew and stays leaving.
  core::Result<RenewalOutcome> Renew(const core::UpstreamId& upstream,
                                     const UpstreamLoad& load,
                                     core::TimePoint now);

  /// Marks `upstream` as leaving, at whichever instance it asks. Returns
  /// kNotFound if it is unknown or gone.
  core::Status Leave(const core::UpstreamId& upstream, core::TimePoint now);

  /// Gives up the upstreams whose lease has run out and forgets old ones.
  void Expire(core::TimePoint now);

  /// Upstreams of `service` that may take new work: those of the own zone
  /// first, each part in the order of the ids.
  std::vector<Route> Routable(const core::ServiceId& service,
                              core::TimePoint now) const;

  /// The winning record of `upstream` in any phase, if it is known.
  std::optional<UpstreamRecord> Find(const core::UpstreamId& upstream) const;

  /// The winning records of all upstreams, for status reports.
  std::vector<UpstreamRecord> All() const;

  /// Returns whether `upstream` may take new work.
  bool IsRoutable(const core::UpstreamId& upstream, core::TimePoint now) const;

  /// Load of the upstreams of the own zone, by service.
  std::vector<ServiceLoad> ZoneLoad(core::TimePoint now) const;

  // Exchange with other instances.

  /// Applies changes of another instance's set.
  void Apply(const SetKey& key, uint32_t incarnation,
             const RecordSetChanges& changes, core::TimePoint now);

  /// Notes that a source was at `version` at time `at`. Returns whether
  /// changes are missing here.
  bool Confirm(const SetKey& key, uint32_t incarnation, uint64_t version,
               core::TimePoint at);

  /// Stores loads that a reporter sent of its own upstreams.
  void SetLoad(const core::InstanceId& reporter, uint32_t slot,
               const UpstreamLoad& load);

  /// Takes a renewal that another instance forwarded.
  void ApplyForwardedRenewal(const PendingRenewal& renewal,
                             core::TimePoint now);

  /// Renewals for `reporter`; they are handed out once.
  std::vector<PendingRenewal> TakePendingRenewals(
      const core::InstanceId& reporter);
  /// Reporters for which renewals wait.
  std::vector<core::InstanceId> PendingReporters() const;

  /// Changes that became known since the last call.
  std::vector<RecordSetUpdate> TakeUpdates();

  /// Puts the own sets under a new `incarnation`; others copy them anew.
  void SetIncarnation(uint32_t incarnation);

  /// Renews the set that this instance exports as a relay.
  void RefreshExport(core::TimePoint now);

  /// Returns the set of `key`, or null. The own sets are always there.
  const KnownSet* FindSet(const SetKey& key) const;

  /// Sets a further condition under which a reporter keeps its upstreams;
  /// without one it keeps them while it confirms its set.
  void SetAliveCheck(std::function<bool(const core::InstanceId&)> is_alive);

  /// Remaining lease of an own upstream; zero for one of another reporter.
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

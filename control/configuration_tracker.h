#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control.pb.h"
#include "control/control_state.h"
#include "control/revision_history.h"
#include "core/clock.h"
#include "core/error.h"

namespace hawthorn::control {

/// An instance of the deployment, as listed in the settings.
struct TrackedPeer {
  std::string instance;
  std::string zone;

  auto operator<=>(const TrackedPeer&) const = default;
};

/// Timeouts of a ConfigurationTracker.
struct TrackerTimes {
  /// Time after a start for links to come up.
  std::chrono::nanoseconds settle = std::chrono::seconds(2);
  /// Time after which a pull without a reply is sent to another instance.
  std::chrono::nanoseconds pull_timeout = std::chrono::milliseconds(500);
  /// Delay before a pull from another zone, multiplied by the rank of the
  /// instance in its zone. It gives instances of lower rank time to fetch the
  /// revision.
  std::chrono::nanoseconds relay_delay = std::chrono::milliseconds(300);
  /// Maximum rank that the delay is multiplied by.
  size_t max_relay_steps = 3;
};

/// An instance's copy of the configuration. Compares its revision with those in
/// peer messages, selects the peer to pull a newer one from, and decides when
/// the instance may take traffic. The revision never decreases. Within a zone,
/// one instance pulls from another zone and the others pull from it.
/// Deterministic; not thread-safe.
class ConfigurationTracker {
 public:
  /// `peers` are the other instances.
  ConfigurationTracker(TrackedPeer self, std::vector<TrackedPeer> peers,
                       TrackerTimes times, core::TimePoint now);

  /// Records that the link to a peer came up or went down.
  void NoteLink(const std::string& instance, bool is_up, core::TimePoint now);

  /// Records the revision in a message from a peer.
  void NoteRevision(const std::string& instance, uint64_t revision,
                    core::TimePoint now);

  /// Instance to send a pull to now, if any. The pull carries pull_revision().
  std::optional<std::string> NextPull(core::TimePoint now);

  /// Applies the reply to a pull. Changes up to the current revision are
  /// skipped. Error: kOutOfOrder if a change does not follow the revision
  /// before it or does not fit it. Earlier changes stay applied, and the next
  /// pull asks for the whole configuration.
  core::Status ApplyUpdate(const schema::ConfigurationUpdate& update);

  /// Updates the configuration from the state machine of the local control
  /// voter.
  void UpdateFromLocal(const ControlState& state);

  /// Reply to a pull of an instance that has `revision`.
  schema::ConfigurationUpdate UpdateFrom(uint64_t revision) const;

  /// Revision to send with a pull: 0 asks for the whole configuration.
  uint64_t pull_revision() const { return needs_whole_ ? 0 : revision(); }

  uint64_t revision() const { return current_.revision(); }
  const schema::VersionedConfiguration& current() const { return current_; }

  /// Highest revision reported by a reachable peer.
  uint64_t HighestReachable() const;

  /// Whether the instance may take traffic: it has a configuration, every
  /// reachable peer has reported its revision, and none of them has a higher
  /// one. Until `settle` has passed, all peers must be reachable. Once true it
  /// stays true, because a running instance may be briefly behind.
  bool IsReady(core::TimePoint now);

 private:
  struct PeerState {
    std::string zone;
    bool is_up = false;
    std::optional<uint64_t> revision;
  };

  std::vector<std::string> PeersAhead(bool in_local_zone) const;
  size_t RankInZone() const;
  core::Status ApplyChanges(const schema::ConfigurationUpdate& update);

  TrackedPeer self_;
  std::map<std::string, PeerState> peers_;
  TrackerTimes times_;
  core::TimePoint started_;
  schema::VersionedConfiguration current_;
  RevisionHistory history_;
  bool needs_whole_ = false;
  bool is_ready_ = false;
  // Time since which a reachable peer is ahead.
  std::optional<core::TimePoint> behind_since_;
  std::optional<core::TimePoint> pulled_at_;
  // Number of pulls sent, used to rotate among the peers.
  size_t pull_count_ = 0;
};

}  // namespace hawthorn::control

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

/// Another instance of the deployment, as the settings list it.
struct TrackedPeer {
  std::string instance;
  std::string zone;

  auto operator<=>(const TrackedPeer&) const = default;
};

/// Bounds on time of ConfigurationTracker.
struct TrackerTimes {
  /// Time for links to come up after a start.
  std::chrono::nanoseconds settle = std::chrono::seconds(2);
  /// Time after which a pull without an answer goes to another instance.
  std::chrono::nanoseconds pull_timeout = std::chrono::milliseconds(500);
  /// Time by which each further instance of a zone waits for the one before
  /// it to bring a revision from another zone.
  std::chrono::nanoseconds relay_delay = std::chrono::milliseconds(300);
  /// Instances of a zone that are staggered so; the others wait no longer.
  size_t max_relay_steps = 3;
};

/// The configuration as one instance knows it. Learns from the revisions on
/// peer messages that it is behind and says whom to ask; never goes back to
/// an older revision; says when the instance may take traffic. Within a zone
/// one instance pulls from another zone and the others pull from it.
/// Deterministic; not thread-safe.
class ConfigurationTracker {
 public:
  /// `peers` are the other instances.
  ConfigurationTracker(TrackedPeer self, std::vector<TrackedPeer> peers,
                       TrackerTimes times, core::TimePoint now);

  /// The link to a peer came up or went down.
  void NoteLink(const std::string& instance, bool is_up, core::TimePoint now);

  /// A message of a peer carried this revision.
  void NoteRevision(const std::string& instance, uint64_t revision,
                    core::TimePoint now);

  /// Instance to send a pull to now, if any. A pull carries revision().
  std::optional<std::string> NextPull(core::TimePoint now);

  /// Takes the answer to a pull. Changes that are known already are skipped.
  /// Error kOutOfOrder if one of them does not follow the revision before it
  /// or contradicts it; those before it stay taken, and the next pull asks
  /// for the whole.
  core::Status Take(const schema::ConfigurationUpdate& update);

  /// Takes what the state machine of a control voter has applied.
  void TakeOwn(const ControlState& state);

  /// Answer to the pull of an instance that knows `revision`.
  schema::ConfigurationUpdate UpdateFrom(uint64_t revision) const;

  /// Revision to send with a pull: 0 asks for the whole configuration.
  uint64_t pull_revision() const { return needs_whole_ ? 0 : revision(); }

  uint64_t revision() const { return current_.revision(); }
  const schema::VersionedConfiguration& current() const { return current_; }

  /// Highest revision that a reachable peer reported.
  uint64_t HighestReachable() const;

  /// Whether the instance may take traffic: it has a configuration, every
  /// reachable peer has reported its revision, and none of them knows a
  /// higher one. Before `settle` has passed, all peers must be reachable.
  /// Once true it stays true, since a running instance may be behind for a
  /// moment.
  bool IsReady(core::TimePoint now);

 private:
  struct PeerState {
    std::string zone;
    bool is_up = false;
    std::optional<uint64_t> revision;
  };

  std::vector<std::string> PeersAhead(bool in_own_zone) const;
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
  // Turns through the peers that can be asked.
  size_t next_peer_ = 0;
};

}  // namespace hawthorn::control

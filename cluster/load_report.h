#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "control/deployment_state.h"
#include "core/clock.h"
#include "peer/peer_options.h"

namespace hawthorn::cluster {

/// Writes what an instance of the group did to the log, once a second while it
/// has work.
class LoadReport {
 public:
  /// Totals since the process started, and the state at the time of the report.
  struct Figures {
    control::ApplyCounts applied;
    peer::PeerCounters links;
    uint64_t watches_added = 0;
    uint64_t tables_sent = 0;
    /// Commands whose sender gave up before their turn, and claims refused.
    uint64_t abandoned = 0;
    uint64_t refused = 0;
    uint64_t uncommitted = 0;
    size_t watchers = 0;
    bool leads = false;
  };

  static constexpr std::chrono::milliseconds kInterval{1000};

  /// Notes how long a command took from its proposal to its commit.
  void OnCommit(std::chrono::nanoseconds latency);
  /// Notes how late the event loop was.
  void OnLoopDelay(std::chrono::nanoseconds delay);

  bool IsDue(core::TimePoint now) const { return now >= next_; }
  /// Logs the difference to the previous figures.
  void Write(const Figures& figures, core::TimePoint now);

 private:
  Figures last_;
  core::TimePoint next_;
  std::chrono::nanoseconds longest_commit_{0};
  std::chrono::nanoseconds longest_delay_{0};
  uint64_t commits_ = 0;
};

}  // namespace hawthorn::cluster

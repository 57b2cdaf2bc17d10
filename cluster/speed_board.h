#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "core/clock.h"
#include "scheduling/upstream_speed.h"
#include "schema/generated/deployment.pb.h"

namespace hawthorn::cluster {

/// What the instances report of the speed of upstreams, on its way from one
/// watcher to all others. Holds the latest report of each upstream only and
/// drops those that are too old to be of use. Reports are soft state: nothing
/// is committed, and one that is lost is replaced by the next.
class SpeedBoard {
 public:
  /// Least time between two messages with reports to the same instance.
  static constexpr std::chrono::milliseconds kInterval{75};
  /// Maximum number of upstreams and length of an id; further reports are
  /// dropped.
  static constexpr size_t kMaxUpstreams = 1024;
  static constexpr size_t kMaxIdBytes = 128;

  /// Takes reports of `sender`, which is a watcher of this instance or another
  /// instance that serves watchers. Returns the number that was dropped for
  /// being malformed or beyond the limits.
  size_t OnSpeeds(const schema::UpstreamSpeeds& speeds,
                  const std::string& sender, bool sender_is_watcher,
                  core::TimePoint now);
  /// Whether there are reports after `cursor` for the watcher `receiver`.
  bool HasNews(uint64_t cursor, const std::string& receiver,
               core::TimePoint now) const;
  /// Reports after `cursor` that `receiver` did not send itself.
  schema::UpstreamSpeeds Since(uint64_t cursor, const std::string& receiver,
                               core::TimePoint now) const;
  /// Cursor after the latest report.
  uint64_t cursor() const { return cursor_; }
  /// Reports of the own watchers since the last call that returned any, for the
  /// other instances that serve watchers; empty before kInterval is over.
  schema::UpstreamSpeeds TakeForPeers(core::TimePoint now);

 private:
  struct Report {
    uint32_t percent = 100;
    core::TimePoint taken_at;
    std::string sender;
    bool from_watcher = false;
    /// Position among all reports.
    uint64_t number = 0;
  };

  static bool IsOfUse(const Report& report, core::TimePoint now) {
    return now - report.taken_at < scheduling::UpstreamSpeed::kSpell;
  }
  static void Add(const std::string& upstream, const Report& report,
                  core::TimePoint now, schema::UpstreamSpeeds* out);
  void DropOld(core::TimePoint now);

  std::map<std::string, Report> reports_;
  uint64_t cursor_ = 0;
  uint64_t peer_cursor_ = 0;
  core::TimePoint last_to_peers_;
};

}  // namespace hawthorn::cluster

#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/id.h"
#include "main/calls/call_controller.h"
#include "membership/upstream_directory.h"
#include "scheduling/scheduler.h"

namespace hawthorn::main {

/// Updates the scheduler's upstreams and loads from the upstream directory.
class UpstreamRegistry {
 public:
  UpstreamRegistry(membership::UpstreamDirectory& directory,
                   scheduling::Scheduler& scheduler)
      : directory_(directory), scheduler_(scheduler) {}

  /// Passes every change since the last call to the scheduler.
  void Sync(core::TimePoint now);

  /// Target for a call; none if the upstream is unknown or leaving.
  std::optional<UpstreamTarget> Target(const core::UpstreamId& id) const;

 private:
  struct KnownUpstream {
    scheduling::UpstreamState state;
    membership::UpstreamLoad load;
    std::string address;
    uint64_t incarnation = 0;
  };

  void Update(const membership::UpstreamRecord& record, core::TimePoint now);

  membership::UpstreamDirectory& directory_;
  scheduling::Scheduler& scheduler_;
  std::map<core::UpstreamId, KnownUpstream> known_;
};

}  // namespace hawthorn::main

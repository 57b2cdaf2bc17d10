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

/// Keeps the scheduler's view of the upstreams in step with the directory.
class UpstreamRegistry {
 public:
  UpstreamRegistry(membership::UpstreamDirectory& directory,
                   scheduling::Scheduler& scheduler)
      : directory_(directory), scheduler_(scheduler) {}

  /// Hands every difference to the scheduler.
  void Sync(core::TimePoint now);

  /// Where to send a call; nothing for an upstream that is not known.
  std::optional<UpstreamTarget> Target(const core::UpstreamId& id) const;

 private:
  struct Known {
    scheduling::UpstreamState state;
    membership::UpstreamLoad load;
    std::string address;
    uint64_t incarnation = 0;
  };

  void Take(const membership::UpstreamRecord& record, core::TimePoint now);

  membership::UpstreamDirectory& directory_;
  scheduling::Scheduler& scheduler_;
  std::map<core::UpstreamId, Known> known_;
};

}  // namespace hawthorn::main

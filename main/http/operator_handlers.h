#pragma once

#include <cstdint>
#include <functional>

#include "core/clock.h"
#include "main/groups/replicated_groups.h"
#include "main/node.h"
#include "membership/membership.h"
#include "settings.pb.h"

namespace hawthorn::main {

/// Registers the operators' status reports on members and programs, and the
/// reports and commands for the configuration. All arguments must outlive the
/// node.
void RegisterGroupHandlers(Node& node, ReplicatedGroups& groups,
                           membership::Membership& membership,
                           const schema::Settings& settings,
                           const core::Clock& clock,
                           const std::function<uint64_t()>& random);

}  // namespace hawthorn::main

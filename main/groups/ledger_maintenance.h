#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "main/groups/group_client.h"
#include "main/groups/hosted_group.h"
#include "membership/instance_directory.h"
#include "programs/ledger.h"

namespace hawthorn::main {

/// Periodic tasks of a ledger's leader: advances the ledger's time when a
/// deadline is due, and reports lost owners, so that the ledger resolves the
/// open calls of failed instances. Runs on the decision thread.
class LedgerMaintenance {
 public:
  struct Parts {
    const core::Clock& clock;
    core::Metrics& metrics;
    GroupClient& groups;
    membership::InstanceDirectory& instances;
    /// This run of the instance, "INSTANCE/INCARNATION".
    std::string run;
  };

  explicit LedgerMaintenance(Parts parts) : parts_(std::move(parts)) {}

  /// Adds the local replica of the ledger group `name`.
  void Add(const std::string& name,
           const HostedGroupOf<programs::Ledger>* replica);

  void Tick();

 private:
  struct LocalLedger {
    std::string name;
    const HostedGroupOf<programs::Ledger>* replica = nullptr;
    bool proposing = false;
  };

  void AdvanceTime(LocalLedger& ledger);
  void ReportLostOwners(LocalLedger& ledger);
  bool IsLost(const std::string& owner) const;
  void Propose(LocalLedger& ledger, const schema::LedgerCommand& command);

  Parts parts_;
  std::vector<LocalLedger> ledgers_;
  core::TimePoint next_;
};

/// Name of the run of `instance` that started at `incarnation`.
std::string RunName(const std::string& instance, uint32_t incarnation);

}  // namespace hawthorn::main

#include "main/groups/ledger_maintenance.h"

#include <cstdlib>

#include "main/groups/ledger_messages.h"

namespace hawthorn::main {

namespace {
constexpr std::chrono::milliseconds kInterval{250};
}  // namespace

std::string RunName(const std::string& instance, uint32_t incarnation) {
  return instance + "/" + std::to_string(incarnation);
}

void LedgerMaintenance::Add(const std::string& name,
                            const HostedGroupOf<programs::Ledger>* replica) {
  ledgers_.push_back(LocalLedger{name, replica, false});
}

void LedgerMaintenance::Tick() {
  const core::TimePoint now = parts_.clock.Now();
  if (now < next_) {
    return;
  }
  next_ = now + kInterval;
  for (LocalLedger& ledger : ledgers_) {
    if (!ledger.replica->is_leader()) {
      continue;
    }
    ReportLostOwners(ledger);
    AdvanceTime(ledger);
  }
}

void LedgerMaintenance::AdvanceTime(LocalLedger& ledger) {
  const auto due = ledger.replica->machine().NextDeadline();
  const int64_t now = parts_.clock.WallNow().time_since_epoch().count();
  if (!due || *due > now) {
    return;
  }
  schema::LedgerCommand command = CommandAt(parts_.clock.WallNow());
  command.mutable_pass_time();
  Propose(ledger, command);
}

void LedgerMaintenance::ReportLostOwners(LocalLedger& ledger) {
  for (const std::string& owner : ledger.replica->machine().Owners()) {
    if (!IsLost(owner)) {
      continue;
    }
    parts_.metrics.Count("owners_lost");
    schema::LedgerCommand command = CommandAt(parts_.clock.WallNow());
    command.mutable_owner_lost()->set_owner(owner);
    Propose(ledger, command);
  }
}

bool LedgerMaintenance::IsLost(const std::string& owner) const {
  if (owner == parts_.run) {
    return false;
  }
  const size_t slash = owner.rfind('/');
  const core::InstanceId instance(owner.substr(0, slash));
  const auto incarnation = static_cast<uint32_t>(
      std::strtoul(owner.c_str() + slash + 1, nullptr, 10));
  if (instance == parts_.instances.self().instance) {
    return true;
  }
  const auto view = parts_.instances.Find(instance);
  if (!view) {
    return true;
  }
  return view->state == membership::InstanceState::kDead ||
         view->incarnation > incarnation;
}

void LedgerMaintenance::Propose(LocalLedger& ledger,
                                const schema::LedgerCommand& command) {
  if (ledger.proposing) {
    return;
  }
  ledger.proposing = true;
  parts_.groups.Propose(ledger.name, command.SerializeAsString(),
                        [&ledger](const core::Result<std::string>&) {
                          ledger.proposing = false;
                        });
}

}  // namespace hawthorn::main

#include "main/groups/ledger_keeper.h"

#include <cstdlib>

#include "main/groups/ledger_messages.h"

namespace hawthorn::main {

namespace {
constexpr std::chrono::milliseconds kInterval{250};
}  // namespace

std::string RunName(const std::string& instance, uint32_t incarnation) {
  return instance + "/" + std::to_string(incarnation);
}

void LedgerKeeper::Add(const std::string& name,
                       const HostedGroupOf<programs::Ledger>* replica) {
  kept_.push_back(Kept{name, replica, false});
}

void LedgerKeeper::Tick() {
  const core::TimePoint now = parts_.clock.Now();
  if (now < next_) {
    return;
  }
  next_ = now + kInterval;
  for (Kept& kept : kept_) {
    if (!kept.replica->is_leader()) {
      continue;
    }
    TakeOverLost(kept);
    PassTime(kept);
  }
}

void LedgerKeeper::PassTime(Kept& kept) {
  const auto due = kept.replica->machine().NextDeadline();
  const int64_t now = parts_.clock.WallNow().time_since_epoch().count();
  if (!due || *due > now) {
    return;
  }
  schema::LedgerCommand command = CommandAt(parts_.clock.WallNow());
  command.mutable_pass_time();
  Propose(kept, command);
}

void LedgerKeeper::TakeOverLost(Kept& kept) {
  for (const std::string& owner : kept.replica->machine().Owners()) {
    if (!IsLost(owner)) {
      continue;
    }
    parts_.metrics.Count("owners_lost");
    schema::LedgerCommand command = CommandAt(parts_.clock.WallNow());
    command.mutable_owner_lost()->set_owner(owner);
    Propose(kept, command);
  }
}

bool LedgerKeeper::IsLost(const std::string& owner) const {
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

void LedgerKeeper::Propose(Kept& kept, const schema::LedgerCommand& command) {
  if (kept.proposing) {
    return;
  }
  kept.proposing = true;
  parts_.groups.Propose(
      kept.name, command.SerializeAsString(),
      [&kept](const core::Result<std::string>&) { kept.proposing = false; });
}

}  // namespace hawthorn::main

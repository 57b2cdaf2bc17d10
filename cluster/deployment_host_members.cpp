// Members of the deployment: announcements of instances, their records, and the
// changes of the group's membership that follow from them.
#include <QPointer>
#include <algorithm>
#include <utility>

#include "cluster/deployment_host.h"
#include "cluster/errors.h"
#include "cluster/state_position.h"
#include "logging/log.h"

namespace hawthorn::cluster {

namespace {

using logging::Log;
using logging::LogLevel;

/// Timeout of announcements: a reply is useless once later ones have been sent.
constexpr std::chrono::milliseconds kAnnounceTimeout{800};
/// Time in which a new leader receives the announcements of all instances,
/// before it considers any of them dead.
constexpr std::chrono::milliseconds kDiscoveryTime{3000};
/// Instances that must remain when one is retired: enough for a group that
/// tolerates a loss.
constexpr size_t kMinInstances = 3;

}  // namespace

schema::DeploymentMessage DeploymentHost::SelfAnnouncement() const {
  schema::DeploymentMessage message;
  schema::InstanceAnnouncement* it = message.mutable_announcement();
  *it->mutable_instance() = options_.self;
  it->set_incarnation(store_->incarnation());
  it->set_watchers(static_cast<uint32_t>(watches_.size()));
  for (schema::Forwarder& forwarder : watches_.OwnForwarders()) {
    *it->add_forwarders() = std::move(forwarder);
  }
  it->set_known_forwarders(watches_.forwarders().digest());
  if (unplaced_turns_) {
    it->set_unplaced_turns(unplaced_turns_());
  }
  return message;
}

void DeploymentHost::Announce() {
  if (is_leader()) {
    LastAnnouncement& self = announcements_[options_.self.instance()];
    self.announcement = SelfAnnouncement().announcement();
    self.at = Now();
    watches_.SetTotal(CountWatchers());
    watches_.SetForwarders(CollectForwarders());
    return;
  }
  std::string to = LeaderInContact();
  // A leader without a known address cannot be asked; others know the address.
  if (!peer_addresses_.contains(to) && !peer_addresses_.empty()) {
    auto target = peer_addresses_.begin();
    std::advance(target, static_cast<ptrdiff_t>(announce_cursor_++ %
                                                peer_addresses_.size()));
    to = target->first;
  }
  if (!to.empty()) {
    AnnounceTo(to);
  }
}

void DeploymentHost::AnnounceTo(const std::string& instance) {
  peers_.Request(
      core::InstanceId(instance), Pack(SelfAnnouncement()), kAnnounceTimeout,
      [guard = QPointer<DeploymentHost>(this),
       instance](const core::Result<schema::PeerMessage>& reply) {
        if (!guard || !core::IsOk(reply)) {
          return;
        }
        const auto list = Unpack(core::Value(reply));
        if (core::IsOk(list) && core::Value(list).has_instances()) {
          guard->OnInstanceList(core::Value(list).instances(), instance);
        }
      });
}

size_t DeploymentHost::CountWatchers() const {
  size_t total = watches_.size();
  for (const auto& [id, it] : announcements_) {
    const bool counts =
        id != options_.self.instance() && it.at + kDeadAfter > Now();
    total += counts ? it.announcement.watchers() : 0;
  }
  return total;
}

ForwarderList DeploymentHost::CollectForwarders() const {
  ForwarderList::Builder builder;
  for (const auto& [id, it] : announcements_) {
    if (it.at + kDeadAfter > Now()) {
      builder.Add(it.announcement.forwarders());
    }
  }
  return builder.Build();
}

void DeploymentHost::LearnStoredAddresses() {
  for (const auto& [id, record] : machine_.instances()) {
    SetPeerAddress(id, record.peer_address());
  }
  // Entries are applied once the leader tells that they are committed. To hear
  // and answer it, its address is needed before.
  group_->replica().VisitEntries([this](const storage::LogEntry& entry) {
    schema::DeploymentCommand command;
    if (entry.kind == storage::EntryKind::kCommand &&
        command.ParseFromString(entry.data) && command.has_instance()) {
      SetPeerAddress(command.instance().instance(),
                     command.instance().peer_address());
    }
  });
}

void DeploymentHost::OnInstanceList(const schema::InstanceList& list,
                                    const std::string& from) {
  if (list.watchers() > 0) {
    watches_.SetTotal(list.watchers());
  }
  if (list.watchers() > 0) {
    watched_instances_ = {list.watched_instances().begin(),
                          list.watched_instances().end()};
  }
  if (list.has_forwarders()) {
    watches_.SetForwarders(
        ForwarderList::Builder().Add(list.forwarders().forwarders()).Build());
  }
  for (const schema::InstanceRecord& record : list.instances()) {
    SetPeerAddress(record.instance(), record.peer_address());
  }
  TakeAnnouncedList(list);
  if (HasLeaderContact() || list.leader().empty() ||
      list.leader() == options_.self.instance()) {
    return;
  }
  // Not a member: this instance announces itself to the leader directly.
  if (list.leader() == from) {
    announced_leader_ = from;
    announced_leader_at_ = Now();
  } else {
    AnnounceTo(list.leader());
  }
}

void DeploymentHost::TakeAnnouncedList(const schema::InstanceList& list) {
  schema::StatePosition known = MakeWatchSource().position;
  if (announced_list_ && Precedes(known, announced_list_->position)) {
    known = announced_list_->position;
  }
  if (!list.has_position() || Precedes(list.position(), known)) {
    return;
  }
  announced_list_ = {{list.instances().begin(), list.instances().end()},
                     list.position(),
                     Now()};
}

std::optional<std::vector<schema::InstanceRecord>>
DeploymentHost::CurrentInstances() const {
  if (IsCurrent()) {
    std::vector<schema::InstanceRecord> instances;
    for (const auto& [id, record] : machine_.instances()) {
      instances.push_back(record);
    }
    return instances;
  }
  if (announced_list_ && Now() - announced_list_->at < kStateAgeLimit) {
    return announced_list_->instances;
  }
  return std::nullopt;
}

void DeploymentHost::OnAnnouncement(
    const schema::InstanceAnnouncement& announcement,
    const peer::Replier& replier) {
  const std::string& id = announcement.instance().instance();
  SetPeerAddress(id, announcement.instance().peer_address());
  LastAnnouncement& known = announcements_[id];
  known.announcement = announcement;
  known.at = Now();
  schema::DeploymentMessage reply;
  reply.mutable_instances()->set_leader(
      HasLeaderContact() ? group_->replica().leader().instance : std::string());
  if (is_leader()) {
    reply.mutable_instances()->set_watchers(
        static_cast<uint32_t>(CountWatchers()));
    for (const std::string& instance : InstancesWithWatchers()) {
      reply.mutable_instances()->add_watched_instances(instance);
    }
    if (announcement.known_forwarders() != watches_.forwarders().digest()) {
      *reply.mutable_instances()->mutable_forwarders() =
          watches_.forwarders().ToMessage();
    }
  }
  AppendInstances(machine_, reply.mutable_instances()->mutable_instances());
  if (IsCurrent()) {
    *reply.mutable_instances()->mutable_position() = MakeWatchSource().position;
  }
  replier.Reply(Pack(reply));
}

core::Result<schema::RetirementState> DeploymentHost::LocalRetirementState(
    const std::string& name) const {
  if (!is_leader() || !IsCurrent()) {
    return Unavailable("this instance does not lead");
  }
  schema::RetirementState state;
  const schema::InstanceRecord* record = machine_.FindInstanceByName(name);
  state.set_known(record != nullptr);
  if (record == nullptr) {
    return state;
  }
  const consensus::Replica& replica = group_->replica();
  const consensus::Membership& membership = replica.membership();
  size_t ready = 0;
  for (const consensus::Member& member : membership.members()) {
    const bool self = member.id == replica.id();
    ready += member.voter && (self || replica.HasCaughtUp(member.id)) ? 1 : 0;
  }
  // One that keeps no turns reports none. The turns of one that is gone are
  // copied by the others; a new leader cannot tell for how long it has been.
  const auto announced = announcements_.find(record->instance());
  const bool is_known = announced != announcements_.end();
  const core::TimePoint heard = is_known ? announced->second.at : leader_since_;
  const bool has_turns =
      (!is_known || announced->second.announcement.unplaced_turns() > 0) &&
      Now() - heard < kTurnsCopiedAfter;
  state.set_completed(record->retiring() && !has_turns &&
                      replica.membership_committed() &&
                      membership.FindInstance(record->instance()) == nullptr &&
                      ready >= kMinInstances);
  return state;
}

GroupView DeploymentHost::MakeGroupView() const {
  const core::TimePoint now = Now();
  const consensus::Replica& replica = group_->replica();
  GroupView view;
  view.membership = replica.membership();
  view.self = replica.id();
  for (const consensus::Member& member : view.membership.members()) {
    if (replica.IsInContact(member.id)) {
      view.in_contact.insert(member.id);
    }
  }
  for (const auto& [id, it] : announcements_) {
    InstanceView instance;
    instance.id = {id, it.announcement.incarnation()};
    instance.zone = it.announcement.instance().zone();
    instance.serves_control = it.announcement.instance().serves_control();
    const auto record = machine_.instances().find(id);
    instance.retiring =
        record != machine_.instances().end() && record->second.retiring();
    instance.alive = it.at + kDeadAfter > now;
    instance.caught_up = replica.HasCaughtUp(instance.id);
    view.instances.push_back(std::move(instance));
  }
  return view;
}

size_t DeploymentHost::ProgramLimit() const {
  uint64_t smallest = kMaxMachineBytes;
  for (const consensus::Member& member :
       group_->replica().membership().members()) {
    const auto it = machine_.instances().find(member.id.instance);
    const bool is_known =
        it != machine_.instances().end() && it->second.memory_bytes() > 0;
    smallest = std::min(
        smallest, is_known ? it->second.memory_bytes() : kAssumedMachineBytes);
  }
  return smallest / kProgramMemoryDivisor;
}

void DeploymentHost::PlanStep() {
  const consensus::Replica& replica = group_->replica();
  const core::TimePoint now = Now();
  if (!replica.membership_committed() || !replica.accepts_proposals() ||
      now < leader_since_ + kDiscoveryTime) {
    return;
  }
  const PlannedStep step = PlanMembership(MakeGroupView());
  if (std::holds_alternative<LeadershipTransfer>(step)) {
    group_->TransferLeadership("", now);
    return;
  }
  if (!std::holds_alternative<consensus::MembershipChange>(step)) {
    return;
  }
  const auto& change = std::get<consensus::MembershipChange>(step);
  const core::Status status = group_->ChangeMembership(change, now);
  metrics_.Count("membership_changes");
  using Kind = consensus::MembershipChange::Kind;
  Log(LogLevel::kInfo, "membership change",
      {{"member", consensus::ToString(change.id)},
       {"kind", change.kind == Kind::kAddLearner ? "add learner"
                : change.kind == Kind::kPromote  ? "promote"
                                                 : "remove"},
       {"voters", std::to_string(replica.membership().voter_count())},
       {"outcome",
        core::IsOk(status) ? "proposed" : core::ErrorOf(status).message}});
}

void DeploymentHost::RecordInstances() {
  for (auto& [id, it] : announcements_) {
    const schema::InstanceRecord& announced = it.announcement.instance();
    const auto stored = machine_.instances().find(id);
    const bool same =
        stored != machine_.instances().end() &&
        stored->second.name() == announced.name() &&
        stored->second.peer_address() == announced.peer_address() &&
        stored->second.control_address() == announced.control_address() &&
        stored->second.memory_bytes() == announced.memory_bytes();
    if (same || it.at + kDeadAfter <= Now() ||
        it.recorded_at + kAnnounceInterval > Now()) {
      continue;
    }
    it.recorded_at = Now();
    schema::DeploymentCommand command;
    *command.mutable_instance() = announced;
    ProposeLocally(std::move(command),
                   [](const core::Result<schema::DeploymentReply>&) {});
  }
}

}  // namespace hawthorn::cluster

#include "cluster/deployment_host.h"

#include <QPointer>
#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace hawthorn::cluster {

namespace {

using logging::Log;
using logging::LogLevel;

/// Group's own times: a lost leader is replaced within a second. Round trips
/// within a region take up to 3 ms, and a sync 2 ms.
constexpr std::chrono::milliseconds kElectionTimeout{350};
constexpr std::chrono::milliseconds kHeartbeat{90};
constexpr std::chrono::milliseconds kPeerTimeout{800};
/// Machines pay for each message. Well below the 250 ms in which watches are
/// kept alive, so that news is not late by it.
constexpr std::chrono::milliseconds kLazyInterval{30};
constexpr uint64_t kSnapshotEntries = 4000;
constexpr std::chrono::milliseconds kHeardReportInterval{5000};
/// Time in which a new leader hears of all instances and upstreams before it
/// calls any of them silent.
constexpr std::chrono::milliseconds kSettleTime{3000};
constexpr std::chrono::milliseconds kRetryAfter{300};
/// Organisation under which the deployment's own work is timed.
const core::OrganisationId kOwnWork("deployment");
/// Instances that must remain when one is emptied: enough for a group that
/// bears a loss.
constexpr size_t kLeastInstances = 3;

core::Error Unavailable(std::string message) {
  return core::Error{core::ErrorCode::kUnavailable, std::move(message),
                     core::Execution::kNotRun, kRetryAfter};
}

const char* KindOf(const schema::DeploymentCommand& command) {
  using Command = schema::DeploymentCommand;
  switch (command.body_case()) {
    case Command::kPublish:
      return "publish";
    case Command::kUpstream:
      return "upstream";
    case Command::kReserve:
      return "claim";
    case Command::kSettle:
      return "settle";
    case Command::kInstance:
    case Command::kForgetInstance:
    case Command::kRetire:
      return "instance";
    case Command::kForgetUpstream:
      return "forget_upstream";
    case Command::kCrashedRequest:
      return "crashed_request";
    case Command::BODY_NOT_SET:
      break;
  }
  return "none";
}

/// The claim in a command, without the settlements that travel with it.
std::optional<schema::TokenReservation> ClaimOf(
    const schema::DeploymentCommand& command) {
  if (!command.has_reserve()) {
    return std::nullopt;
  }
  schema::TokenReservation claim;
  claim.set_program(command.reserve().program());
  claim.set_request(command.reserve().request());
  claim.set_budget(command.reserve().budget());
  claim.set_tokens(command.reserve().tokens());
  return claim;
}

void LogClaim(const schema::TokenReservation& claim,
              const core::Result<schema::DeploymentReply>& result) {
  const bool known = core::IsOk(result);
  const bool granted = known && core::Value(result).granted();
  const LogLevel level = granted ? LogLevel::kDebug
                         : known ? LogLevel::kInfo
                                 : LogLevel::kWarn;
  if (!logging::IsLogged(level)) {
    return;
  }
  Log(level, granted ? "claim granted" : "claim refused",
      {{"request", claim.request()},
       {"program", claim.program()},
       {"budget", std::to_string(claim.budget())},
       {"most_tokens", std::to_string(claim.tokens())},
       {"budget_remaining",
        known ? std::to_string(core::Value(result).remaining()) : "unknown"},
       {"reason", granted ? ""
                  : known ? "budget spent"
                          : core::ErrorOf(result).message}});
}

/// Hands one field of a leader's reply on, or the error in its place.
template <typename T>
auto TakeField(std::function<void(const core::Result<T>&)> callback,
               const T& (schema::DeploymentMessage::*field)() const) {
  return [callback = std::move(callback),
          field](const core::Result<schema::DeploymentMessage>& reply) {
    if (!core::IsOk(reply)) {
      callback(core::ErrorOf(reply));
      return;
    }
    callback((core::Value(reply).*field)());
  };
}

}  // namespace

schema::PeerMessage Pack(const schema::DeploymentMessage& message) {
  schema::PeerMessage out;
  out.set_deployment(message.SerializeAsString());
  return out;
}

core::Result<schema::DeploymentMessage> Unpack(
    const schema::PeerMessage& message) {
  schema::DeploymentMessage out;
  if (!message.has_deployment() || !out.ParseFromString(message.deployment())) {
    return core::Error{core::ErrorCode::kInvalidArgument,
                       "not a message about the deployment",
                       core::Execution::kUnknown,
                       {}};
  }
  return out;
}

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

DeploymentHost::DeploymentHost(HostOptions options, const core::Clock& clock,
                               core::Metrics& metrics,
                               peer::PeerTransport& peers)
    : options_(std::move(options)),
      clock_(clock),
      metrics_(metrics),
      peers_(peers),
      watches_(machine_, clock) {
  connect(&tick_, &QTimer::timeout, this, &DeploymentHost::Tick);
}

DeploymentHost::~DeploymentHost() {
  if (journal_) {
    journal_->Stop();
  }
}

core::Status DeploymentHost::Start() {
  const std::string& self = options_.self.instance();
  const bool founds =
      std::find(options_.founders.begin(), options_.founders.end(), self) !=
      options_.founders.end();
  storage::SegmentStoreOptions store_options;
  store_options.folder = options_.data_folder + "/deployment";
  store_options.first_incarnation = founds ? kFounderIncarnation : 0;
  auto store = storage::SegmentStore::Open(store_options, &files_);
  if (!core::IsOk(store)) {
    return core::ErrorOf(store);
  }
  store_ = core::TakeValue(std::move(store));
  consensus::GroupOptions group_options;
  group_options.replica.id.instance = self;
  group_options.replica.seed = options_.seed;
  group_options.replica.election_timeout = kElectionTimeout;
  group_options.replica.heartbeat_interval = kHeartbeat;
  group_options.replica.lease_reads = false;
  group_options.replica.announce_commits = false;
  group_options.replica.lazy_interval = kLazyInterval;
  group_options.snapshot_entries = kSnapshotEntries;
  if (founds) {
    for (const std::string& it : options_.founders) {
      group_options.replica.initial_members.push_back(
          {{it, kFounderIncarnation}, true, true});
    }
  }
  auto group = consensus::Group<control::DeploymentState>::Open(
      std::move(group_options), store_.get(), &machine_, Now());
  if (!core::IsOk(group)) {
    return core::ErrorOf(group);
  }
  group_ = core::TakeValue(std::move(group));
  journal_ = std::make_unique<storage::JournalThread>(
      [this](storage::JournalWritten written) {
        QMetaObject::invokeMethod(
            this, [this, written = std::move(written)] { OnWritten(written); },
            Qt::QueuedConnection);
      });
  AddSeeds(options_.seeds);
  for (const auto& [id, record] : machine_.instances()) {
    Dial(id, record.peer_address());
  }
  last_command_ = Now();
  Log(LogLevel::kInfo, "replica started",
      {{"incarnation", std::to_string(store_->incarnation())},
       {"founds", founds ? "true" : "false"},
       {"configuration", std::to_string(machine_.configuration().version())}});
  tick_.start(kTick);
  Flush();
  return std::monostate{};
}

void DeploymentHost::UpdateGauges() const {
  if (!group_) {
    return;
  }
  const auto set = [this](const char* name, auto value) {
    metrics_.Gauge(name, static_cast<double>(value));
  };
  const auto contact = group_->replica().LastContact();
  set("is_leader", is_leader() ? 1 : 0);
  set("term", group_->replica().term());
  set("voters", voter_count());
  set("members", group_->replica().membership().members().size());
  // -1 before the first contact.
  set("leader_contact_age_ms",
      contact ? std::chrono::duration_cast<std::chrono::milliseconds>(Now() -
                                                                      *contact)
                    .count()
              : -1);
  set("applied_index", group_->applied_index());
  set("configuration_version", machine_.configuration().version());
  set("upstreams_known", machine_.upstreams().size());
  set("upstream_revision", machine_.upstream_revision());
  set("instances_known", machine_.instances().size());
  set("programs_known", machine_.program_count());
  set("watchers", watches_.size());
}

void DeploymentHost::AddSeeds(const std::vector<std::string>& seeds) {
  for (const std::string& address : seeds) {
    Dial(HostOf(address), address);
  }
}

void DeploymentHost::Dial(const std::string& instance,
                          const std::string& address) {
  if (instance == options_.self.instance() || address.empty()) {
    return;
  }
  std::string& known = dialled_[instance];
  if (known == address) {
    return;
  }
  known = address;
  peers_.SetPeer(core::InstanceId(instance), address);
}

void DeploymentHost::Tick() {
  const core::TimePoint now = Now();
  group_->Tick(now);
  if (now >= next_announce_) {
    next_announce_ = now + kAnnounceInterval;
    Announce();
  }
  if (is_leader()) {
    PlanStep();
    RecordInstances();
    ForgetSilent();
  } else {
    ReportHeard();
  }
  Flush();
  UpdateWatches();
}

void DeploymentHost::UpdateWatches() {
  if (IsCurrent()) {
    watches_.Update(group_->replica().leader().instance);
  } else if (!watches_.empty()) {
    Log(LogLevel::kWarn, "lost contact to a leader",
        {{"watchers", std::to_string(watches_.size())}});
    watches_.End(Unavailable("no contact to a leader"));
  }
}

void DeploymentHost::Flush() {
  const core::TimePoint now = Now();
  for (schema::ConsensusMessage& message : group_->TakeOutbox(now)) {
    const std::string& to = message.to().instance();
    if (!dialled_.contains(to)) {
      const auto it = machine_.instances().find(to);
      if (it != machine_.instances().end()) {
        Dial(to, it->second.peer_address());
      }
    }
    schema::PeerMessage out;
    out.mutable_group()->set_group(kDeploymentGroup);
    message.SerializeToString(out.mutable_group()->mutable_payload());
    peers_.Send(core::InstanceId(to), std::move(out));
  }
  if (std::optional<storage::LogBatch> batch = group_->TakeBatch(now)) {
    sync_began_ = now;
    journal_->Write(kDeploymentGroup, *store_, std::move(*batch));
  }
  AfterApply();
}

void DeploymentHost::OnWritten(const storage::JournalWritten& written) {
  metrics_.Observe({kOwnWork, "journal", "sync"}, Now() - sync_began_);
  if (!core::IsOk(written.status)) {
    metrics_.Count("journal_errors");
    Log(LogLevel::kError, "the journal failed",
        {{"error", core::ErrorOf(written.status).message}});
  }
  group_->OnPersisted(written.sequence, written.status, Now());
  Flush();
}

void DeploymentHost::AfterApply() {
  const std::string leader = group_->replica().leader().instance;
  if (leader != known_leader_) {
    known_leader_ = leader;
    metrics_.Count("leader_changes");
    Log(LogLevel::kInfo, "leader changed",
        {{"leader", leader},
         {"term", std::to_string(group_->replica().term())}});
  }
  if (is_leader() != was_leader_) {
    was_leader_ = is_leader();
    last_command_ = Now();
    leader_since_ = Now();
    metrics_.Count("leaderships");
  }
  if (group_->applied_index() == seen_applied_) {
    return;
  }
  seen_applied_ = group_->applied_index();
  for (const auto& [id, record] : machine_.instances()) {
    Dial(id, record.peer_address());
  }
  UpdateWatches();
}

bool DeploymentHost::IsCurrent() const {
  if (!group_) {
    return false;
  }
  const auto contact = group_->replica().LastContact();
  return contact && Now() - *contact < kContactLimit;
}

std::string DeploymentHost::LeaderElsewhere() const {
  const std::string& leader = group_->replica().leader().instance;
  return leader == options_.self.instance() ? std::string() : leader;
}

void DeploymentHost::Announce() {
  schema::DeploymentMessage message;
  schema::InstanceAnnouncement* it = message.mutable_announcement();
  *it->mutable_instance() = options_.self;
  it->set_incarnation(store_->incarnation());
  it->set_joining(!group_->replica().membership().Find(group_->replica().id()));
  it->set_watchers(static_cast<uint32_t>(watches_.size()));
  if (is_leader()) {
    Announced& self = announced_[options_.self.instance()];
    self.announcement = *it;
    self.at = Now();
    watches_.SetTotal(CountWatchers());
    return;
  }
  std::string to = IsCurrent() ? LeaderElsewhere() : std::string();
  if (to.empty() && !dialled_.empty()) {
    auto target = dialled_.begin();
    std::advance(target,
                 static_cast<ptrdiff_t>(announce_cursor_++ % dialled_.size()));
    to = target->first;
  }
  if (to.empty()) {
    return;
  }
  peers_.Request(core::InstanceId(to), Pack(message), kPeerTimeout,
                 [guard = QPointer<DeploymentHost>(this)](
                     const core::Result<schema::PeerMessage>& reply) {
                   if (!guard || !core::IsOk(reply)) {
                     return;
                   }
                   const auto list = Unpack(core::Value(reply));
                   if (core::IsOk(list) && core::Value(list).has_instances()) {
                     guard->LearnInstances(core::Value(list).instances());
                   }
                 });
}

size_t DeploymentHost::CountWatchers() const {
  size_t total = watches_.size();
  for (const auto& [id, it] : announced_) {
    const bool counts =
        id != options_.self.instance() && it.at + kDeadAfter > Now();
    total += counts ? it.announcement.watchers() : 0;
  }
  return total;
}

void DeploymentHost::LearnInstances(const schema::InstanceList& list) {
  if (list.watchers() > 0) {
    watches_.SetTotal(list.watchers());
  }
  for (const schema::InstanceRecord& record : list.instances()) {
    Dial(record.instance(), record.peer_address());
  }
  if (IsCurrent() || list.leader().empty() ||
      list.leader() == options_.self.instance()) {
    return;
  }
  // Not a member yet: tell the leader itself.
  schema::DeploymentMessage message;
  schema::InstanceAnnouncement* it = message.mutable_announcement();
  *it->mutable_instance() = options_.self;
  it->set_incarnation(store_->incarnation());
  it->set_joining(true);
  peers_.Request(core::InstanceId(list.leader()), Pack(message), kPeerTimeout,
                 [](const core::Result<schema::PeerMessage>&) {});
}

void DeploymentHost::OnAnnouncement(
    const schema::InstanceAnnouncement& announcement,
    const peer::Replier& replier) {
  const std::string& id = announcement.instance().instance();
  Dial(id, announcement.instance().peer_address());
  Announced& known = announced_[id];
  known.announcement = announcement;
  known.at = Now();
  schema::DeploymentMessage reply;
  reply.mutable_instances()->set_leader(
      IsCurrent() ? group_->replica().leader().instance : std::string());
  if (is_leader()) {
    reply.mutable_instances()->set_watchers(
        static_cast<uint32_t>(CountWatchers()));
  }
  AppendInstances(machine_, reply.mutable_instances()->mutable_instances());
  replier.Reply(Pack(reply));
}

void DeploymentHost::OnGroupMessage(const schema::GroupMessage& message) {
  schema::ConsensusMessage parsed;
  if (!group_ || !parsed.ParseFromString(message.payload())) {
    return;
  }
  group_->Step(parsed, Now());
  Flush();
}

void DeploymentHost::OnMessage(const schema::DeploymentMessage& message,
                               const std::string& from,
                               const peer::Replier& replier) {
  if (!group_) {
    replier.Fail(Unavailable("the replica is not open yet"));
    return;
  }
  const auto fail_or = [replier](const auto& result, const auto& fill) {
    if (!core::IsOk(result)) {
      replier.Fail(core::ErrorOf(result));
      return;
    }
    schema::DeploymentMessage reply;
    fill(&reply, core::Value(result));
    replier.Reply(Pack(reply));
  };
  switch (message.body_case()) {
    case schema::DeploymentMessage::kAnnouncement:
      OnAnnouncement(message.announcement(), replier);
      return;
    case schema::DeploymentMessage::kWatch:
      if (!IsCurrent()) {
        replier.Fail(Unavailable("no contact to a leader"));
        return;
      }
      watches_.Add(message.watch(), from, replier,
                   group_->replica().leader().instance);
      return;
    case schema::DeploymentMessage::kPropose: {
      schema::DeploymentCommand command;
      if (!command.ParseFromString(message.propose())) {
        replier.Fail(Unavailable("the command is unreadable"));
        return;
      }
      ProposeHere(std::move(command),
                  [fail_or](const core::Result<schema::DeploymentReply>& it) {
                    fail_or(it, [](schema::DeploymentMessage* out,
                                   const schema::DeploymentReply& reply) {
                      *out->mutable_reply() = reply;
                    });
                  });
      return;
    }
    case schema::DeploymentMessage::kRead:
      ReadHere(
          [fail_or](const core::Result<schema::PublishedConfiguration>& it) {
            fail_or(it, [](schema::DeploymentMessage* out,
                           const schema::PublishedConfiguration& read) {
              *out->mutable_configuration() = read;
            });
          });
      return;
    case schema::DeploymentMessage::kRetirement:
      fail_or(RetirementHere(message.retirement().name()),
              [](schema::DeploymentMessage* out,
                 const schema::RetirementState& state) {
                *out->mutable_retirement_state() = state;
              });
      return;
    case schema::DeploymentMessage::kHeard:
      for (const std::string& upstream : message.heard().upstreams()) {
        heard_[upstream] = Now();
      }
      return;
    default:
      replier.Fail(Unavailable("the message is not known"));
  }
}

void DeploymentHost::ProposeHere(schema::DeploymentCommand command,
                                 ProposeCallback callback) {
  const core::TimePoint now = Now();
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - last_command_);
  if (is_leader()) {
    command.set_elapsed_ms(elapsed.count());
    last_command_ = now;
  }
  group_->Propose(
      command.SerializeAsString(),
      [this, callback = std::move(callback), now, kind = KindOf(command),
       claim = ClaimOf(command)](const core::Result<std::string>& it) {
        core::Result<schema::DeploymentReply> result{schema::DeploymentReply()};
        if (core::IsOk(it)) {
          std::get<schema::DeploymentReply>(result).ParseFromString(
              core::Value(it));
          metrics_.Observe({kOwnWork, kind, "commit"}, Now() - now);
        } else {
          result = core::ErrorOf(it);
          metrics_.Count("commands_failed");
        }
        if (claim) {
          LogClaim(*claim, result);
        }
        callback(result);
      },
      now);
  // Commands of one turn of the event loop share a batch.
  if (!std::exchange(flush_scheduled_, true)) {
    QMetaObject::invokeMethod(
        this,
        [this] {
          flush_scheduled_ = false;
          Flush();
        },
        Qt::QueuedConnection);
  }
}

void DeploymentHost::AskLeader(
    const schema::DeploymentMessage& message, std::chrono::milliseconds timeout,
    std::function<void(const core::Result<schema::DeploymentMessage>&)>
        callback) {
  const std::string leader = LeaderElsewhere();
  if (leader.empty() || !IsCurrent()) {
    callback(Unavailable("no leader is known"));
    return;
  }
  peers_.Request(core::InstanceId(leader), Pack(message), timeout,
                 [callback = std::move(callback)](
                     const core::Result<schema::PeerMessage>& reply) {
                   if (!core::IsOk(reply)) {
                     callback(core::ErrorOf(reply));
                     return;
                   }
                   callback(Unpack(core::Value(reply)));
                 });
}

void DeploymentHost::Propose(schema::DeploymentCommand command,
                             ProposeCallback callback) {
  if (!group_) {
    callback(Unavailable("the replica is not open yet"));
    return;
  }
  if (is_leader()) {
    ProposeHere(std::move(command), std::move(callback));
    return;
  }
  schema::DeploymentMessage message;
  command.SerializeToString(message.mutable_propose());
  AskLeader(message, kProposeTimeout,
            TakeField(std::move(callback), &schema::DeploymentMessage::reply));
}

void DeploymentHost::ReadHere(ReadCallback callback) {
  group_->Read(
      [this, callback = std::move(callback)](const core::Status& status) {
        if (!core::IsOk(status)) {
          callback(core::ErrorOf(status));
          return;
        }
        callback(machine_.configuration());
      },
      Now());
  Flush();
}

void DeploymentHost::ReadConfiguration(ReadCallback callback) {
  if (!group_) {
    callback(Unavailable("the replica is not open yet"));
    return;
  }
  if (is_leader()) {
    ReadHere(std::move(callback));
    return;
  }
  schema::DeploymentMessage message;
  message.mutable_read();
  AskLeader(message, kProposeTimeout,
            TakeField(std::move(callback),
                      &schema::DeploymentMessage::configuration));
}

core::Result<schema::RetirementState> DeploymentHost::RetirementHere(
    const std::string& name) const {
  if (!is_leader() || !IsCurrent()) {
    return Unavailable("this instance does not lead");
  }
  schema::RetirementState state;
  const schema::InstanceRecord* record = machine_.FindByName(name);
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
  state.set_completed(record->retiring() && replica.membership_committed() &&
                      membership.FindInstance(record->instance()) == nullptr &&
                      ready >= kLeastInstances);
  return state;
}

void DeploymentHost::ReadRetirement(const std::string& name,
                                    RetirementCallback callback) {
  if (!group_) {
    callback(Unavailable("the replica is not open yet"));
    return;
  }
  if (is_leader()) {
    callback(RetirementHere(name));
    return;
  }
  schema::DeploymentMessage message;
  message.mutable_retirement()->set_name(name);
  AskLeader(message, kProposeTimeout,
            TakeField(std::move(callback),
                      &schema::DeploymentMessage::retirement_state));
}

GroupView DeploymentHost::View() const {
  const core::TimePoint now = Now();
  const consensus::Replica& replica = group_->replica();
  GroupView view;
  view.membership = replica.membership();
  view.self = replica.id();
  for (const auto& [id, it] : announced_) {
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

void DeploymentHost::PlanStep() {
  const consensus::Replica& replica = group_->replica();
  const core::TimePoint now = Now();
  if (!replica.membership_committed() || !replica.accepts_proposals() ||
      now < leader_since_ + kSettleTime) {
    return;
  }
  const PlannedStep step = PlanMembership(View());
  if (std::holds_alternative<HandOverLeadership>(step)) {
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
  for (auto& [id, it] : announced_) {
    const schema::InstanceRecord& said = it.announcement.instance();
    const auto held = machine_.instances().find(id);
    const bool same = held != machine_.instances().end() &&
                      held->second.name() == said.name() &&
                      held->second.peer_address() == said.peer_address() &&
                      held->second.control_address() == said.control_address();
    if (same || it.at + kDeadAfter <= Now() ||
        it.recorded_at + kAnnounceInterval > Now()) {
      continue;
    }
    it.recorded_at = Now();
    schema::DeploymentCommand command;
    *command.mutable_instance() = said;
    ProposeHere(std::move(command),
                [](const core::Result<schema::DeploymentReply>&) {});
  }
}

void DeploymentHost::OnUpstreamHeard(const std::string& upstream) {
  heard_[upstream] = Now();
}

void DeploymentHost::ForgetSilent() {
  const core::TimePoint now = Now();
  if (now < next_heard_report_) {
    return;
  }
  next_heard_report_ = now + kHeardReportInterval;
  for (const auto& [id, entry] : machine_.upstreams()) {
    if (entry.gone()) {
      continue;
    }
    const auto it = heard_.emplace(id, now).first;
    if (it->second + kUpstreamSilence > now) {
      continue;
    }
    schema::DeploymentCommand command;
    command.set_forget_upstream(id);
    Log(LogLevel::kWarn, "upstream silent", {{"upstream", id}});
    ProposeHere(std::move(command),
                [](const core::Result<schema::DeploymentReply>&) {});
  }
}

void DeploymentHost::ReportHeard() {
  const core::TimePoint now = Now();
  if (now < next_heard_report_ || heard_.empty() || !IsCurrent()) {
    return;
  }
  next_heard_report_ = now + kHeardReportInterval;
  schema::DeploymentMessage message;
  for (const auto& [upstream, at] : std::exchange(heard_, {})) {
    message.mutable_heard()->add_upstreams(upstream);
  }
  peers_.Send(core::InstanceId(LeaderElsewhere()), Pack(message));
}

void DeploymentHost::HandOver() {
  if (is_leader()) {
    group_->TransferLeadership("", Now());
    Flush();
  }
}

}  // namespace hawthorn::cluster

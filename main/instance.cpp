#include "main/instance.h"

#include <QJsonArray>
#include <algorithm>
#include <utility>

#include "logging/log.h"
#include "main/groups/ledger_query.h"
#include "main/http/json.h"
#include "main/http/operator_handlers.h"
#include "programs/program_id.h"

namespace hawthorn::main {

namespace {

/// Time after the drain timeout for the outcomes of the calls that it ended to
/// be recorded.
constexpr std::chrono::milliseconds kOutcomeTimeout{2000};

/// Adds this instance's zone and configuration revision to every outgoing
/// message.
class StampingPeerSink final : public PeerSink {
 public:
  using RevisionSource = std::function<uint64_t()>;

  StampingPeerSink(PeerSink& next, std::string zone, RevisionSource revision)
      : next_(next), zone_(std::move(zone)), revision_(std::move(revision)) {}

  void Send(const core::InstanceId& to, schema::PeerMessage message) override {
    Stamp(&message);
    next_.Send(to, std::move(message));
  }

  void Request(const core::InstanceId& to, schema::PeerMessage message,
               std::chrono::milliseconds timeout,
               ReplyHandler on_reply) override {
    Stamp(&message);
    next_.Request(to, std::move(message), timeout, std::move(on_reply));
  }

 private:
  void Stamp(schema::PeerMessage* message) {
    message->set_zone(zone_);
    message->set_revision(revision_());
  }

  PeerSink& next_;
  std::string zone_;
  RevisionSource revision_;
};

membership::MembershipSettings MembershipSettingsOf(
    const schema::Settings& settings, core::WallTime now, uint64_t seed) {
  membership::MembershipSettings result;
  result.self = {core::InstanceId(settings.instance()),
                 core::ZoneId(settings.zone())};
  for (const schema::PeerAddress& it : settings.instances()) {
    result.seeds.push_back(
        {core::InstanceId(it.instance()), core::ZoneId(it.zone())});
  }
  result.incarnation = static_cast<uint32_t>(
      std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count());
  result.gossip.seed = seed;
  if (settings.upstream_lease_ms() > 0) {
    result.upstreams.upstream_lease =
        std::chrono::milliseconds(settings.upstream_lease_ms());
  }
  return result;
}

std::vector<std::string> LedgerZones(const schema::Settings& settings) {
  std::vector<std::string> zones;
  for (const schema::PeerAddress& it : settings.instances()) {
    zones.push_back(it.zone());
  }
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  return zones;
}

}  // namespace

Instance::Instance(Parts parts, const schema::Settings& settings)
    : parts_(std::move(parts)), settings_(settings) {}

core::Result<std::unique_ptr<Instance>> Instance::Open(
    Parts parts, const schema::Settings& settings, const Secrets& secrets,
    const schema::Configuration& first_configuration,
    const StoreFactory& open_store) {
  std::unique_ptr<Instance> self(new Instance(parts, settings));
  for (const std::string& zone : LedgerZones(settings)) {
    // Program ids contain the name of their home zone, so it must be valid
    // there.
    const auto id = programs::ParseProgramId(zone + ".1.00000000");
    if (!core::IsOk(id)) {
      return NotRun(
          core::ErrorCode::kInvalidArgument,
          "zone \"" + zone + "\": only letters, digits and \"-\" are allowed");
    }
  }
  const core::TimePoint now = parts.clock.Now();
  self->membership_ = std::make_unique<membership::Membership>(
      MembershipSettingsOf(settings, parts.clock.WallNow(), parts.random()),
      now);
  Instance* raw = self.get();
  self->stamped_peers_ = std::make_unique<StampingPeerSink>(
      parts.peers, settings.zone(),
      [raw] { return raw->node_->catalog()->revision(); });
  self->groups_ = std::make_unique<ReplicatedGroups>(
      ReplicatedGroups::Parts{parts.clock, *self->stamped_peers_, parts.journal,
                              self->timers_, settings.instance()});
  const std::string run = RunName(settings.instance(),
                                  self->membership_->instances().incarnation());
  self->node_ = std::make_unique<Node>(
      Node::Parts{parts.clock, parts.metrics, *self->groups_, parts.http,
                  parts.upstreams, self->timers_,
                  self->membership_->upstreams(), parts.random},
      settings, secrets, run);
  self->ledger_maintenance_ = std::make_unique<LedgerMaintenance>(
      LedgerMaintenance::Parts{parts.clock, parts.metrics, *self->groups_,
                               self->membership_->instances(), run});
  const core::Status status = self->OpenGroups(open_store);
  if (!core::IsOk(status)) {
    return core::ErrorOf(status);
  }
  self->configuration_ = std::make_unique<ConfigurationSynchronizer>(
      ConfigurationSynchronizer::Parts{
          parts.clock, *self->groups_, *self->stamped_peers_, *self->node_,
          self->membership_->instances(), parts.random},
      self->control_, first_configuration);
  self->RegisterOperatorHandlers();
  return self;
}

std::vector<std::string> Instance::VotersOf(const std::string& group) const {
  std::vector<std::string> voters;
  for (const schema::PeerAddress& it : settings_.instances()) {
    const auto& zones = it.ledger_zones();
    const bool votes = group == kControlGroup
                           ? it.control_voter()
                           : std::any_of(zones.begin(), zones.end(),
                                         [&group](const std::string& zone) {
                                           return LedgerGroup(zone) == group;
                                         });
    if (votes) {
      voters.push_back(it.instance());
    }
  }
  return voters;
}

core::Status Instance::OpenGroups(const StoreFactory& open_store) {
  std::vector<std::string> names = {kControlGroup};
  for (const std::string& zone : LedgerZones(settings_)) {
    names.push_back(LedgerGroup(zone));
  }
  for (const std::string& name : names) {
    const std::vector<std::string> voters = VotersOf(name);
    groups_->SetHosts(name, voters);
    const bool mine = std::find(voters.begin(), voters.end(),
                                settings_.instance()) != voters.end();
    if (!mine) {
      continue;
    }
    core::Status status = OpenGroup(name, voters, open_store);
    if (!core::IsOk(status)) {
      return status;
    }
  }
  return std::monostate();
}

consensus::GroupOptions Instance::OptionsFor(
    const std::string& name, const std::vector<std::string>& voters) const {
  consensus::GroupOptions options;
  options.replica.id.instance = settings_.instance();
  options.replica.instances = voters;
  options.replica.seed = parts_.random();
  const bool any_disk = std::any_of(
      settings_.instances().begin(), settings_.instances().end(),
      [&voters](const schema::PeerAddress& it) {
        return it.has_disk() && std::find(voters.begin(), voters.end(),
                                          it.instance()) != voters.end();
      });
  options.replica.require_durable_copy = name != kControlGroup && any_disk;
  return options;
}

core::Status Instance::OpenGroup(const std::string& name,
                                 const std::vector<std::string>& voters,
                                 const StoreFactory& open_store) {
  auto store = open_store(name);
  if (!core::IsOk(store)) {
    return core::ErrorOf(store);
  }
  const consensus::GroupOptions options = OptionsFor(name, voters);
  const core::TimePoint now = parts_.clock.Now();
  if (name == kControlGroup) {
    auto hosted = HostedGroupOf<control::ControlState>::Open(
        options, core::TakeValue(std::move(store)), EvaluateControlQuery, now);
    if (!core::IsOk(hosted)) {
      return core::ErrorOf(hosted);
    }
    auto group = core::TakeValue(std::move(hosted));
    control_ = group.get();
    groups_->AddReplica(name, group.get());
    hosted_.push_back(std::move(group));
    return std::monostate();
  }
  auto hosted = HostedGroupOf<programs::Ledger>::Open(
      options, core::TakeValue(std::move(store)), EvaluateLedgerQuery, now);
  if (!core::IsOk(hosted)) {
    return core::ErrorOf(hosted);
  }
  auto group = core::TakeValue(std::move(hosted));
  ledger_maintenance_->Add(name, group.get());
  groups_->AddReplica(name, group.get());
  hosted_.push_back(std::move(group));
  return std::monostate();
}

void Instance::Handle(Event event) {
  if (std::holds_alternative<PeerArrived>(event)) {
    OnPeer(std::get<PeerArrived>(event));
  } else if (std::holds_alternative<PeerReplied>(event)) {
    const auto& replied = std::get<PeerReplied>(event);
    replied.handler(replied.result);
  } else if (std::holds_alternative<JournalWritten>(event)) {
    const auto& written = std::get<JournalWritten>(event);
    groups_->OnJournalWritten(written.group, written.sequence, written.status);
  } else {
    if (std::holds_alternative<DrainRequested>(event)) {
      membership_->instances().SetDraining(true);
    }
    node_->Handle(std::move(event));
  }
  groups_->Flush();
}

void Instance::OnPeer(PeerArrived& arrived) {
  const schema::PeerMessage& message = arrived.message;
  const core::InstanceId from(message.from());
  const auto reply = [this, &arrived](schema::PeerMessage reply_message) {
    reply_message.set_revision(node_->catalog()->revision());
    if (arrived.reply) {
      arrived.reply(std::move(reply_message));
    }
  };
  configuration_->OnPeerRevision(from, message.revision());
  if (message.has_gossip()) {
    SendGossip(membership_->Receive(from, message.revision(), message.gossip(),
                                    parts_.clock.Now()));
    return;
  }
  if (message.has_pull()) {
    reply(configuration_->MakePullReply());
    return;
  }
  groups_->OnPeerMessage(message, [this, reply = arrived.reply](
                                      schema::PeerMessage reply_message) {
    reply_message.set_revision(node_->catalog()->revision());
    if (reply) {
      reply(std::move(reply_message));
    }
  });
}

void Instance::SendGossip(std::vector<membership::OutgoingGossip> messages) {
  for (membership::OutgoingGossip& it : messages) {
    schema::PeerMessage message;
    *message.mutable_gossip() = std::move(it.gossip);
    stamped_peers_->Send(it.to, std::move(message));
  }
}

void Instance::Tick() {
  const core::TimePoint now = parts_.clock.Now();
  SendGossip(membership_->Tick(now));
  membership_->instances().TakeEvents();
  groups_->Tick();
  configuration_->Tick();
  ledger_maintenance_->Tick();
  const auto peers =
      membership_->instances().PeersIn(core::ZoneId(settings_.zone()));
  node_->SetInstanceCount(peers.size() + 1);
  node_->Tick();
  if (node_->draining()) {
    TickDrain();
  }
  groups_->Flush();
}

void Instance::TickDrain() {
  const core::TimePoint now = parts_.clock.Now();
  if (!drain_started_) {
    drain_started_ = now;
  }
  const auto elapsed = now - *drain_started_;
  const std::chrono::milliseconds limit(settings_.limits().drain_timeout_ms());
  if (elapsed < limit) {
    finished_ = node_->Drained() && groups_->TransferLeadership();
    return;
  }
  if (!std::exchange(drain_timed_out_, true)) {
    logging::Log(logging::LogLevel::kWarn, "drain timeout",
                 {{"open_calls", std::to_string(node_->open_calls())}});
    node_->EndCalls();
  }
  if (elapsed < limit + kOutcomeTimeout) {
    finished_ = node_->Drained() && groups_->TransferLeadership();
    return;
  }
  node_->RefuseCalls();
  finished_ = true;
}

void Instance::AllowLinkCuts(
    const std::function<void(std::set<core::InstanceId>)>& cut) {
  node_->RegisterOperatorHandler(
      "links/cut", [cut](const transport::HttpRequest& request,
                         const OperatorApi::HandlerReply& reply) {
        const auto body = ParseObject(request.body);
        if (!core::IsOk(body)) {
          reply(core::ErrorOf(body));
          return;
        }
        std::set<core::InstanceId> peers;
        const QJsonArray names = core::Value(body)["peers"].toArray();
        for (const auto& it : names) {
          peers.insert(core::InstanceId(it.toString().toStdString()));
        }
        cut(peers);
        reply(QJsonObject{{"cut", names}});
      });
}

void Instance::RegisterOperatorHandlers() {
  RegisterGroupHandlers(*node_, *groups_, *membership_, settings_, parts_.clock,
                        parts_.random);
}

}  // namespace hawthorn::main

#include "cluster/deployment_host.h"

#include <algorithm>
#include <utility>

#include "cluster/errors.h"
#include "cluster/state_position.h"
#include "logging/log.h"

namespace hawthorn::cluster {

namespace {

using logging::Log;
using logging::LogLevel;

/// Timeouts of the group, chosen to replace a lost leader within a second.
/// Round trips within a region take up to 3 ms, and a sync 2 ms.
constexpr std::chrono::milliseconds kElectionTimeout{350};
constexpr std::chrono::milliseconds kHeartbeatInterval{90};
/// Delays entries to save messages, each of which has a cost. Well below the
/// keep-alive interval of watches of 250 ms, so that updates are not late.
constexpr std::chrono::milliseconds kLazyInterval{30};
constexpr uint64_t kSnapshotEntries = 4000;
/// Delay of the event loop that is reported: half of the time after which
/// followers elect another leader.
constexpr std::chrono::milliseconds kLoopDelayLimit = kElectionTimeout / 2;
constexpr std::chrono::milliseconds kContactReportInterval{5000};
/// Time after a failed write before the journal tries again.
constexpr std::chrono::milliseconds kJournalRetryDelay{100};

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
                               core::Metrics& metrics, peer::Transport& peers)
    : options_(std::move(options)),
      clock_(clock),
      metrics_(metrics),
      peers_(peers),
      watches_(machine_, clock),
      quota_(metrics) {
  quota_.SetDecoder(options_.limit_decoder);
  connect(&tick_, &QTimer::timeout, this, &DeploymentHost::Tick);
}

DeploymentHost::~DeploymentHost() {
  // Its thread calls this object.
  journal_.reset();
}

core::Status DeploymentHost::Start() {
  const std::string& self = options_.self.instance();
  const bool bootstraps = std::find(options_.initial_members.begin(),
                                    options_.initial_members.end(),
                                    self) != options_.initial_members.end();
  storage::SegmentStoreOptions store_options;
  store_options.folder = options_.data_folder + "/deployment";
  store_options.first_incarnation = bootstraps ? kInitialMemberIncarnation : 0;
  auto store = storage::SegmentStore::Open(
      store_options, options_.files == nullptr ? &files_ : options_.files);
  if (!core::IsOk(store)) {
    return core::ErrorOf(store);
  }
  store_ = core::TakeValue(std::move(store));
  consensus::GroupOptions group_options;
  group_options.replica.id.instance = self;
  group_options.replica.seed = options_.seed;
  group_options.replica.election_timeout = kElectionTimeout;
  group_options.replica.heartbeat_interval = kHeartbeatInterval;
  group_options.replica.lease_reads = false;
  group_options.replica.announce_commits = false;
  group_options.replica.lazy_interval = kLazyInterval;
  group_options.snapshot_entries = kSnapshotEntries;
  if (bootstraps) {
    for (const std::string& it : options_.initial_members) {
      group_options.replica.initial_members.push_back(
          {{it, kInitialMemberIncarnation}, true, true});
    }
  }
  auto group = consensus::Group<control::DeploymentState>::Open(
      std::move(group_options), store_.get(), &machine_, Now());
  if (!core::IsOk(group)) {
    return core::ErrorOf(group);
  }
  group_ = core::TakeValue(std::move(group));
  const auto on_written = [this](storage::JournalWritten written) {
    QMetaObject::invokeMethod(
        this, [this, written = std::move(written)] { OnWritten(written); },
        Qt::QueuedConnection);
  };
  journal_ = options_.journal
                 ? options_.journal(on_written)
                 : std::make_unique<storage::JournalThread>(on_written);
  AddSeeds(options_.seeds);
  LearnStoredAddresses();
  last_command_ = Now();
  Log(LogLevel::kInfo, "replica started",
      {{"incarnation", std::to_string(store_->incarnation())},
       {"founds", bootstraps ? "true" : "false"},
       {"configuration", std::to_string(machine_.configuration().version())}});
  tick_.start(kTickInterval);
  Flush();
  return std::monostate{};
}

void DeploymentHost::UpdateGauges() const {
  if (!group_) {
    return;
  }
  const auto set = [this](const char* name, auto value) {
    metrics_.SetGauge(name, static_cast<double>(value));
  };
  const auto age_ms = [this](const std::optional<core::TimePoint>& time) {
    return time ? core::MillisecondsBetween(*time, Now()).count() : -1;
  };
  set("is_leader", is_leader() ? 1 : 0);
  set("term", group_->replica().term());
  set("voters", voter_count());
  set("members", group_->replica().membership().members().size());
  // These are -1 before the first contact.
  set("leader_contact_age_ms", age_ms(group_->replica().LastContact()));
  set("state_age_ms", age_ms(group_->replica().CurrentAsOf()));
  set("applied_index", group_->applied_index());
  set("leader_commit_index", group_->replica().leader_commit_index());
  set("configuration_version", machine_.configuration().version());
  set("upstreams_known", machine_.upstreams().size());
  set("upstream_revision", machine_.upstream_revision());
  set("instances_known", machine_.instances().size());
  set("programs_known", machine_.program_count());
  set("program_bytes", machine_.program_bytes());
  set("program_bytes_limit", ProgramLimit());
  set("snapshots_taken", group_->snapshot_count());
  set("snapshot_bytes", group_->snapshot_bytes());
  set("log_entries", group_->replica().log_entries());
  set("log_bytes", group_->bytes_since_snapshot());
  set("watchers", watches_.size());
  set("watches_added", watches_.added_count());
  set("watch_tables_sent", watches_.table_count());
  set("watch_bytes_sent", watches_.sent_bytes());
  quota_.UpdateGauges();
  set("upstream_contacts", upstream_contacts_.size());
}

void DeploymentHost::AddSeeds(const std::vector<std::string>& seeds) {
  for (const std::string& address : seeds) {
    SetPeerAddress(HostOf(address), address);
  }
}

void DeploymentHost::SetPeerAddress(const std::string& instance,
                                    const std::string& address) {
  if (instance == options_.self.instance() || address.empty()) {
    return;
  }
  std::string& known = peer_addresses_[instance];
  if (known == address) {
    return;
  }
  known = address;
  peers_.SetPeer(core::InstanceId(instance), address);
}

void DeploymentHost::Tick() {
  const core::TimePoint now = Now();
  CheckLoopDelay(now);
  ReportLoad(now);
  group_->Tick(now);
  if (now >= next_announce_) {
    next_announce_ = now + kAnnounceInterval;
    Announce();
  }
  if (is_leader()) {
    PlanStep();
    RecordInstances();
    RemoveExpiredUpstreams();
  } else {
    ReportUpstreamContacts();
  }
  Flush();
  UpdateWatches();
  PassOnSpeeds();
  UpdateQuota();
  barrier_.Update(group_->replica().CurrentAsOf(), Now());
}

void DeploymentHost::CheckLoopDelay(core::TimePoint now) {
  const auto previous = std::exchange(last_tick_, now);
  if (previous != core::TimePoint()) {
    load_report_.OnLoopDelay(now - previous);
  }
  if (previous == core::TimePoint() ||
      now - previous < kTickInterval + kLoopDelayLimit) {
    return;
  }
  metrics_.Count("event_loop_delays");
  const auto delay = core::MillisecondsBetween(previous, now) - kTickInterval;
  Log(LogLevel::kWarn, "event loop delayed",
      {{"delay_ms", std::to_string(delay.count())},
       {"leads", is_leader() ? "true" : "false"},
       {"snapshots", std::to_string(group_->snapshot_count())},
       {"watchers", std::to_string(watches_.size())}});
}

void DeploymentHost::ReportLoad(core::TimePoint now) {
  if (!load_report_.IsDue(now)) {
    return;
  }
  const consensus::Replica& replica = group_->replica();
  load_report_.Write(
      {machine_.counts(), peers_.counters(), watches_.added_count(),
       watches_.table_count(), commands_.abandoned(), commands_.refused(),
       replica.last_index() - replica.commit_index(), watches_.size(),
       is_leader()},
      now);
}

void DeploymentHost::UpdateQuota() {
  const consensus::Replica& replica = group_->replica();
  // The limits of a leader that has not committed in its term may be those of
  // an earlier configuration.
  const auto contact =
      replica.KnowsCommits() ? replica.LastContact() : std::nullopt;
  quota_.Update({is_leader(), replica.term(), contact},
                machine_.configuration(), Now());
}

void DeploymentHost::UpdateWatches() {
  if (IsCurrent()) {
    watches_.Update(MakeWatchSource());
  } else if (!watches_.empty()) {
    const bool contact = HasLeaderContact();
    Log(LogLevel::kWarn,
        contact ? "behind the leader" : "lost contact to a leader",
        {{"watchers", std::to_string(watches_.size())},
         {"applied", std::to_string(group_->applied_index())},
         {"committed",
          std::to_string(group_->replica().leader_commit_index())}});
    watches_.End(
        Unavailable(contact ? "behind the leader" : "no contact to a leader"));
  }
}

WatchSource DeploymentHost::MakeWatchSource() const {
  const consensus::LogPosition& applied = group_->applied_position();
  WatchSource source;
  source.leader = group_->replica().leader().instance;
  source.position.set_index(applied.index);
  source.position.set_term(applied.term);
  return source;
}

void DeploymentHost::OnWatch(const schema::WatchRequest& request,
                             const std::string& from,
                             const peer::Replier& replier) {
  if (!IsCurrent()) {
    replier.Fail(Unavailable(HasLeaderContact() ? "behind the leader"
                                                : "no contact to a leader"));
    return;
  }
  const WatchSource source = MakeWatchSource();
  if (Precedes(source.position, request.position())) {
    replier.Fail({core::ErrorCode::kConflict, "behind the watcher",
                  core::Execution::kNotRun, std::nullopt});
    return;
  }
  watches_.Add(request, from, replier, source);
}

void DeploymentHost::Flush() {
  const core::TimePoint now = Now();
  for (schema::ConsensusMessage& message : group_->TakeOutbox(now)) {
    const std::string& to = message.to().instance();
    if (!peer_addresses_.contains(to)) {
      const auto it = machine_.instances().find(to);
      if (it != machine_.instances().end()) {
        SetPeerAddress(to, it->second.peer_address());
      }
    }
    schema::PeerMessage out;
    out.mutable_group()->set_group(kDeploymentGroup);
    message.SerializeToString(out.mutable_group()->mutable_payload());
    peers_.Send(core::InstanceId(to), std::move(out));
  }
  if (now >= next_write_) {
    if (std::optional<storage::LogBatch> batch = group_->TakeBatch(now)) {
      sync_started_at_ = now;
      journal_->Write(kDeploymentGroup, *store_, std::move(*batch));
    }
  }
  AfterApply();
}

void DeploymentHost::OnWritten(const storage::JournalWritten& written) {
  metrics_.Observe({detail::kDeploymentWork, "journal", "sync"},
                   Now() - sync_started_at_);
  if (!core::IsOk(written.status)) {
    next_write_ = Now() + kJournalRetryDelay;
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
  if (group_->applied_index() == last_applied_index_) {
    return;
  }
  last_applied_index_ = group_->applied_index();
  if (group_->snapshot_count() != last_snapshot_count_) {
    last_snapshot_count_ = group_->snapshot_count();
    Log(LogLevel::kInfo, "snapshot taken",
        {{"index", std::to_string(last_applied_index_)},
         {"programs", std::to_string(machine_.program_count())},
         {"bytes", std::to_string(group_->snapshot_bytes())}});
  }
  if (group_->install_count() != last_install_count_) {
    // What the snapshot leaves out was removed, which no later change tells.
    last_install_count_ = group_->install_count();
    watches_.ResendTables();
  }
  for (const auto& [id, record] : machine_.instances()) {
    SetPeerAddress(id, record.peer_address());
  }
  UpdateWatches();
}

bool DeploymentHost::IsCurrent() const {
  if (!group_) {
    return false;
  }
  const auto known_at = group_->replica().CurrentAsOf();
  return known_at && Now() - *known_at < kStateAgeLimit;
}

void DeploymentHost::WaitUntilCurrent(StateBarrier::Callback callback) {
  barrier_.Add(Now(), std::move(callback));
}

bool DeploymentHost::HasLeaderContact() const {
  if (!group_) {
    return false;
  }
  const auto contact = group_->replica().LastContact();
  return contact && Now() - *contact < kContactLimit;
}

std::string DeploymentHost::RemoteLeader() const {
  const std::string& leader = group_->replica().leader().instance;
  return leader == options_.self.instance() ? std::string() : leader;
}

std::string DeploymentHost::LeaderInContact() const {
  if (HasLeaderContact()) {
    return RemoteLeader();
  }
  return Now() - announced_leader_at_ < kStateAgeLimit ? announced_leader_
                                                       : std::string();
}

void DeploymentHost::OnGroupMessage(const schema::GroupMessage& message) {
  schema::ConsensusMessage parsed;
  if (!group_ || !parsed.ParseFromString(message.payload())) {
    return;
  }
  group_->Step(parsed, Now());
  Flush();
}

void DeploymentHost::OnUpstreamContact(const std::string& upstream) {
  upstream_contacts_[upstream] = Now();
}

void DeploymentHost::RemoveExpiredUpstreams() {
  const core::TimePoint now = Now();
  if (now < next_contact_report_) {
    return;
  }
  next_contact_report_ = now + kContactReportInterval;
  for (const auto& [id, entry] : machine_.upstreams()) {
    if (entry.gone()) {
      continue;
    }
    const auto it = upstream_contacts_.emplace(id, now).first;
    if (it->second + kUpstreamTimeout > now) {
      continue;
    }
    schema::DeploymentCommand command;
    command.set_forget_upstream(id);
    Log(LogLevel::kWarn, "upstream expired", {{"upstream", id}});
    ProposeLocally(std::move(command),
                   [](const core::Result<schema::DeploymentReply>&) {});
  }
  std::erase_if(upstream_contacts_, [this](const auto& it) {
    const auto entry = machine_.upstreams().find(it.first);
    return entry == machine_.upstreams().end() || entry->second.gone();
  });
}

void DeploymentHost::ReportUpstreamContacts() {
  const core::TimePoint now = Now();
  if (now < next_contact_report_ || upstream_contacts_.empty() ||
      !HasLeaderContact()) {
    return;
  }
  next_contact_report_ = now + kContactReportInterval;
  schema::DeploymentMessage message;
  for (const auto& [upstream, at] : std::exchange(upstream_contacts_, {})) {
    message.mutable_heard()->add_upstreams(upstream);
  }
  peers_.Send(core::InstanceId(RemoteLeader()), Pack(message));
}

void DeploymentHost::TransferLeadership() {
  if (is_leader()) {
    group_->TransferLeadership("", Now());
    Flush();
  }
}

}  // namespace hawthorn::cluster

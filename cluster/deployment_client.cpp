#include "cluster/deployment_client.h"

#include <QPointer>
#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/command_log.h"
#include "cluster/deployment_host.h"
#include "cluster/errors.h"
#include "cluster/state_position.h"
#include "logging/log.h"

namespace hawthorn::cluster {

namespace {

using logging::Log;
using logging::LogLevel;

/// Whether a command can never succeed, however often it is sent.
bool IsRefusedForGood(const core::Result<schema::PeerMessage>& reply) {
  return !core::IsOk(reply) &&
         core::ErrorOf(reply).code == core::ErrorCode::kInvalidArgument;
}

/// Returns `time` doubled some times, at most `most`.
std::chrono::milliseconds Doubled(std::chrono::milliseconds time, size_t times,
                                  std::chrono::milliseconds most) {
  constexpr size_t kMostTimes = 16;
  return std::min(time * (1U << std::min(times, kMostTimes)), most);
}

}  // namespace

DeploymentClient::DeploymentClient(const std::vector<std::string>& seeds,
                                   uint64_t seed, const core::Clock& clock,
                                   core::Metrics& metrics,
                                   peer::Transport& peers,
                                   UpdateHandler on_update)
    : seed_(seed),
      clock_(clock),
      metrics_(metrics),
      peers_(peers),
      on_update_(std::move(on_update)) {
  source_cursor_ = seed_;
  AddSeeds(seeds);
  retry_.setSingleShot(true);
  connect(&retry_, &QTimer::timeout, this, &DeploymentClient::Watch);
  first_update_.setSingleShot(true);
  connect(&first_update_, &QTimer::timeout, this,
          &DeploymentClient::OnFirstUpdateTimeout);
  unreadable_retry_.setSingleShot(true);
  connect(&unreadable_retry_, &QTimer::timeout, this,
          &DeploymentClient::OnUnreadableRetry);
  settle_timer_.setSingleShot(true);
  connect(&settle_timer_, &QTimer::timeout, this,
          &DeploymentClient::SendSettlements);
}

DeploymentClient::~DeploymentClient() { peers_.CancelStream(watch_); }

void DeploymentClient::AddSeeds(const std::vector<std::string>& seeds) {
  for (const std::string& address : seeds) {
    UpdateInstance(HostOf(address), address, true);
  }
}

void DeploymentClient::UpdateInstance(const std::string& instance,
                                      const std::string& address,
                                      bool serves_control) {
  if (address.empty()) {
    return;
  }
  std::string& known = peer_addresses_[instance];
  if (known != address) {
    known = address;
    peers_.SetPeer(core::InstanceId(instance), address);
  }
  if (serves_control) {
    sources_.try_emplace(instance);
  }
}

void DeploymentClient::Start() { Watch(); }

bool DeploymentClient::HadContactWithin(std::chrono::milliseconds time) const {
  return last_update_ != core::TimePoint() &&
         clock_.Now() - last_update_ < time;
}

bool DeploymentClient::IsIsolated() const {
  return last_update_ != core::TimePoint() &&
         clock_.Now() - last_update_ > kIsolatedAfter;
}

void DeploymentClient::UpdateGauges() const {
  metrics_.SetGauge("reports_open", static_cast<double>(open_reports_));
  const auto age = core::MillisecondsBetween(last_update_, clock_.Now());
  const bool has_update = last_update_ != core::TimePoint();
  metrics_.SetGauge("update_age_ms",
                    has_update ? static_cast<double>(age.count()) : -1);
  metrics_.SetGauge("watch_sources", static_cast<double>(sources_.size()));
  metrics_.SetGauge("watch_sources_failed",
                    static_cast<double>(std::count_if(
                        sources_.begin(), sources_.end(),
                        [](const auto& it) { return it.second.failed; })));
  metrics_.SetGauge("configuration_version_unreadable",
                    static_cast<double>(unreadable_version_));
  metrics_.SetGauge("open_claims", static_cast<double>(claims_.size()));
  metrics_.SetGauge("open_settlements",
                    static_cast<double>(settlements_.size()));
}

void DeploymentClient::SelectSource() {
  const auto at = [this](size_t n) {
    return std::next(sources_.begin(),
                     static_cast<ptrdiff_t>(n % sources_.size()));
  };
  size_t selected = source_cursor_;
  for (size_t n = 0; n < sources_.size(); ++n) {
    const auto it = at(source_cursor_ + n);
    if (!it->second.failed && it->first != source_) {
      selected = source_cursor_ + n;
      break;
    }
  }
  source_ = at(selected)->first;
  source_cursor_ = selected % sources_.size() + 1;
}

void DeploymentClient::Watch() {
  if (sources_.empty()) {
    retry_.start(kWatchRetryDelay);
    return;
  }
  SelectSource();
  schema::DeploymentMessage message;
  message.mutable_watch()->set_configuration_version(configuration_version_);
  *message.mutable_watch()->mutable_position() = position_;
  if (forwarder_) {
    *message.mutable_watch()->mutable_forwarder() = *forwarder_;
  }
  peer::StreamCallbacks callbacks;
  callbacks.on_chunk = [this](const schema::PeerMessage& event) {
    OnWatchEvent(event);
  };
  callbacks.on_end = [this](const core::Status& status) { OnWatchEnd(status); };
  Log(LogLevel::kInfo, "watch started", {{"source", source_}});
  watch_ = peers_.OpenStream(core::InstanceId(source_), Pack(message),
                             kUpdateTimeout, std::move(callbacks));
  first_update_.start(FirstUpdateTimeout());
}

std::chrono::milliseconds DeploymentClient::FirstUpdateTimeout() const {
  const size_t slow =
      failed_watches_ < kQuickWatches ? 0 : failed_watches_ - kQuickWatches + 1;
  return Doubled(kFirstUpdateTimeout, slow, kUpdateTimeout);
}

void DeploymentClient::OnWatchEvent(const schema::PeerMessage& event) {
  const auto message = Unpack(event);
  if (!core::IsOk(message) || !core::Value(message).has_update()) {
    // What changed would be missing for as long as this watch lasts, and a new
    // one begins with the whole state.
    metrics_.Count("unreadable_updates");
    LeaveSource(core::ErrorCode::kInvalidArgument, "unreadable update");
    return;
  }
  const schema::DeploymentUpdate& update = core::Value(message).update();
  if (!IsUpToDate(update)) {
    metrics_.Count("updates_behind");
    LeaveSource(core::ErrorCode::kConflict, "the source is behind");
    return;
  }
  last_update_ = clock_.Now();
  first_update_.stop();
  source_serves_ = true;
  failed_watches_ = 0;
  sources_behind_ = 0;
  if (update.leader() != leader_) {
    leader_ = update.leader();
    Log(LogLevel::kInfo, "leader changed",
        {{"leader", leader_}, {"source", source_}});
    leader_contact_.OnNewLeader();
    if (!leader_.empty()) {
      RetryClaims();
    }
  }
  for (const schema::InstanceRecord& record : update.instances()) {
    UpdateInstance(record.instance(), record.peer_address(),
                   record.serves_control());
  }
  on_update_(update);
  UpdateHeldVersion(update);
}

void DeploymentClient::UpdateHeldVersion(
    const schema::DeploymentUpdate& update) {
  const uint64_t received = update.configuration().version();
  configuration_version_ =
      std::max(configuration_version_,
               version_in_force_ ? version_in_force_() : received);
  unreadable_version_ = std::max(unreadable_version_, received);
  if (configuration_version_ >= unreadable_version_) {
    unreadable_version_ = 0;
    unreadable_retry_delay_ = kUnreadableRetryDelay;
    unreadable_retry_.stop();
    return;
  }
  if (update.has_configuration()) {
    metrics_.Count("configurations_unreadable");
  }
  if (!unreadable_retry_.isActive()) {
    unreadable_retry_.start(unreadable_retry_delay_);
    unreadable_retry_delay_ =
        std::min(unreadable_retry_delay_ * 2, kMaxUnreadableRetryDelay);
  }
}

void DeploymentClient::OnUnreadableRetry() {
  // Without a watch, the next one asks for the version anyway.
  if (source_serves_) {
    LeaveSource(core::ErrorCode::kUnavailable,
                "a configuration is not in force");
  }
}

void DeploymentClient::ReportSpeeds(const schema::UpstreamSpeeds& speeds) {
  schema::DeploymentMessage message;
  *message.mutable_speeds() = speeds;
  const core::Status sent =
      IsCurrent()
          ? peers_.Send(core::InstanceId(source_), Pack(message))
          : core::Error{core::ErrorCode::kUnavailable, "no current watch",
                        core::Execution::kNotRun, std::nullopt};
  if (!core::IsOk(sent)) {
    metrics_.Count("speeds_unreported");
    Log(LogLevel::kInfo, "upstream speeds not reported",
        {{"source", source_}, {"reason", core::ErrorOf(sent).message}});
  }
}

bool DeploymentClient::IsUpToDate(const schema::DeploymentUpdate& update) {
  if (update.has_position()) {
    if (Precedes(update.position(), position_)) {
      return false;
    }
    watches_without_position_ = 0;
    position_ = update.position();
    return true;
  }
  // A source of an earlier build may be behind without telling. It serves if no
  // other one does.
  return source_serves_ || position_.index() == 0 ||
         watches_without_position_ >
             std::min(sources_.size(), kPositionAttempts);
}

void DeploymentClient::OnFirstUpdateTimeout() {
  LeaveSource(core::ErrorCode::kDeadlineExceeded, "no first update in time");
}

void DeploymentClient::LeaveSource(core::ErrorCode code,
                                   const std::string& reason) {
  peers_.CancelStream(watch_);
  OnWatchEnd(core::Error{code, reason, core::Execution::kUnknown, {}});
}

void DeploymentClient::OnWatchEnd(const core::Status& status) {
  first_update_.stop();
  watch_ = {};
  const bool served = std::exchange(source_serves_, false);
  sources_[source_].failed = !served;
  metrics_.Count("watch_ended");
  Log(LogLevel::kWarn, "watch ended",
      {{"source", source_},
       {"reason",
        core::IsOk(status) ? "finished" : core::ErrorOf(status).message}});
  if (!served) {
    ++failed_watches_;
    ++watches_without_position_;
    if (!core::IsOk(status) &&
        core::ErrorOf(status).code == core::ErrorCode::kConflict) {
      OnSourceBehind();
    }
  }
  retry_.start(RetryDelay());
}

std::chrono::milliseconds DeploymentClient::RetryDelay() const {
  return Doubled(kWatchRetryDelay, failed_watches_ / sources_.size(),
                 kMaxWatchRetryDelay);
}

void DeploymentClient::OnSourceBehind() {
  // The state of a source that is current holds all that this client was told
  // longer ago.
  ++sources_behind_;
  if (sources_behind_ < std::min(sources_.size(), kPositionAttempts) ||
      HadContactWithin(kPositionDoubtAfter)) {
    return;
  }
  metrics_.Count("positions_dropped");
  Log(LogLevel::kError, "position of another log dropped",
      {{"index", std::to_string(position_.index())},
       {"term", std::to_string(position_.term())},
       {"sources", std::to_string(sources_behind_)}});
  position_.Clear();
  sources_behind_ = 0;
}

void DeploymentClient::Claim(const relay::TokenClaim& claim,
                             std::chrono::milliseconds timeout,
                             ClaimCallback callback) {
  auto pending = std::make_shared<PendingClaim>();
  pending->claim = claim;
  pending->callback = std::move(callback);
  pending->started_at = clock_.Now();
  pending->deadline = pending->started_at + timeout;
  QMetaObject::invokeMethod(
      this, [this, pending] { TryClaim(pending); }, Qt::QueuedConnection);
}

core::Error DeploymentClient::NoAnswer(const PendingClaim& claim) const {
  return {core::ErrorCode::kUnavailable,
          leader_.empty() ? "no leader is known"
                          : "no answer from the leader " + leader_,
          claim.open_sends == 0 ? core::Execution::kNotRun
                                : core::Execution::kUnknown,
          IsIsolated() ? kIsolatedRetryAfter : kNoLeaderRetryAfter};
}

std::optional<core::Error> DeploymentClient::RefusalOf(
    const PendingClaim& claim) const {
  const core::TimePoint now = clock_.Now();
  // The leader decides by its own state, so that it serves also while no
  // source of updates is current.
  const bool has_contact =
      IsCurrent() || leader_contact_.AnsweredWithin(kUpdateTimeout, now);
  if (now + kClaimRetryDelay >= claim.deadline || !has_contact) {
    return NoAnswer(claim);
  }
  const bool is_first = claim.sent_to.empty() && !leader_.empty();
  if (is_first && !leader_contact_.MaySend(now)) {
    return core::Error{core::ErrorCode::kUnavailable,
                       "the leader " + leader_ + " is slow to answer",
                       core::Execution::kNotRun, kNoLeaderRetryAfter};
  }
  return is_first ? program_gate_.RefusalOf(claim.claim.program, now)
                  : std::nullopt;
}

void DeploymentClient::TryClaim(const ClaimPtr& claim) {
  if (claim->done) {
    return;
  }
  if (const auto refusal = RefusalOf(*claim)) {
    metrics_.Count("claims_unanswered");
    FinishClaim(claim, *refusal);
    return;
  }
  claims_.insert(claim);
  claim->sent_to = leader_;
  if (!leader_.empty()) {
    SendClaim(claim);
    return;
  }
  QTimer::singleShot(kClaimRetryDelay, this, [this, claim] {
    if (claim->sent_to.empty()) {
      TryClaim(claim);
    }
  });
}

void DeploymentClient::SendClaim(const ClaimPtr& claim) {
  ++claim->open_sends;
  const uint64_t number = leader_contact_.OnSent(clock_.Now());
  schema::DeploymentCommand command;
  schema::TokenReservation* reserve = command.mutable_reserve();
  *reserve = relay::ReservationOf(claim->claim);
  *reserve->mutable_settlements() = settlements_.Take();
  const auto left = core::MillisecondsBetween(clock_.Now(), claim->deadline);
  SendToLeader(
      command, left,
      [this, claim, number, leader = leader_,
       settlements = command.reserve().settlements()](
          const core::Result<schema::PeerMessage>& reply) {
        OnSettled(settlements, reply);
        if (core::IsOk(reply) || IsRefusedForGood(reply) ||
            core::ErrorOf(reply).code == core::ErrorCode::kOverloaded) {
          leader_contact_.OnAnswer(number, clock_.Now());
        } else {
          leader_contact_.OnNoAnswer(number);
        }
        if (!core::IsOk(reply) &&
            core::ErrorOf(reply).execution == core::Execution::kNotRun) {
          --claim->open_sends;
        }
        // A new leader was asked meanwhile.
        if (claim->sent_to == leader || core::IsOk(reply)) {
          OnClaimReply(claim, reply);
        }
      });
}

void DeploymentClient::SendToLeader(
    const schema::DeploymentCommand& command, std::chrono::milliseconds timeout,
    std::function<void(const core::Result<schema::PeerMessage>&)> on_reply) {
  schema::DeploymentMessage message;
  command.SerializeToString(message.mutable_propose());
  peers_.Request(core::InstanceId(leader_), Pack(message), timeout,
                 [guard = QPointer<DeploymentClient>(this),
                  on_reply = std::move(on_reply)](
                     const core::Result<schema::PeerMessage>& reply) {
                   if (guard) {
                     on_reply(reply);
                   }
                 });
}

void DeploymentClient::OnClaimReply(
    const ClaimPtr& claim, const core::Result<schema::PeerMessage>& reply) {
  const auto result =
      core::IsOk(reply)
          ? Unpack(core::Value(reply))
          : core::Result<schema::DeploymentMessage>(core::ErrorOf(reply));
  if (core::IsOk(result)) {
    const schema::DeploymentReply& it = core::Value(result).reply();
    relay::ClaimReply answer{it.granted(), it.remaining()};
    if (it.has_stream()) {
      answer.stream = {it.stream().version(), it.stream().round()};
    }
    program_gate_.OnGranted(claim->claim.program, clock_.Now());
    FinishClaim(claim, answer);
    return;
  }
  if (IsRefusedForGood(reply)) {
    FinishClaim(claim, core::ErrorOf(reply));
    return;
  }
  if (!core::IsOk(reply) &&
      core::ErrorOf(reply).code == core::ErrorCode::kOverloaded) {
    core::Error error = core::ErrorOf(reply);
    program_gate_.OnRefused(claim->claim.program, error, clock_.Now());
    if (claim->open_sends > 0) {
      error.execution = core::Execution::kUnknown;
    }
    FinishClaim(claim, error);
    return;
  }
  RetryLater(claim);
}

void DeploymentClient::RetryLater(const ClaimPtr& claim) {
  if (claim->done) {
    return;
  }
  const auto delay =
      Doubled(kClaimRetryDelay, claim->failures++, kMaxClaimRetryDelay);
  if (clock_.Now() + delay >= claim->deadline) {
    metrics_.Count("claims_unanswered");
    FinishClaim(claim, NoAnswer(*claim));
    return;
  }
  // Retries are safe: a claim is granted once, however often it is sent.
  QTimer::singleShot(delay, this, [this, claim, leader = claim->sent_to] {
    if (claim->sent_to == leader) {
      TryClaim(claim);
    }
  });
}

void DeploymentClient::FinishClaim(
    const ClaimPtr& claim, const core::Result<relay::ClaimReply>& result) {
  claims_.erase(claim);
  if (std::exchange(claim->done, true)) {
    return;
  }
  const char* outcome = !core::IsOk(result)           ? "unanswered"
                        : core::Value(result).granted ? "granted"
                                                      : "refused";
  metrics_.Observe({core::OrganisationId("deployment"), outcome, "claim"},
                   clock_.Now() - claim->started_at);
  claim->callback(result);
}

void DeploymentClient::ReadInstances(InstancesCallback callback) {
  if (leader_.empty() || !IsCurrent()) {
    callback(Unavailable("no leader is known"));
    return;
  }
  schema::DeploymentMessage message;
  message.mutable_read_instances();
  peers_.Request(
      core::InstanceId(leader_), Pack(message), kClaimAttemptTimeout,
      [guard = QPointer<DeploymentClient>(this),
       callback = std::move(callback)](
          const core::Result<schema::PeerMessage>& reply) {
        if (!guard) {
          return;
        }
        const auto read =
            core::IsOk(reply)
                ? Unpack(core::Value(reply))
                : core::Result<schema::DeploymentMessage>(core::ErrorOf(reply));
        if (!core::IsOk(read)) {
          callback(core::ErrorOf(read));
        } else if (!core::Value(read).has_instances()) {
          callback(Unavailable("the leader returned no list of instances"));
        } else {
          callback(core::Value(read).instances());
        }
      });
}

void DeploymentClient::RetryClaims() {
  const std::set<ClaimPtr> claims = claims_;
  for (const ClaimPtr& it : claims) {
    if (it->sent_to != leader_) {
      TryClaim(it);
    }
  }
}

void DeploymentClient::ReportCrash(const schema::ReportCrash& report) {
  schema::DeploymentCommand command;
  *command.mutable_report_crash() = report;
  AddReport(command);
}

void DeploymentClient::ReportSuccess(uint64_t digest) {
  schema::DeploymentCommand command;
  command.set_succeeded_request(digest);
  AddReport(command);
}

void DeploymentClient::ReportDraining(const std::string& upstream,
                                      uint64_t started_at_ms) {
  schema::DeploymentCommand command;
  command.mutable_draining_upstream()->set_upstream(upstream);
  command.mutable_draining_upstream()->set_started_at_ms(started_at_ms);
  AddReport(command);
}

void DeploymentClient::ReportLimit(const schema::UpstreamLimit& limit) {
  schema::DeploymentCommand command;
  *command.mutable_upstream_limit() = limit;
  AddReport(command);
}

void DeploymentClient::AddReport(const schema::DeploymentCommand& command) {
  if (open_reports_ >= kMaxOpenReports) {
    LogLostReport(command, "too many open reports");
    return;
  }
  ++open_reports_;
  SendReport(command);
}

void DeploymentClient::LogLostReport(const schema::DeploymentCommand& command,
                                     const std::string& reason) {
  metrics_.Count("reports_lost");
  Log(LogLevel::kWarn, "report lost",
      {{"kind", KindOf(command)}, {"reason", reason}, {"leader", leader_}});
}

void DeploymentClient::SendReport(const schema::DeploymentCommand& command) {
  // The group counts a crash once, however often it is reported.
  SendToLeader(command, kClaimAttemptTimeout,
               [this, command](const core::Result<schema::PeerMessage>& reply) {
                 if (core::IsOk(reply)) {
                   --open_reports_;
                   return;
                 }
                 if (IsRefusedForGood(reply)) {
                   --open_reports_;
                   LogLostReport(command, core::ErrorOf(reply).message);
                   return;
                 }
                 QTimer::singleShot(kReportRetryDelay, this,
                                    [this, command] { SendReport(command); });
               });
}

void DeploymentClient::Settle(const relay::TokenClaim& claim, int64_t used) {
  schema::TokenSettlement settlement;
  settlement.set_program(claim.program);
  settlement.set_request(claim.request_id);
  settlement.set_tokens(used);
  settlement.set_retention_ms(claim.retention.count());
  settlements_.Add(std::move(settlement));
  ScheduleSettlements(kSettleDelay);
}

void DeploymentClient::ScheduleSettlements(std::chrono::milliseconds delay) {
  if (!settling_ && !settle_timer_.isActive() && settlements_.waiting() > 0) {
    settle_timer_.start(delay);
  }
}

void DeploymentClient::OnSettled(
    const SettlementQueue::List& settlements,
    const core::Result<schema::PeerMessage>& reply) {
  if (core::IsOk(reply)) {
    settlements_.Confirm(settlements);
    ScheduleSettlements(kSettleDelay);
    return;
  }
  settlements_.Return(settlements);
  ScheduleSettlements(kSettleRetryDelay);
}

void DeploymentClient::SendSettlements() {
  if (settling_ || settlements_.waiting() == 0) {
    return;
  }
  schema::DeploymentCommand command;
  *command.mutable_settle()->mutable_settlements() = settlements_.Take();
  settling_ = true;
  SendToLeader(command, kSettleTimeout,
               [this, settlements = command.settle().settlements()](
                   const core::Result<schema::PeerMessage>& reply) {
                 settling_ = false;
                 if (IsRefusedForGood(reply)) {
                   metrics_.Count("settlements_lost");
                   Log(LogLevel::kError, "settlements lost",
                       {{"count", std::to_string(settlements.size())},
                        {"reason", core::ErrorOf(reply).message},
                        {"leader", leader_}});
                   settlements_.Confirm(settlements);
                   ScheduleSettlements(kSettleDelay);
                   return;
                 }
                 OnSettled(settlements, reply);
               });
}

}  // namespace hawthorn::cluster

#include "cluster/quota_client.h"

#include <QPointer>
#include <algorithm>
#include <utility>

#include "cluster/deployment_host.h"
#include "cluster/quota_messages.h"
#include "logging/log.h"

namespace hawthorn::cluster {

namespace {

using logging::Log;
using logging::LogLevel;

}  // namespace

QuotaClient::QuotaClient(uint64_t incarnation, const core::Clock& clock,
                         core::Metrics& metrics, peer::PeerTransport& peers)
    : clock_(clock), metrics_(metrics), peers_(peers), stock_(incarnation) {
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  connect(&timer_, &QTimer::timeout, this, &QuotaClient::Pump);
}

void QuotaClient::SetLeader(const std::string& leader) {
  if (leader == leader_) {
    return;
  }
  leader_ = leader;
  if (!leader_.empty()) {
    stock_.OnNewLeader();
    SchedulePump();
  }
}

void QuotaClient::SetLimits(uint64_t version,
                            const scheduling::QuotaLimits& limits) {
  stock_.SetLimits(version, limits, clock_.Now());
  SchedulePump();
}

void QuotaClient::Take(const std::string& organisation, TakeCallback callback) {
  const scheduling::QuotaStock::Ticket ticket = next_ticket_++;
  const auto decision = stock_.Take(organisation, ticket, clock_.Now());
  if (decision) {
    callback(*decision);
    return;
  }
  metrics_.Count("quota_waits");
  waiting_.emplace(ticket, std::move(callback));
  SchedulePump();
}

void QuotaClient::GiveBack(const std::string& organisation,
                           core::TimePoint taken_at) {
  metrics_.Count("quota_given_back");
  stock_.GiveBack(organisation, taken_at, clock_.Now());
  SchedulePump();
}

void QuotaClient::SchedulePump() {
  if (std::exchange(pump_scheduled_, true)) {
    return;
  }
  QMetaObject::invokeMethod(
      this, [this] { Pump(); }, Qt::QueuedConnection);
}

void QuotaClient::Pump() {
  pump_scheduled_ = false;
  const core::TimePoint now = clock_.Now();
  // Before the report, which must not ask for requests that no longer wait.
  const auto decisions = stock_.TakeDecisions(now);
  if (!leader_.empty()) {
    if (const auto report = stock_.TakeReport(now)) {
      Send(*report);
    }
  }
  for (const auto& [ticket, status] : decisions) {
    auto waiting = waiting_.extract(ticket);
    if (waiting.empty()) {
      continue;
    }
    if (!core::IsOk(status) &&
        core::ErrorOf(status).code == core::ErrorCode::kUnavailable) {
      metrics_.Count("quota_unanswered");
    }
    waiting.mapped()(status);
  }
  // Without a leader nothing can be sent, but requests still time out.
  const auto next = stock_.NextWakeUp(now);
  if (!next) {
    timer_.stop();
    return;
  }
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - now);
  const std::chrono::milliseconds least =
      leader_.empty() ? scheduling::QuotaStock::kResendAfter
                      : std::chrono::milliseconds(1);
  timer_.start(std::max(wait, least));
}

void QuotaClient::Send(const scheduling::QuotaReport& report) {
  metrics_.Count("quota_reports");
  schema::DeploymentMessage message;
  *message.mutable_quota_request() = ToProto(report);
  peers_.Request(
      core::InstanceId(leader_), Pack(message), kReplyTimeout,
      [guard = QPointer<QuotaClient>(this), sequence = report.sequence,
       leader = leader_](const core::Result<schema::PeerMessage>& reply) {
        if (guard) {
          guard->OnReply(sequence, leader, reply);
        }
      });
}

void QuotaClient::OnReply(uint64_t sequence, const std::string& leader,
                          const core::Result<schema::PeerMessage>& reply) {
  const auto message =
      core::IsOk(reply)
          ? Unpack(core::Value(reply))
          : core::Result<schema::DeploymentMessage>(core::ErrorOf(reply));
  if (!core::IsOk(message) || !core::Value(message).has_quota_grant()) {
    // The report is sent again while requests wait.
    metrics_.Count("quota_reports_failed");
    Log(LogLevel::kDebug, "quota report failed",
        {{"leader", leader},
         {"reason", core::IsOk(message) ? "unexpected reply"
                                        : core::ErrorOf(message).message}});
    return;
  }
  stock_.OnAnswer(sequence, FromProto(core::Value(message).quota_grant()),
                  clock_.Now());
  Pump();
}

void QuotaClient::UpdateGauges() const {
  metrics_.SetGauge("quota_waiting", static_cast<double>(stock_.waiting()));
  metrics_.SetGauge("quota_credit_held", static_cast<double>(stock_.held()));
  metrics_.SetGauge("quota_term", static_cast<double>(stock_.term()));
}

}  // namespace hawthorn::cluster

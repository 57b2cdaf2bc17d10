#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "core/clock.h"
#include "core/metrics.h"
#include "peer/peer_transport.h"
#include "relay/quota_source.h"
#include "scheduling/quota_stock.h"

namespace hawthorn::cluster {

/// Credit for the requests of organisations on an entry instance. Asks the
/// leader of the group for what its stock does not have; requests of one
/// iteration of the event loop share one message.
class QuotaClient final : public QObject, public relay::QuotaSource {
  Q_OBJECT

 public:
  /// Time after which the reply to a message is no longer waited for. A message
  /// is repeated earlier; its late reply still counts.
  static constexpr std::chrono::milliseconds kReplyTimeout{1000};

  /// `clock` must count the time for which the machine is suspended.
  /// `incarnation` differs between two processes of this instance.
  QuotaClient(uint64_t incarnation, const core::Clock& clock,
              core::Metrics& metrics, peer::PeerTransport& peers);

  /// Sets the leader of the group; empty if none is known.
  void SetLeader(const std::string& leader);
  void SetLimits(uint64_t version, const scheduling::QuotaLimits& limits);
  /// Sets the gauges to their current values.
  void UpdateGauges() const;

  void Take(const std::string& organisation, TakeCallback callback) override;
  void GiveBack(const std::string& organisation,
                core::TimePoint taken_at) override;

 private:
  void SchedulePump();
  /// Sends what is due, and answers the requests that no longer wait.
  void Pump();
  void Send(const scheduling::QuotaReport& report);
  void OnReply(uint64_t sequence, const std::string& leader,
               const core::Result<schema::PeerMessage>& reply);

  const core::Clock& clock_;
  core::Metrics& metrics_;
  peer::PeerTransport& peers_;
  scheduling::QuotaStock stock_;
  std::string leader_;
  scheduling::QuotaStock::Ticket next_ticket_ = 1;
  std::map<scheduling::QuotaStock::Ticket, TakeCallback> waiting_;
  QTimer timer_;
  bool pump_scheduled_ = false;
};

}  // namespace hawthorn::cluster

#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "peer/peer_transport.h"
#include "relay/exchange_link.h"
#include "schema/generated/peer.pb.h"

namespace hawthorn::relay {

/// An exchange that another instance carries out, since this one cannot reach
/// the upstream. Carries one exchange only.
class ForwardedLink final : public ExchangeLink {
  Q_OBJECT

 public:
  /// Tells whether the other instance reached the upstream, each time that it
  /// becomes known.
  using OutcomeHandler = std::function<void(bool reached)>;

  /// `request` lacks the HTTP request, which Start adds.
  ForwardedLink(peer::PeerTransport& peers, std::string forwarder,
                schema::ForwardRequest request, OutcomeHandler on_outcome,
                QObject* parent);
  ~ForwardedLink() override;

  void Start(std::string_view request, Events events) override;
  void Abandon() override;
  void SetReading(bool reading) override;
  std::string forwarder() const override { return forwarder_; }
  /// False while not known, also if the other instance does not tell.
  bool is_only_send() const override { return is_only_send_; }
  bool is_first_exchange() const override { return is_only_send_; }

 private:
  void OnPart(const schema::PeerMessage& message);
  void OnHead(const schema::ForwardedHead& encoded);
  void OnEnd(schema::ForwardEnd end);
  void OnStreamEnd(const core::Status& status);
  void Fail(LinkFailure failure, const std::string& reason = {});

  peer::PeerTransport& peers_;
  std::string forwarder_;
  schema::ForwardRequest request_;
  OutcomeHandler on_outcome_;
  Events events_;
  peer::StreamHandle stream_;
  bool is_open_ = false;
  bool is_only_send_ = false;
};

}  // namespace hawthorn::relay

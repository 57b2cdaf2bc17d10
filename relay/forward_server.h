#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <set>
#include <string>
#include <variant>

#include "peer/replier.h"
#include "relay/call_codec.h"
#include "relay/upstream_link.h"
#include "schema/generated/peer.pb.h"

namespace hawthorn::relay {

/// Functions of the relay that exchanges for other instances use.
class ForwardHost {
 public:
  virtual ~ForwardHost() = default;
  virtual const CallCodec& codec() const = 0;
  /// Opens a connection of this instance for the request of another one, or
  /// says why nothing can be sent.
  virtual std::variant<UpstreamLink*, schema::ForwardEnd> OpenForwarded(
      const schema::ForwardRequest& request) = 0;
  /// Keeps a connection from OpenForwarded for reuse, or closes it.
  virtual void CloseForwarded(const schema::ForwardRequest& request,
                              UpstreamLink* link,
                              const ResponseInfo& response) = 0;
  /// Finds out whether this instance can open a connection to the upstream, or
  /// gets an answer from it if the request needs one.
  virtual void CheckForwarded(
      const schema::ForwardRequest& request,
      std::function<void(schema::ForwardEnd)> on_checked) = 0;
  /// Whether this instance has reached an upstream recently, so that its word
  /// on another one counts.
  virtual bool HadContact() const = 0;
  /// An exchange for `origin` has ended; `reason` says why its response was
  /// refused, if it was.
  virtual void OnForwardedEnded(const schema::ForwardRequest& request,
                                const std::string& origin,
                                schema::ForwardEnd end,
                                const std::string& reason) = 0;
};

/// Carries out exchanges with upstreams for other instances. Each uses a
/// connection of this instance and is never passed on, so that no exchange
/// travels in a circle.
class ForwardServer final : public QObject {
  Q_OBJECT

 public:
  /// Maximum number of exchanges at a time; more are refused.
  static constexpr size_t kMaxExchanges = 512;

  /// `host` must outlive the server.
  explicit ForwardServer(ForwardHost& host, QObject* parent = nullptr);
  ~ForwardServer() override;

  void OnRequest(const schema::ForwardRequest& request,
                 const std::string& origin, const peer::Replier& replier);
  /// Refuses all further exchanges; those that are open go on.
  void Drain() { draining_ = true; }
  size_t open_exchanges() const { return exchanges_.size(); }

 private:
  class Exchange;

  void OnEnded(Exchange* exchange);

  ForwardHost& host_;
  std::set<Exchange*> exchanges_;
  bool draining_ = false;
};

}  // namespace hawthorn::relay

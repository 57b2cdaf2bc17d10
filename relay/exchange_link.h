#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "transport/response_reader.h"

namespace hawthorn::relay {

/// How an exchange with an upstream failed.
enum class LinkFailure {
  kUnreachable,      ///< Connecting failed; nothing was sent.
  kForwarderFailed,  ///< Nothing was sent, as another instance did not help.
  kConnectionLimit,  ///< Nothing was sent: the connection limit is reached.
  kClosed,           ///< Orderly end before the response was complete.
  kReset,            ///< Reset after the request was sent.
  kMalformed,        ///< The received bytes are not a valid HTTP response.
};

/// What a link does with a response whose head has arrived.
enum class ResponseMatch {
  kOwn,      ///< It answers the request of this exchange.
  kForeign,  ///< It answers another request: skip it, the own one may follow.
};

/// Carries one exchange with an upstream, a request and its response, at a
/// time.
class ExchangeLink : public QObject {
  Q_OBJECT

 public:
  struct Events {
    std::function<ResponseMatch(const transport::ResponseHead&,
                                std::optional<uint64_t> length)>
        on_head;
    std::function<void(std::string_view)> on_body;
    /// The response is complete.
    std::function<void()> on_complete;
    /// `reason` says in the log why a response is malformed; it may be empty
    /// for other failures.
    std::function<void(LinkFailure, const std::string& reason)> on_failed;
  };

  using QObject::QObject;

  /// Sends a serialized request. `events` apply to this exchange only.
  virtual void Start(std::string_view request, Events events) = 0;
  /// Ends the exchange; no event follows.
  virtual void Abandon() = 0;
  /// Pauses or resumes reading the response, for backpressure.
  virtual void SetReading(bool reading) = 0;
  /// Whether no earlier request on the connection had the id of the current
  /// one. Otherwise a response with that id may be the copy of an earlier one.
  virtual bool is_only_send() const { return true; }
  /// Whether a response without an id can only be that to the current request.
  virtual bool is_first_exchange() const { return true; }
  /// Instance that carries the exchange out; empty for an own connection.
  virtual std::string forwarder() const { return {}; }
};

}  // namespace hawthorn::relay

#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "transport/response_reader.h"
#include "transport/stream_socket.h"

namespace hawthorn::relay {

/// How an exchange with an upstream failed.
enum class LinkFailure {
  kUnreachable,  ///< Connecting failed; nothing was sent.
  kClosed,       ///< Orderly end before the response was complete.
  kReset,        ///< Reset after the request was sent.
  kMalformed,    ///< The received bytes are not a valid HTTP response.
};

/// What a link does with a response whose head has arrived.
enum class ResponseMatch {
  kOwn,      ///< It answers the request of this exchange.
  kForeign,  ///< It answers another request: skip it, the own one may follow.
};

/// Connection to an upstream. Carries one exchange, a request and its response,
/// at a time.
class UpstreamLink final : public QObject {
  Q_OBJECT

 public:
  /// Timeout of connecting: five round trips within a region. If the first
  /// packet is lost, connecting would take longer, so another upstream is tried
  /// instead.
  static constexpr std::chrono::milliseconds kConnectTimeout{300};

  /// Time that the own response may take after a foreign one.
  static constexpr std::chrono::milliseconds kOwnResponseTimeout{1000};
  /// Maximum number of foreign responses in one exchange.
  static constexpr int kMaxForeignResponses = 4;

  struct Events {
    std::function<ResponseMatch(const transport::ResponseHead&,
                                std::optional<uint64_t> length)>
        on_head;
    std::function<void(std::string_view)> on_body;
    /// The response is complete.
    std::function<void()> on_complete;
    std::function<void(LinkFailure)> on_failed;
  };

  UpstreamLink(const transport::SocketAddress& address, QObject* parent);

  /// Calls `on_checked` once; its argument tells whether connecting succeeded.
  void CheckConnection(std::function<void(bool)> on_checked);
  /// Sends a serialized request. `events` apply to this exchange only.
  void Start(std::string_view request, Events events);
  /// Closes the connection and drops the exchange; no event follows.
  void Abandon();

  /// Whether the connection can carry another exchange.
  bool reusable() const { return reusable_; }
  /// False once the connection was closed or has failed.
  bool is_open() const { return socket_.is_open(); }
  void SetReading(bool reading) { socket_.SetReading(reading); }

  /// Sets the function to call when the connection closes while idle.
  void SetIdleEndHandler(std::function<void()> on_end) {
    on_idle_end_ = std::move(on_end);
  }

 private:
  void OnBytes(std::string_view bytes);
  void StartReader();
  void OnEnd(transport::SocketEnd how);
  void ReportCheck(bool connected);
  void Complete();
  void Fail(LinkFailure failure);

  transport::StreamSocket socket_;
  /// Runs while connecting and while an own response is due after a foreign
  /// one.
  QTimer timer_;
  std::unique_ptr<transport::ResponseReader> reader_;
  Events events_;
  bool connected_ = false;
  bool reusable_ = false;
  transport::BodyRule body_rule_ = transport::BodyRule::kAsFramed;
  bool skipping_ = false;
  int foreign_responses_ = 0;
  std::function<void()> on_idle_end_;
  std::function<void(bool)> on_checked_;
};

}  // namespace hawthorn::relay

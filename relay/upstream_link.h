#pragma once

#include <QObject>
#include <QTimer>
#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "relay/exchange_link.h"
#include "transport/response_reader.h"
#include "transport/stream_socket.h"

namespace hawthorn::relay {

/// Connection to an upstream. Carries one exchange, a request and its response,
/// at a time.
class UpstreamLink final : public ExchangeLink {
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

  /// Requests that were not sent yet count against `buffers`, if there are
  /// any.
  UpstreamLink(const transport::SocketAddress& address,
               transport::BufferBudget* buffers, QObject* parent);

  /// Calls `on_checked` once; its argument tells whether connecting succeeded.
  void CheckConnection(std::function<void(bool)> on_checked);
  void Start(std::string_view request, Events events) override;
  /// Also closes the connection.
  void Abandon() override;

  /// Requests whose ids a connection remembers before it is given up.
  static constexpr size_t kMaxRememberedRequests = 64;

  /// Whether the connection can carry another exchange.
  bool reusable() const {
    return reusable_ && unserved_.size() < kMaxRememberedRequests;
  }
  bool is_first_exchange() const override { return exchanges_ == 1; }
  /// Remembers a request that ended here without success, so that it may be
  /// sent again elsewhere: a copy of its response may still come.
  void RememberUnserved(std::string request_id) {
    unserved_.push_back(std::move(request_id));
  }
  /// Whether the connection may carry the request: it must not have carried it
  /// before.
  bool MayCarry(const std::string& request_id) const {
    return std::find(unserved_.begin(), unserved_.end(), request_id) ==
           unserved_.end();
  }
  /// False once the connection was closed or has failed.
  bool is_open() const { return socket_.is_open(); }
  void SetReading(bool reading) override { socket_.SetReading(reading); }

  /// Sets the function to call when bytes arrive.
  void SetBytesHandler(std::function<void()> on_bytes) {
    on_bytes_ = std::move(on_bytes);
  }
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
  void Fail(LinkFailure failure, const std::string& reason = {});

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
  uint64_t exchanges_ = 0;
  std::vector<std::string> unserved_;
  std::function<void()> on_idle_end_;
  std::function<void()> on_bytes_;
  std::function<void(bool)> on_checked_;
};

}  // namespace hawthorn::relay

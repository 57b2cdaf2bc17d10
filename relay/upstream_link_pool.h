#pragma once

#include <QObject>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "relay/upstream_link.h"

namespace hawthorn::relay {

/// Keeps idle connections to upstreams for later calls.
class UpstreamLinkPool final : public QObject {
  Q_OBJECT

 public:
  /// Idle time after which a connection is closed if the upstream does not
  /// say how long it keeps one.
  static constexpr std::chrono::milliseconds kDefaultIdleTimeout{4000};
  /// Part of the upstream's own idle time after which its connection is not
  /// used any more, in percent: a request must not cross the close.
  static constexpr int kIdleTimeoutPercent = 60;
  /// Idle time up to which a connection may carry a call that must not run
  /// twice: it was alive a moment ago.
  static constexpr std::chrono::milliseconds kMaxFreshIdleTime{500};
  /// Idle connections kept for one upstream.
  static constexpr size_t kMaxIdleConnections = 16;

  UpstreamLinkPool(const core::Clock& clock, QObject* parent);

  /// A connection to `upstream`: a kept one, or a new one that is connecting.
  /// With `must_be_fresh` only one that was in use a moment ago is reused.
  UpstreamLink* Acquire(const std::string& upstream,
                        const transport::SocketAddress& address,
                        bool must_be_fresh);
  /// Connects anew to tell whether the upstream can be reached. A connection
  /// that comes about is kept. One check of an upstream runs at a time; all
  /// that ask meanwhile get its outcome.
  void Check(const std::string& upstream,
             const transport::SocketAddress& address,
             std::function<void(bool)> on_checked);
  /// Takes a connection back after its exchange.
  void Release(const std::string& upstream, UpstreamLink* link,
               std::chrono::milliseconds idle_timeout);
  /// Ends a connection that is in use; no event follows.
  void Discard(const std::string& upstream, UpstreamLink* link);
  /// Closes the idle connections of an upstream that is gone.
  void Forget(const std::string& upstream);

  /// Connections to `upstream`, idle and in use.
  size_t OpenCount(const std::string& upstream) const;
  size_t IdleCount(const std::string& upstream) const;
  size_t TotalIdle() const;
  size_t TotalInUse() const;
  uint64_t opened() const { return opened_; }

 private:
  struct IdleLink {
    UpstreamLink* link = nullptr;
    core::TimePoint idle_since;
    core::TimePoint expires_at;
  };
  struct Links {
    std::vector<IdleLink> idle;
    size_t in_use = 0;
    std::vector<std::function<void(bool)>> checks;
  };

  void CloseExpired();
  void DropIdle(const std::string& upstream, UpstreamLink* link);

  const core::Clock& clock_;
  std::map<std::string, Links> links_;
  uint64_t opened_ = 0;
  QTimer expiry_timer_;
};

}  // namespace hawthorn::relay

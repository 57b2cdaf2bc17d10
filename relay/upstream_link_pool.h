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

/// Pool of connections to upstreams.
class UpstreamLinkPool final : public QObject {
  Q_OBJECT

 public:
  /// Idle timeout of a connection whose upstream does not announce its own
  /// timeout.
  static constexpr std::chrono::milliseconds kDefaultIdleTimeout{4000};
  /// Percentage of the upstream's idle timeout after which a connection is no
  /// longer used, so that no request is sent while the upstream closes it.
  static constexpr int kIdleTimeoutPercent = 60;
  /// Idle time up to which a connection may carry a call that must not run
  /// twice. A connection that was idle for longer may be broken unnoticed.
  static constexpr std::chrono::milliseconds kMaxFreshIdleTime{500};
  /// Time to connect and to get an answer that needs no work.
  static constexpr std::chrono::milliseconds kAnswerTimeout{400};
  /// Maximum number of idle connections to one upstream.
  static constexpr size_t kMaxIdleConnections = 16;

  /// What the connections buffer counts against `buffers`, if there are any.
  UpstreamLinkPool(const core::Clock& clock, transport::BufferBudget* buffers,
                   QObject* parent);

  /// Returns a connection to `upstream` for a request: an idle one, or a new
  /// one that is still connecting. With `must_be_fresh` an idle one is reused
  /// only within kMaxFreshIdleTime. Never one on which the request was sent
  /// before: its response could not be told from a copy of the earlier one.
  UpstreamLink* Acquire(const std::string& upstream,
                        const transport::SocketAddress& address,
                        bool must_be_fresh, const std::string& request_id);
  /// Opens a new connection to test whether the upstream is reachable, and
  /// keeps it in the pool. One check for each upstream runs at a time; callers
  /// that ask meanwhile get its result.
  void Check(const std::string& upstream,
             const transport::SocketAddress& address,
             std::function<void(bool)> on_checked);
  /// Sends `request` to test whether the upstream answers within
  /// kAnswerTimeout, with whatever bytes, on a new connection if `must_be_new`.
  /// One such test for each upstream runs at a time; callers that ask meanwhile
  /// get its result.
  void CheckAnswer(const std::string& upstream,
                   const transport::SocketAddress& address,
                   const std::string& request, bool must_be_new,
                   std::function<void(bool)> on_checked);
  /// When bytes last arrived from the upstream, and from any.
  core::TimePoint LastHeard(const std::string& upstream) const;
  core::TimePoint last_heard() const { return last_heard_; }
  /// Returns a connection to the pool after its exchange.
  void Release(const std::string& upstream, UpstreamLink* link,
               std::chrono::milliseconds idle_timeout);
  /// Closes a connection that is in use; no event follows.
  void Discard(const std::string& upstream, UpstreamLink* link);
  /// Closes the idle connections of an upstream that was removed or changed.
  void Forget(const std::string& upstream);

  /// Number of connections to `upstream`, both idle and in use.
  size_t OpenCount(const std::string& upstream) const;
  size_t IdleCount(const std::string& upstream) const;
  size_t TotalIdle() const;
  size_t TotalInUse() const;
  /// Number of connections opened since the start.
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
    std::vector<std::function<void(bool)>> answer_checks;
    core::TimePoint last_heard;
  };

  /// Removes the idle connection with this index and returns it.
  static UpstreamLink* TakeIdle(Links* links, size_t index);
  UpstreamLink* NewLink(const std::string& upstream,
                        const transport::SocketAddress& address);
  void OnAnswerChecked(const std::string& upstream, UpstreamLink* link,
                       bool answered);

  void CloseExpired();
  void DropIdle(const std::string& upstream, UpstreamLink* link);

  const core::Clock& clock_;
  transport::BufferBudget* buffers_;
  std::map<std::string, Links> links_;
  core::TimePoint last_heard_;
  uint64_t opened_ = 0;
  QTimer expiry_timer_;
};

}  // namespace hawthorn::relay

#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "control.pb.h"
#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "main/instance.h"
#include "main/threads/events.h"
#include "main/threads/http_thread.h"
#include "main/threads/peer_thread.h"
#include "main/threads/upstream_thread.h"
#include "settings.pb.h"
#include "storage/file_system.h"
#include "storage/journal_thread.h"

namespace hawthorn::main {

/// One hawthornd process: the HTTP, upstream, peer, journal and decision
/// threads, connected by bounded rings. Created and run on the main thread,
/// which serves HTTP.
class Daemon {
 public:
  Daemon(const schema::Settings& settings, const Secrets& secrets,
         const core::Clock& clock);
  ~Daemon();

  /// Opens the stores, and starts listening for peers and for HTTP.
  core::Status Start(const schema::Configuration& first_configuration);

  /// Rejects new calls, finishes those in flight and then quits the process's
  /// event loop.
  void Drain();

  uint16_t http_port() const { return http_port_; }
  uint16_t peer_port() const { return peer_port_; }

 private:
  static constexpr size_t kEventCapacity = 65536;

  void PushOrWait(Event event);
  void RunDecisionLoop();
  core::Result<std::unique_ptr<storage::LogStore>> OpenStore(
      const std::string& group);

  schema::Settings settings_;
  Secrets secrets_;
  const core::Clock& clock_;
  core::Metrics metrics_;
  storage::PosixFileSystem files_;
  core::BoundedRing<Event> events_{kEventCapacity};
  std::atomic<bool> stopping_{false};
  std::unique_ptr<HttpThread> http_;
  std::unique_ptr<UpstreamThread> upstreams_;
  std::unique_ptr<PeerThread> peers_;
  std::unique_ptr<storage::JournalThread> journal_;
  std::unique_ptr<Instance> instance_;
  std::thread decision_thread_;
  uint16_t http_port_ = 0;
  uint16_t peer_port_ = 0;
};

}  // namespace hawthorn::main

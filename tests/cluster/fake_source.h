#pragma once

#include <QTimer>
#include <chrono>
#include <memory>
#include <string>

#include "cluster/errors.h"
#include "deployment_fixture.h"

namespace hawthorn::cluster {

/// A source of updates that the test writes.
class FakeSource {
 public:
  FakeSource(Deployment* it, const std::string& ip)
      : peers_(it->NewTransport(ip, 0)),
        address_(ip + ":" + std::to_string(peers_->port())) {
    peers_->SetHandler([this](const schema::PeerMessage& message,
                              const peer::Replier& replier) {
      const auto unpacked = Unpack(message);
      if (core::IsOk(unpacked) && core::Value(unpacked).has_watch()) {
        request = core::Value(unpacked).watch();
        ++watches;
        replier_ = replier;
        if (refuses) {
          EndWatch();
        } else if (!is_silent) {
          Send();
        }
      }
    });
  }

  /// Sends `update` to the watcher.
  void Send() {
    schema::DeploymentMessage message;
    *message.mutable_update() = update;
    replier_.SendChunk(Pack(message));
  }
  /// Sends updates without news from now on, so that its watches last.
  void KeepAlive() {
    QObject::connect(&keep_alive_, &QTimer::timeout, &keep_alive_, [this] {
      if (is_silent) {
        return;
      }
      schema::DeploymentMessage message;
      message.mutable_update()->set_leader(update.leader());
      *message.mutable_update()->mutable_position() = update.position();
      replier_.SendChunk(Pack(message));
    });
    keep_alive_.start(WatchRegistry::kKeepAliveInterval);
  }
  void EndWatch() { replier_.Fail(Unavailable("the test ends the watch")); }
  const std::string& address() const { return address_; }

  schema::DeploymentUpdate update;
  schema::WatchRequest request;
  int watches = 0;
  /// Whether it leaves watches without an update.
  bool is_silent = false;
  /// Whether it ends watches at once.
  bool refuses = false;

 private:
  std::unique_ptr<peer::PeerTransport> peers_;
  std::string address_;
  peer::Replier replier_;
  QTimer keep_alive_;
};

/// An update with the table of upstreams of a state, whose only upstream is
/// named after the state.
inline schema::DeploymentUpdate TableAt(uint64_t index) {
  schema::DeploymentUpdate update;
  update.set_whole_table(true);
  update.set_leader("127.0.0.99");
  update.mutable_position()->set_index(index);
  update.mutable_position()->set_term(1);
  update.add_upstreams()->set_upstream("at " + std::to_string(index));
  return update;
}

}  // namespace hawthorn::cluster

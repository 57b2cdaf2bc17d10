#pragma once

#include <QThread>
#include <functional>
#include <memory>

#include "main/threads/events.h"
#include "main/threads/mailbox.h"
#include "main/threads/sinks.h"

namespace hawthorn::main {

/// The thread that runs the connections to upstreams.
class UpstreamThread final : public UpstreamSink {
 public:
  using EventSink = std::function<void(Event)>;

  explicit UpstreamThread(EventSink events);
  ~UpstreamThread() override;

  void Start(transport::ClientRequest request) override;
  void Cancel(transport::ClientCallId attempt) override;

  /// Aborts all requests and ends the thread.
  void Stop();

 private:
  EventSink events_;
  QThread thread_;
  Mailbox* mailbox_;
  transport::HttpClient* client_;
};

}  // namespace hawthorn::main

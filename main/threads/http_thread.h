#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"
#include "main/threads/events.h"
#include "main/threads/mailbox.h"
#include "main/threads/sinks.h"
#include "transport/http_server.h"

namespace hawthorn::main {

/// Runs the HTTP server on the main thread; its sink methods are called on the
/// decision thread. If the event ring is full, it responds with 503 itself.
class HttpThread final : public HttpSink {
 public:
  /// Returns false if the event ring is full.
  using EventSink = std::function<bool(Event)>;

  HttpThread(transport::ListenerLimits limits, const core::Clock& clock,
             EventSink events);

  core::Result<uint16_t> Listen(const std::string& address);

  void Respond(transport::ExchangeId exchange, int status,
               transport::HeaderFields headers, std::string body) override;
  void BeginStream(transport::ExchangeId exchange, int status,
                   transport::HeaderFields headers) override;
  void WriteChunk(transport::ExchangeId exchange, std::string chunk) override;
  void EndStream(transport::ExchangeId exchange) override;

  /// Stops listening, and quits the event loop once every response was sent.
  void FinishAndQuit();

  /// Queue of the tasks that other threads post to this one.
  Mailbox& mailbox() { return mailbox_; }
  transport::HttpServer& server() { return server_; }

 private:
  void OnRequest(transport::HttpRequest request);

  Mailbox mailbox_;
  EventSink events_;
  transport::HttpServer server_;
  QTimer quit_timer_;
};

}  // namespace hawthorn::main

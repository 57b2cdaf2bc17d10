#include "main/threads/http_thread.h"

#include <QCoreApplication>
#include <cstdlib>
#include <thread>
#include <utility>

#include "main/http/json.h"

namespace hawthorn::main {

namespace {
constexpr std::chrono::milliseconds kRetryAfter{1000};
constexpr std::chrono::milliseconds kQuitPollInterval{10};
}  // namespace

HttpThread::HttpThread(transport::ListenerLimits limits,
                       const core::Clock& clock, EventSink events)
    : events_(std::move(events)),
      server_(
          limits, clock,
          [this](transport::HttpRequest request) {
            OnRequest(std::move(request));
          },
          [this](transport::ExchangeId id) {
            while (!events_(ClientDisconnected{id})) {
              std::this_thread::yield();
            }
          }) {}

core::Result<uint16_t> HttpThread::Listen(const std::string& address) {
  const size_t colon = address.rfind(':');
  return server_.Listen(address.substr(0, colon),
                        static_cast<uint16_t>(std::strtoul(
                            address.c_str() + colon + 1, nullptr, 10)));
}

void HttpThread::OnRequest(transport::HttpRequest request) {
  const transport::ExchangeId id = request.id;
  if (events_(RequestArrived{std::move(request)})) {
    return;
  }
  core::Error error = NotRun(core::ErrorCode::kOverloaded,
                             "the instance has no room for another request");
  error.retry_after = kRetryAfter;
  server_.Respond(id, StatusOf(error.code), ErrorHeaders(error),
                  ToJson(ErrorObject(error)) + "\n");
}

void HttpThread::FinishAndQuit() {
  mailbox_.Post([this] {
    server_.StopListening();
    QObject::connect(&quit_timer_, &QTimer::timeout, [this] {
      if (server_.AllSent()) {
        QCoreApplication::quit();
      }
    });
    quit_timer_.start(kQuitPollInterval);
  });
}

void HttpThread::Respond(transport::ExchangeId exchange, int status,
                         transport::HeaderFields headers, std::string body) {
  mailbox_.Post([this, exchange, status, headers = std::move(headers),
                 body = std::move(body)] {
    server_.Respond(exchange, status, headers, body);
  });
}

void HttpThread::BeginStream(transport::ExchangeId exchange, int status,
                             transport::HeaderFields headers) {
  mailbox_.Post([this, exchange, status, headers = std::move(headers)] {
    server_.BeginStream(exchange, status, headers);
  });
}

void HttpThread::WriteChunk(transport::ExchangeId exchange, std::string chunk) {
  mailbox_.Post([this, exchange, chunk = std::move(chunk)] {
    server_.WriteChunk(exchange, chunk);
  });
}

void HttpThread::EndStream(transport::ExchangeId exchange) {
  mailbox_.Post([this, exchange] { server_.EndStream(exchange); });
}

}  // namespace hawthorn::main

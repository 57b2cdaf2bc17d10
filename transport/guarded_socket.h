#pragma once

#include <QByteArray>
#include <QTcpSocket>
#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "transport/request_framer.h"

namespace hawthorn::transport {

/// Socket that is passed to the Qt HTTP server in place of the real one. It
/// delivers one complete, unambiguously framed request at a time; the next
/// request of the connection is read only after FinishExchange(). Bytes that
/// arrive while a request is handled are discarded, and the connection closes
/// after the response.
class GuardedSocket final : public QTcpSocket {
  Q_OBJECT

 public:
  /// Takes over the accepted connection `descriptor`.
  GuardedSocket(qintptr descriptor, FramingLimits limits,
                const core::Clock& clock, QObject* parent);
  ~GuardedSocket() override;

  /// Whether the client is still connected.
  bool alive() const { return alive_; }
  /// Bytes that were written but not sent yet.
  qint64 pending_bytes() const { return wire_.bytesToWrite(); }
  /// Whether a request was delivered and its exchange is not finished.
  bool busy() const { return busy_; }
  /// Time of the last byte in either direction.
  core::TimePoint last_activity() const { return last_activity_; }
  /// Time of the first byte of a request that has arrived in part.
  std::optional<core::TimePoint> partial_request_since() const {
    return busy_ ? std::nullopt : request_started_;
  }

  /// Ends the exchange after the whole response was written. The connection
  /// closes if `close` is set, if the client asked for it or if the client sent
  /// more bytes before the response was complete.
  void FinishExchange(bool close);

  /// Sends an error response without involving the server, and closes the
  /// connection.
  void RefuseConnection(int status, const std::string& reason);

  /// Closes at once and discards unsent bytes.
  void Abort();

  qint64 bytesAvailable() const override;
  bool isSequential() const override { return true; }
  void disconnectFromHost() override;

 protected:
  qint64 readData(char* data, qint64 max_size) override;
  qint64 writeData(const char* data, qint64 size) override;

 private:
  void OnWireReadable();
  void OnWireClosed();
  void DeliverRequest();

  QTcpSocket wire_;
  RequestFramer framer_;
  const core::Clock& clock_;
  QByteArray request_bytes_;
  core::TimePoint last_activity_;
  std::optional<core::TimePoint> request_started_;
  bool alive_ = true;
  bool busy_ = false;
  bool pipelined_ = false;
  bool continue_sent_ = false;
};

}  // namespace hawthorn::transport

#pragma once

#include <QByteArray>
#include <QTcpSocket>
#include <cstdint>
#include <string>

#include "core/clock.h"
#include "transport/request_framer.h"

namespace hawthorn::transport {

/// The socket that the Qt HTTP server sees. It stands before the real one and
/// hands over one complete, unambiguous request at a time; the next request
/// of the connection is read only after FinishExchange(). Bytes that arrive
/// while a request is answered are never run: the connection closes after
/// the answer.
class GuardedSocket final : public QTcpSocket {
  Q_OBJECT

 public:
  /// Takes over the accepted connection `descriptor`.
  GuardedSocket(qintptr descriptor, FramingLimits limits,
                const core::Clock& clock, QObject* parent);
  ~GuardedSocket() override;

  /// Whether the client is still connected.
  bool alive() const { return alive_; }
  /// Bytes written that the client has not yet taken.
  qint64 pending_bytes() const { return wire_.bytesToWrite(); }
  /// Whether a request was handed over and not yet finished.
  bool busy() const { return busy_; }
  /// Time of the last byte in either direction.
  core::TimePoint last_activity() const { return last_activity_; }
  /// Whether part of a request has arrived.
  bool has_partial_request() const { return framer_.started() && !busy_; }

  /// Ends the exchange after the whole answer was written. The connection
  /// closes if `close`, if the client asked for it or if it sent early bytes.
  void FinishExchange(bool close);

  /// Answers with an error of its own and closes the connection.
  void RefuseConnection(int status, const std::string& reason);

  /// Closes at once, dropping what was not yet sent.
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
  bool alive_ = true;
  bool busy_ = false;
  bool pipelined_ = false;
  bool continue_sent_ = false;
};

}  // namespace hawthorn::transport

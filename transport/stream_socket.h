#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/error.h"

// TCP sockets that tell an orderly end from a reset.
namespace hawthorn::transport {

/// IPv4 address and port.
struct SocketAddress {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
};

/// Parses "IP:port"; kInvalidArgument for anything else.
core::Result<SocketAddress> ParseAddress(std::string_view text);

/// How a connection ended.
enum class SocketEnd {
  kFinished,  ///< The peer closed its side in order.
  kReset,     ///< It was reset, timed out or could not be made.
};

/// Non-blocking TCP connection on the event loop of its thread. QTcpSocket
/// reports a reset like an orderly end, which decides here whether an answer
/// without a length is complete.
class StreamSocket final : public QObject {
  Q_OBJECT

 public:
  /// Callbacks may delete the socket by deleteLater only.
  struct Events {
    std::function<void()> on_connected;
    /// Bytes that arrived; valid during the call.
    std::function<void(std::string_view)> on_bytes;
    /// Called once; no other callback follows.
    std::function<void(SocketEnd)> on_end;
    /// Everything written so far was handed to the kernel.
    std::function<void()> on_drained;
  };

  /// Time after which unacknowledged bytes or probes end a connection whose
  /// peer is silent; below the contact time of deployments, 3 s.
  static constexpr std::chrono::milliseconds kPeerTimeout{1500};

  /// Time for a peer to read the last bytes and to close its side.
  static constexpr std::chrono::milliseconds kLingerTime{500};

  explicit StreamSocket(QObject* parent = nullptr);
  ~StreamSocket() override;

  void SetEvents(Events events) { events_ = std::move(events); }
  /// Replaces one of the callbacks.
  void SetDrainedHandler(std::function<void()> on_drained) {
    events_.on_drained = std::move(on_drained);
  }

  /// Takes over an accepted connection.
  void Adopt(int descriptor);
  /// Starts to connect; the outcome arrives as an event.
  void Connect(const SocketAddress& address);

  void Write(std::string_view bytes);
  /// Bytes that the kernel has not taken yet.
  size_t pending_bytes() const { return output_.size() - sent_; }
  /// Closes after everything written was handed over; on_end tells when.
  void CloseAfterWrite();
  /// Closes in order at once; unsent bytes are lost.
  void Close();
  /// Closes with a reset, so that a truncated answer cannot look complete.
  void Abort();
  /// Stops or resumes reading, to pass back pressure on.
  void SetReading(bool reading);

  bool is_open() const { return descriptor_ >= 0; }

 private:
  void CreateNotifiers();
  void OnReadable();
  void OnWritable();
  void Flush();
  void FinishOutput();
  void End(SocketEnd how);
  void CloseDescriptor(bool reset);
  void SetSocketOptions();

  Events events_;
  int descriptor_ = -1;
  bool connected_ = false;
  bool close_after_write_ = false;
  bool reading_ = true;
  std::string output_;
  size_t sent_ = 0;
  std::unique_ptr<QSocketNotifier> readable_;
  std::unique_ptr<QSocketNotifier> writable_;
};

/// Accepts TCP connections.
class StreamListener final : public QObject {
  Q_OBJECT

 public:
  /// Connections that the kernel keeps until they are accepted.
  static constexpr int kBacklog = 1024;

  explicit StreamListener(QObject* parent = nullptr) : QObject(parent) {}
  ~StreamListener() override;

  /// `on_accept` gets the descriptor of each connection and owns it.
  core::Status Listen(const SocketAddress& address,
                      std::function<void(int)> on_accept);
  /// Port that was taken; of use when 0 was asked for.
  uint16_t port() const { return port_; }
  void Close();

 private:
  void Accept();

  int descriptor_ = -1;
  uint16_t port_ = 0;
  std::function<void(int)> on_accept_;
  std::unique_ptr<QSocketNotifier> readable_;
};

}  // namespace hawthorn::transport

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
#include "transport/buffer_budget.h"

// TCP sockets that distinguish an orderly end of a connection from a reset.
namespace hawthorn::transport {

/// IP address and port.
struct SocketAddress {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
};

/// Parses "IP:port" with an IPv4 address; returns kInvalidArgument for anything
/// else.
core::Result<SocketAddress> ParseAddress(std::string_view text);

/// How a connection ended.
enum class SocketEnd {
  kFinished,  ///< The peer closed its side of the connection.
  kReset,     ///< Connecting failed, or the connection was reset or timed out.
};

/// Non-blocking TCP connection on the event loop of its thread. QTcpSocket
/// reports a reset like an orderly end, but a response without a length is
/// complete only after an orderly end.
class StreamSocket final : public QObject {
  Q_OBJECT

 public:
  /// Callbacks may delete the socket only by deleteLater.
  struct Events {
    std::function<void()> on_connected;
    /// The received bytes are valid only during the call.
    std::function<void(std::string_view)> on_bytes;
    /// Called once; no other callback follows.
    std::function<void(SocketEnd)> on_end;
    /// Everything written so far, but for the low water mark, was passed to the
    /// kernel.
    std::function<void()> on_drained;
  };

  /// Time without an acknowledgement after which a connection with
  /// unacknowledged bytes or keep-alive probes fails. Below the contact timeout
  /// of deployments, 3 s.
  static constexpr std::chrono::milliseconds kPeerTimeout{1500};

  /// Time that a peer gets to read the last bytes and to close its side.
  static constexpr std::chrono::milliseconds kLingerTime{500};

  /// Size of the kernel's send and receive buffer of a connection; the kernel
  /// doubles it for its own use. Left to itself, the kernel lets the buffers of
  /// one connection grow to several MB if the peer does not read.
  static constexpr int kKernelBufferBytes = 64 * 1024;
  /// Unit in which the output buffer grows; an empty buffer keeps no more than
  /// kKeptOutputBytes.
  static constexpr size_t kOutputStep = size_t{8} * 1024;
  static constexpr size_t kKeptOutputBytes = size_t{4} * 1024;

  explicit StreamSocket(QObject* parent = nullptr);
  ~StreamSocket() override;

  void SetEvents(Events events) { events_ = std::move(events); }
  /// Replaces one of the callbacks. It is called whenever bytes were passed to
  /// the kernel and no more than `low_water` are left.
  void SetDrainedHandler(std::function<void()> on_drained,
                         size_t low_water = 0) {
    events_.on_drained = std::move(on_drained);
    low_water_ = low_water;
  }
  /// Leaves a peer that acknowledges nothing to the time-outs of the user; by
  /// default the connection fails after kPeerTimeout. Call it before Connect.
  void DisablePeerTimeout() { has_peer_timeout_ = false; }
  /// Counts the output buffer against `budget`, which must outlive the socket.
  void SetBudget(BufferBudget* budget) { charge_.SetBudget(budget); }

  /// Takes over an accepted connection.
  void Adopt(int descriptor);
  /// Starts to connect; on_connected or on_end reports the outcome.
  void Connect(const SocketAddress& address);

  void Write(std::string_view bytes);
  /// Bytes that were not passed to the kernel yet.
  size_t pending_bytes() const { return output_.size() - sent_; }
  /// Closes after everything written was sent; on_end reports the close.
  void CloseAfterWrite();
  /// Closes at once: with an orderly end, or with a reset if bytes are unsent,
  /// so that what the peer has received cannot look complete.
  void Close();
  /// Closes with a reset, so that a truncated response cannot look complete.
  void Abort();
  /// Pauses or resumes reading, for backpressure.
  void SetReading(bool reading);

  bool is_open() const { return descriptor_ >= 0; }
  /// Why the connection failed; empty if it did not, or was reset here.
  std::string error_text() const;
  /// Whether bytes have arrived that were not read yet.
  bool HasUnreadInput() const;

 private:
  void CreateNotifiers();
  void Deliver(std::string_view bytes);
  void AppendOutput(std::string_view bytes);
  /// Discards the output, and frees its memory unless it is small.
  void ClearOutput();
  void OnReadable();
  void OnWritable();
  void Flush();
  void FinishOutput();
  void End(SocketEnd how);
  void CloseDescriptor(bool reset);
  void SetSocketOptions();

  Events events_;
  int descriptor_ = -1;
  /// Value of errno at the failure.
  int error_ = 0;
  bool connected_ = false;
  bool has_peer_timeout_ = true;
  bool close_after_write_ = false;
  bool reading_ = true;
  std::string output_;
  size_t sent_ = 0;
  size_t low_water_ = 0;
  BufferCharge charge_;
  std::unique_ptr<QSocketNotifier> readable_;
  std::unique_ptr<QSocketNotifier> writable_;
};

/// Accepts TCP connections.
class StreamListener final : public QObject {
  Q_OBJECT

 public:
  /// Maximum number of connections that the kernel queues until they are
  /// accepted.
  static constexpr int kBacklog = 1024;

  explicit StreamListener(QObject* parent = nullptr) : QObject(parent) {}
  ~StreamListener() override;

  /// `on_accept` receives the descriptor of each connection and its ownership.
  core::Status Listen(const SocketAddress& address,
                      std::function<void(int)> on_accept);
  /// Port that the listener is bound to, also if Listen was called with port 0.
  uint16_t port() const { return port_; }
  void Close();
  /// Accepts the connections that the kernel has queued, then closes.
  void AcceptAndClose();

 private:
  void Accept();

  int descriptor_ = -1;
  uint16_t port_ = 0;
  std::function<void(int)> on_accept_;
  std::unique_ptr<QSocketNotifier> readable_;
};

}  // namespace hawthorn::transport

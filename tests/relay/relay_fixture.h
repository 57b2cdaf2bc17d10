#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "control/deployment_state.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "platform/call_codec.h"
#include "relay/relay.h"
#include "tests/support/event_loop.h"
#include "transport/http_session.h"
#include "transport/stream_socket.h"

namespace hawthorn::relay {

using test::WaitFor;

/// Upstream on a free port; a script returns its response to each request.
class ScriptedUpstream {
 public:
  /// Sends `bytes`, then resets or closes the connection if so set.
  struct Step {
    std::string bytes;
    bool reset = false;
    bool close = false;
  };
  using Script = std::function<Step(const std::string& request)>;

  explicit ScriptedUpstream(Script script);

  std::string address() const;
  const std::vector<std::string>& requests() const { return requests_; }
  size_t connections() const { return connections_; }
  size_t closed_by_peer() const { return closed_; }
  /// Sends bytes on the latest connection.
  void Send(std::string_view bytes);
  /// Sends bytes on the connection with this number, counted from 0.
  void SendOn(size_t connection, std::string_view bytes);
  /// Bytes for this connection that the kernel has not taken yet.
  size_t PendingOn(size_t connection) const;
  /// Ends the connection with this number.
  void End(size_t connection, bool reset);
  /// Whether requests that need no work are answered; they are not recorded.
  bool answers_probes = true;
  std::string probe_response =
      "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  /// Stops listening; connections stay open.
  void StopListening() { listener_.Close(); }
  /// Stops listening and resets all connections.
  void Stop();

 private:
  struct Connection {
    transport::StreamSocket socket;
    transport::RequestFramer framer{transport::FramingLimits()};
  };

  void OnBytes(const std::shared_ptr<Connection>& connection,
               std::string_view bytes);

  Script script_;
  transport::StreamListener listener_;
  std::vector<std::shared_ptr<Connection>> open_;
  std::vector<std::string> requests_;
  size_t connections_ = 0;
  size_t closed_ = 0;
};

/// Returns a response with a signature and the id of the request.
std::string SignedResponse(const std::string& request, const std::string& body);
/// Returns the head of a chunked event stream.
std::string StreamHead(const std::string& request);
/// Returns one event as an HTTP chunk.
std::string EventChunk(int id);
std::string EventText(int id);
std::string IdOf(const std::string& request);

/// Ledger in the state of a deployment, to which commands are applied at once.
class MemoryLedger final : public TokenLedger {
 public:
  void Claim(const TokenClaim& claim, std::chrono::milliseconds timeout,
             ClaimCallback callback) override;
  void Settle(const TokenClaim& claim, int64_t used) override;

  /// Result of the next claims; an error if not set.
  std::optional<bool> grants = true;
  std::vector<TokenClaim> claims;
  std::map<std::string, int64_t> settled;
  /// The group records an upstream.
  void Announce(schema::UpstreamEntry entry);

  control::DeploymentState state;

 private:
  schema::DeploymentReply Apply(const schema::DeploymentCommand& command);

  uint64_t index_ = 0;
};

/// Caller with one connection.
class Caller {
 public:
  explicit Caller(uint16_t port);

  void Send(const std::string& bytes);
  void Disconnect() { socket_.Close(); }
  void SetReading(bool reading) { socket_.SetReading(reading); }
  const std::string& received() const { return received_; }
  bool ended() const { return ended_; }
  bool reset() const { return reset_; }

 private:
  transport::StreamSocket socket_;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

/// A relay with one service "llm" and the routes /turn/ (a resumable stream),
/// /once/ (not idempotent), /read/ (idempotent, two upstreams) and /kept/ (a
/// stream whose turns are kept).
class RelayFixture {
 public:
  /// Claims go to `shared_ledger`, or to `ledger` if it is null.
  explicit RelayFixture(
      std::chrono::milliseconds progress_timeout = RelayCall::kProgressTimeout,
      MemoryLedger* shared_ledger = nullptr,
      peer::PeerTransport* peers = nullptr, QuotaSource* quota = nullptr,
      TurnHistory* history = nullptr);

  /// Adds an upstream, or updates it with the record of a later revision.
  void AddUpstream(const std::string& id, const std::string& address,
                   uint64_t started_at_ms = 1,
                   std::optional<double> request_limit = std::nullopt);
  /// Replaces the organisations; nothing removes them. /once/ becomes public.
  void SetOrganisations(std::optional<OrganisationTable> organisations);
  /// Limits the connections to each upstream from all instances together.
  void SetConnectionLimit(uint32_t connections);
  static std::string Request(const std::string& path, const std::string& id,
                             const std::string& fields = "",
                             const std::string& body = "hi");
  uint16_t port() const { return endpoint_.port(); }

  MemoryLedger ledger;
  /// Adds an upstream of a software version.
  void AddUpstreamOfVersion(const std::string& id, const std::string& address,
                            const std::string& version,
                            uint64_t started_at_ms = 1);

  /// Digests of requests whose upstream crashed while running them.
  std::vector<uint64_t> crashes;
  /// Called for each of them, if set.
  std::function<void(const schema::ReportCrash&)> on_crash;
  /// Upstreams that said in a response that they are draining.
  std::vector<std::string> draining;
  /// Called for each suspected request that succeeded, if set.
  std::function<void(uint64_t)> on_success;
  /// Called for each request limit that a response changed, if set.
  std::function<void(const schema::UpstreamLimit&)> on_limit;
  /// Reports of the speed of upstreams.
  std::vector<schema::UpstreamSpeeds> speeds;
  /// What the relay buffers.
  transport::BufferBudget buffers{size_t{24} * 1024 * 1024};
  Relay& relay() { return relay_; }
  core::Metrics& metrics() { return metrics_; }

 private:
  /// Replaces the routing table.
  void SetTable(uint64_t version, uint32_t max_connections);
  /// Adds or updates an upstream from its entry without the common fields.
  void SetUpstream(schema::UpstreamEntry entry, const std::string& id,
                   const std::string& address, uint64_t started_at_ms);

  core::SystemClock clock_;
  core::Metrics metrics_;
  platform::PlatformCallCodec codec_;
  MemoryLedger* shared_ledger_;
  Relay relay_;
  transport::HttpEndpoint endpoint_;
  uint64_t revision_ = 0;
  std::optional<OrganisationTable> organisations_;
};

}  // namespace hawthorn::relay

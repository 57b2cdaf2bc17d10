#pragma once

#include <QTimer>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "findings.h"
#include "transport/request_framer.h"
#include "transport/response_reader.h"
#include "transport/stream_socket.h"

namespace hawthorn::soak {

/// How a link that the proxy carries is disturbed.
enum class LinkFault { kNone, kDelayed, kReset, kSilent, kSilentBack };

/// How an upstream answers wrongly.
enum class AnswerFault {
  kNone,
  kLateCopy,   ///< Sends the previous response again before the next one.
  kSurplus,    ///< Sends its response twice.
  kTruncated,  ///< Ends the connection within the response.
  kReset,      ///< Runs the request and resets the connection.
  kDribble,    ///< Sends a byte now and then and never ends.
  kInterim,    ///< Sends interim responses first.
  kEndless,    ///< Sends a head without end.
};

/// Number of events of a stream, tokens of each, and the response body.
constexpr int kStreamEvents = 5;
constexpr int64_t kTokensPerEvent = 10;
std::string PlainBody(const std::string& request_id);
std::string EventOf(const std::string& request_id, int number);
/// Body of the whole response to a request of `kind`.
std::string BodyOf(const std::string& request_id, const std::string& kind);

/// Loopback proxy in front of one upstream.
class Proxy {
 public:
  explicit Proxy(transport::SocketAddress target);

  std::string address() const;
  void SetFault(LinkFault fault);

 private:
  struct Link {
    transport::StreamSocket near;
    transport::StreamSocket far;
    /// Delayed bytes in both directions; bytes never overtake others.
    std::deque<std::string> to_near;
    std::deque<std::string> to_far;
    /// Whether bytes of a direction were lost.
    bool lost_to_near = false;
    bool lost_to_far = false;
  };

  void Accept(int descriptor);
  void Forward(const std::shared_ptr<Link>& link, bool to_far,
               std::string_view bytes);

  transport::SocketAddress target_;
  transport::StreamListener listener_;
  std::vector<std::shared_ptr<Link>> links_;
  LinkFault fault_ = LinkFault::kNone;
};

/// Upstream that announces itself, runs requests and fails on demand.
class FaultyUpstream {
 public:
  /// Returns the control addresses to announce to.
  using ControlAddresses = std::function<std::vector<std::string>()>;

  FaultyUpstream(Findings& findings, std::string service, std::string zone,
                 int number, uint64_t seed, ControlAddresses controls);

  void SetAnswerFault(AnswerFault fault) { answer_fault_ = fault; }
  void SetLinkFault(LinkFault fault) { proxy_.SetFault(fault); }
  /// Announces that it is draining; it comes back as another incarnation when
  /// `Return` is called.
  void Drain() { draining_ = true; }
  void Return();
  bool draining() const { return draining_; }
  const std::string& id() const { return id_; }

 private:
  struct Connection {
    transport::StreamSocket socket;
    transport::RequestFramer framer{transport::FramingLimits()};
    std::string previous;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept(int descriptor);
  void OnBytes(const ConnectionPtr& it, std::string_view bytes);
  void OnRequest(const ConnectionPtr& it, const std::string& message);
  void Respond(const ConnectionPtr& it, const std::string& request_id,
               const std::string& head, std::vector<std::string> parts);
  void SendPart(const ConnectionPtr& it, std::vector<std::string> parts,
                size_t next);
  void Dribble(const ConnectionPtr& it);
  void Announce();

  Findings& findings_;
  std::string service_;
  std::string zone_;
  std::string name_;
  std::string id_;
  int64_t born_;
  std::mt19937_64 random_;
  ControlAddresses controls_;
  transport::StreamListener listener_;
  Proxy proxy_;
  std::vector<ConnectionPtr> connections_;
  std::vector<std::shared_ptr<transport::StreamSocket>> announcements_;
  QTimer announce_timer_;
  int64_t sequence_ = 0;
  bool draining_ = false;
  int64_t drain_acknowledged_ = -1;
  AnswerFault answer_fault_ = AnswerFault::kNone;
  int incarnation_ = 0;
};

}  // namespace hawthorn::soak

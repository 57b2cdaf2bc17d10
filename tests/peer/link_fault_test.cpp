#include <QTcpServer>
#include <catch2/catch.hpp>
#include <random>

#include "peer/handshake.h"
#include "peer/link_context.h"
#include "tests/peer/peer_test_support.h"

namespace hawthorn::peer {
namespace {

using std::chrono::milliseconds;
using test::OptionsOf;
using test::Pair;
using test::SendRequest;
using test::TextMessage;
using test::TextOf;
using test::WaitUntil;

/// TCP client that sends bytes chosen by the test.
class RawClient {
 public:
  explicit RawClient(uint16_t port) {
    socket_.connectToHost("127.0.0.1", port);
    WaitUntil(
        [&] { return socket_.state() == QAbstractSocket::ConnectedState; });
  }

  void Write(const std::string& bytes) {
    socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket_.flush();
  }

  bool WaitForClose() {
    return WaitUntil(
        [&] { return socket_.state() == QAbstractSocket::UnconnectedState; });
  }

  schema::LinkHandshake ReadHandshake() {
    std::optional<schema::LinkHandshake> message;
    WaitUntil([&] {
      reader_.Append(socket_.readAll().toStdString());
      message = core::Value(reader_.Next());
      return message.has_value();
    });
    return *message;
  }

  /// Completes the handshake as the instance `self`.
  void Authenticate(const std::string& self, const std::string& peer) {
    const HandshakeInitiator handshake(core::InstanceId(self),
                                       core::InstanceId(peer), test::kKey,
                                       detail::NewNonce());
    Write(FrameHandshake(handshake.Hello()));
    const auto proof = handshake.OnChallenge(ReadHandshake());
    Write(FrameHandshake(core::Value(proof)));
  }

 private:
  QTcpSocket socket_;
  HandshakeReader reader_;
};

/// TCP proxy that records the bytes of the connecting side.
class RecordingProxy {
 public:
  explicit RecordingProxy(uint16_t target) {
    server_.listen(QHostAddress::LocalHost, 0);
    QObject::connect(
        &server_, &QTcpServer::newConnection, &server_, [this, target] {
          QTcpSocket* near = server_.nextPendingConnection();
          auto* far = new QTcpSocket(near);
          far->connectToHost("127.0.0.1", target);
          QObject::connect(near, &QTcpSocket::readyRead, near,
                           [this, near, far] {
                             const QByteArray it = near->readAll();
                             recorded_ += it.toStdString();
                             far->write(it);
                           });
          QObject::connect(far, &QTcpSocket::readyRead, near,
                           [near, far] { near->write(far->readAll()); });
        });
  }

  uint16_t port() const { return server_.serverPort(); }
  const std::string& recorded() const { return recorded_; }

 private:
  QTcpServer server_;
  std::string recorded_;
};

TEST_CASE("an unknown instance with the right key is refused and counted") {
  const Pair pair;
  const auto stranger = test::Start(OptionsOf("stranger"));
  (void)stranger->SetPeer(pair.right_id, test::AddressOf(*pair.b));
  const auto reply = SendRequest(*stranger, pair.right_id, "let me in");
  REQUIRE(core::ErrorOf(*reply).execution == core::Execution::kNotRun);
  REQUIRE(pair.b->counters().refused_handshakes == 1);
  REQUIRE(pair.b->counters().messages_in == 0);
}

TEST_CASE("an instance with a wrong key is refused by both sides") {
  PeerOptions left = OptionsOf("left");
  left.key = "another key of enough bytes";
  const Pair pair(left);
  int handled = 0;
  pair.b->SetHandler([&](const auto&, const Replier&) { ++handled; });
  const auto reply = SendRequest(*pair.a, pair.right_id, "let me in");
  REQUIRE(core::ErrorOf(*reply).execution == core::Execution::kNotRun);
  REQUIRE(pair.a->counters().refused_handshakes == 1);

  // An initiator that does not check the acceptor's proof still cannot prove
  // the key itself.
  RawClient client(pair.b->port());
  const HandshakeInitiator forged(pair.left_id, pair.right_id, test::kKey,
                                  std::string(kNonceBytes, 'n'));
  client.Write(FrameHandshake(forged.Hello()));
  (void)client.ReadHandshake();
  schema::LinkHandshake proof;
  proof.set_proof(std::string(32, 'p'));
  client.Write(FrameHandshake(proof));
  REQUIRE(client.WaitForClose());
  REQUIRE(pair.b->counters().refused_handshakes >= 1);
  REQUIRE(handled == 0);
}

TEST_CASE("a recorded connection that is replayed is refused") {
  const Pair pair;
  int handled = 0;
  pair.b->SetHandler([&](const auto& message, const Replier& replier) {
    ++handled;
    test::Echo(message, replier);
  });
  const RecordingProxy proxy(pair.b->port());
  (void)pair.a->SetPeer(pair.right_id, test::AddressOf(proxy.port()));
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "book")) == "book");
  REQUIRE(proxy.recorded().size() > 100);
  RawClient attacker(pair.b->port());
  attacker.Write(proxy.recorded());
  REQUIRE(attacker.WaitForClose());
  REQUIRE(pair.b->counters().refused_handshakes == 1);
  REQUIRE(handled == 1);
}

TEST_CASE(
    "a connection that sends nothing is closed after the handshake timeout") {
  PeerOptions right = OptionsOf("right");
  right.handshake_timeout = milliseconds(60);
  const Pair pair(OptionsOf("left"), right);
  RawClient client(pair.b->port());
  REQUIRE(client.WaitForClose());
  REQUIRE(pair.b->counters().refused_handshakes == 1);
}

TEST_CASE("the number of connections in their handshake is limited") {
  PeerOptions right = OptionsOf("right");
  right.max_handshakes = 2;
  const Pair pair(OptionsOf("left"), right);
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int n = 0; n < 5; ++n) {
    clients.push_back(std::make_unique<RawClient>(pair.b->port()));
  }
  REQUIRE(
      WaitUntil([&] { return pair.b->counters().refused_handshakes == 3; }));
}

TEST_CASE("garbage in place of the handshake is refused") {
  const Pair pair;
  pair.b->SetHandler(test::Echo);
  std::mt19937_64 random(2026);
  constexpr int kRounds = 30;
  for (int n = 0; n < kRounds; ++n) {
    std::string garbage(random() % 3000 + 6, '\0');
    for (char& it : garbage) {
      it = static_cast<char>(random());
    }
    if (n % 3 == 0) {
      garbage.replace(0, 6, std::string("HWL1\x00\x20", 6));
    }
    RawClient client(pair.b->port());
    client.Write(garbage);
    REQUIRE(client.WaitForClose());
  }
  REQUIRE(pair.b->counters().refused_handshakes == kRounds);
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "well")) == "well");
}

TEST_CASE("garbage after the handshake closes only that link") {
  const Pair pair;
  pair.b->SetHandler(test::Echo);
  std::mt19937_64 random(2026);
  constexpr int kRounds = 20;
  for (int n = 0; n < kRounds; ++n) {
    std::string garbage = n % 2 == 0 ? "" : "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    for (int size = 0; size < 2000; ++size) {
      garbage.push_back(static_cast<char>(random()));
    }
    RawClient client(pair.b->port());
    client.Authenticate("left", "right");
    client.Write(garbage);
    REQUIRE(client.WaitForClose());
  }
  REQUIRE(pair.b->counters().protocol_errors == kRounds);
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "well")) == "well");
}

TEST_CASE(
    "the outcome of a request whose peer stops before its reply is unknown") {
  Pair pair;
  bool arrived = false;
  std::optional<Replier> saved;
  pair.b->SetHandler([&](const auto&, const Replier& replier) {
    arrived = true;
    saved = replier;
  });
  std::optional<core::Result<schema::PeerMessage>> reply;
  pair.a->Request(pair.right_id, TextMessage("book"), test::kDeadline,
                  [&](auto result) { reply = std::move(result); });
  REQUIRE(WaitUntil([&] { return arrived; }));
  pair.b.reset();
  REQUIRE(WaitUntil([&] { return reply.has_value(); }));
  REQUIRE(core::ErrorOf(*reply).code == core::ErrorCode::kUnavailable);
  REQUIRE(core::ErrorOf(*reply).execution == core::Execution::kUnknown);
  REQUIRE_FALSE(saved->IsOpen());
}

TEST_CASE("a request to a peer that was never reached is not run") {
  Pair pair;
  pair.b.reset();
  const auto reply = SendRequest(*pair.a, pair.right_id, "book");
  REQUIRE(core::ErrorOf(*reply).code == core::ErrorCode::kUnavailable);
  REQUIRE(core::ErrorOf(*reply).execution == core::Execution::kNotRun);
  REQUIRE(core::ErrorOf(*reply).retry_after.has_value());
}

TEST_CASE("a link opens again after the peer restarted") {
  Pair pair;
  pair.b->SetHandler(test::Echo);
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "before")) == "before");
  const std::string address = test::AddressOf(*pair.b);
  pair.b.reset();
  REQUIRE(WaitUntil([&] { return !pair.a->IsConnected(pair.right_id); }));
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "during")) == "no reply");
  PeerOptions again = OptionsOf("right");
  again.listen_address = address;
  pair.b = test::Start(again);
  REQUIRE(pair.b != nullptr);
  pair.SetPeers();
  pair.b->SetHandler(test::Echo);
  size_t attempts = 0;
  std::string text = "no reply";
  while (text == "no reply" && attempts < 100000) {
    ++attempts;
    text = TextOf(SendRequest(*pair.a, pair.right_id, "after"));
  }
  REQUIRE(text == "after");
}

TEST_CASE("a cut link carries nothing until it is restored") {
  const Pair pair;
  pair.b->SetHandler(test::Echo);
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "before")) == "before");
  pair.b->CutLinks({pair.left_id});
  const auto cut =
      SendRequest(*pair.a, pair.right_id, "during", milliseconds(200));
  REQUIRE(core::ErrorOf(*cut).code == core::ErrorCode::kDeadlineExceeded);
  REQUIRE(core::ErrorOf(*cut).execution == core::Execution::kUnknown);
  REQUIRE(pair.b->counters().cut > 0);
  pair.b->CutLinks({});
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "after")) == "after");
}

TEST_CASE("a request over a link that its sender cut is not run") {
  const Pair pair;
  int handled = 0;
  pair.b->SetHandler([&](const auto& message, const Replier& replier) {
    ++handled;
    test::Echo(message, replier);
  });
  pair.a->CutLinks({pair.right_id});
  const auto reply =
      SendRequest(*pair.a, pair.right_id, "book", milliseconds(100));
  REQUIRE(core::ErrorOf(*reply).execution == core::Execution::kNotRun);
  REQUIRE(pair.a->counters().cut > 0);
  REQUIRE(handled == 0);
}

TEST_CASE(
    "a link without a received byte is closed and its requests end as "
    "unknown") {
  PeerOptions left = OptionsOf("left");
  left.ping_after = milliseconds(50);
  left.receive_timeout = milliseconds(200);
  const Pair pair(left);
  pair.b->SetHandler(test::Echo);
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "before")) == "before");
  pair.b->CutLinks({pair.left_id});
  const auto reply = SendRequest(*pair.a, pair.right_id, "during");
  REQUIRE(core::ErrorOf(*reply).code == core::ErrorCode::kUnavailable);
  REQUIRE(core::ErrorOf(*reply).execution == core::Execution::kUnknown);
  REQUIRE(pair.a->counters().links_closed == 1);
}

TEST_CASE("pings keep a quiet link open") {
  PeerOptions left = OptionsOf("left");
  left.ping_after = milliseconds(20);
  left.receive_timeout = milliseconds(400);
  const Pair pair(left);
  pair.b->SetHandler(test::Echo);
  REQUIRE(TextOf(SendRequest(*pair.a, pair.right_id, "before")) == "before");
  const uint64_t before = pair.b->counters().bytes_in;
  // Each ping is 17 bytes; 60 of them take longer than receive_timeout.
  REQUIRE(WaitUntil(
      [&] { return pair.b->counters().bytes_in >= before + 60 * 17; }));
  REQUIRE(pair.a->IsConnected(pair.right_id));
  REQUIRE(pair.a->counters().links_closed == 0);
}

TEST_CASE("a full queue refuses messages and loses none that it accepted") {
  PeerOptions left = OptionsOf("left");
  left.max_queued_bytes = 10'000;
  const Pair pair(left);
  size_t received = 0;
  pair.b->SetHandler([&](const auto&, const Replier&) { ++received; });
  size_t accepted = 0;
  size_t refused = 0;
  for (int n = 0; n < 20; ++n) {
    const auto status =
        pair.a->Send(pair.right_id, TextMessage(std::string(1'000, 'x')));
    core::IsOk(status) ? ++accepted : ++refused;
  }
  REQUIRE(refused > 0);
  REQUIRE(pair.a->counters().refused_messages == refused);
  REQUIRE(WaitUntil([&] { return received == accepted; }));
}

}  // namespace
}  // namespace hawthorn::peer

#include "transport/http_server.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <vector>

#include "core/clock.h"
#include "tests/support/event_loop.h"

namespace hawthorn::transport {
namespace {

using test::ProcessEvents;
using test::WaitFor;

/// Server that records its requests and the exchanges whose clients
/// disconnected.
struct ServerFixture {
  explicit ServerFixture(ListenerLimits limits = {})
      : server(
            limits, clock,
            [this](HttpRequest request) { requests.push_back(request); },
            [this](ExchangeId id) { disconnected.push_back(id); }) {
    port = core::Value(server.Listen("127.0.0.1", 0));
  }

  std::unique_ptr<QTcpSocket> Connect() const {
    auto socket = std::make_unique<QTcpSocket>();
    socket->connectToHost(QHostAddress::LocalHost, port);
    REQUIRE(WaitFor(
        [&] { return socket->state() == QAbstractSocket::ConnectedState; }));
    return socket;
  }

  core::ManualClock clock;
  std::vector<HttpRequest> requests;
  std::vector<ExchangeId> disconnected;
  HttpServer server;
  uint16_t port = 0;
};

std::string ReadUntil(QTcpSocket& socket, const std::string& end) {
  std::string text;
  WaitFor([&] {
    text += socket.readAll().toStdString();
    return text.find(end) != std::string::npos ||
           socket.state() != QAbstractSocket::ConnectedState;
  });
  return text + socket.readAll().toStdString();
}

constexpr char kGet[] = "GET /a?n=1 HTTP/1.1\r\nHost: x\r\n\r\n";

TEST_CASE("the connection stays open after a response") {
  ServerFixture fixture;
  const auto client = fixture.Connect();
  for (size_t n = 1; n <= 3; ++n) {
    client->write(kGet);
    REQUIRE(WaitFor([&] { return fixture.requests.size() == n; }));
    const HttpRequest& request = fixture.requests.back();
    REQUIRE(request.path == "/a");
    REQUIRE(request.Query("n") == "1");
    fixture.server.Respond(request.id, 200, {{"X-Test", "y"}}, "body");
    const std::string response = ReadUntil(*client, "body");
    REQUIRE(response.find("200 OK") != std::string::npos);
    REQUIRE(response.find("X-Test: y") != std::string::npos);
  }
}

TEST_CASE("a request split over packets is received completely") {
  ServerFixture fixture;
  const auto client = fixture.Connect();
  const std::string request =
      "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd";
  for (const char c : request) {
    client->write(&c, 1);
    client->flush();
    QCoreApplication::processEvents();
  }
  REQUIRE(WaitFor([&] { return fixture.requests.size() == 1; }));
  REQUIRE(fixture.requests[0].body == "abcd");
}

TEST_CASE(
    "a client that disconnects during a stream does not crash the server") {
  ServerFixture fixture;
  auto client = fixture.Connect();
  client->write(kGet);
  REQUIRE(WaitFor([&] { return fixture.requests.size() == 1; }));
  const ExchangeId id = fixture.requests[0].id;
  fixture.server.BeginStream(id, 200, {});
  fixture.server.WriteChunk(id, "first");
  REQUIRE(ReadUntil(*client, "first").find("first") != std::string::npos);
  client->abort();
  REQUIRE(WaitFor([&] { return !fixture.disconnected.empty(); }));
  REQUIRE(fixture.disconnected == std::vector<ExchangeId>{id});
  for (int n = 0; n < 1000; ++n) {
    fixture.server.WriteChunk(id, "late piece");
  }
  fixture.server.EndStream(id);
  fixture.server.Respond(id, 200, {}, "late answer");
  const auto other = fixture.Connect();
  other->write(kGet);
  REQUIRE(WaitFor([&] { return fixture.requests.size() == 2; }));
}

TEST_CASE("a pipelined request is not run and responses do not cross") {
  ServerFixture fixture;
  const auto client = fixture.Connect();
  const std::string early = "GET /early HTTP/1.1\r\nHost: x\r\n\r\n";
  SECTION("in the same packet") {
    client->write((std::string(kGet) + early).c_str());
    REQUIRE(WaitFor([&] { return fixture.requests.size() == 1; }));
  }
  SECTION("in a later packet") {
    client->write(kGet);
    REQUIRE(WaitFor([&] { return fixture.requests.size() == 1; }));
    client->write(early.c_str());
    client->flush();
  }
  ProcessEvents();
  fixture.server.Respond(fixture.requests[0].id, 200, {}, "the only answer");
  REQUIRE(WaitFor(
      [&] { return client->state() == QAbstractSocket::UnconnectedState; }));
  const std::string response = client->readAll().toStdString();
  REQUIRE(response.find("the only answer") != std::string::npos);
  REQUIRE(fixture.requests.size() == 1);
}

TEST_CASE("ambiguous framing is refused with 400") {
  ServerFixture fixture;
  const auto client = fixture.Connect();
  client->write(
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  REQUIRE(ReadUntil(*client, "}}").find("400 Bad Request") !=
          std::string::npos);
  REQUIRE(fixture.requests.empty());
}

TEST_CASE("connections beyond the limit are refused with 503") {
  ListenerLimits limits;
  limits.max_connections = 2;
  ServerFixture fixture(limits);
  const auto first = fixture.Connect();
  const auto second = fixture.Connect();
  REQUIRE(WaitFor([&] { return fixture.server.connection_count() == 2; }));
  // The refusal may close the connection before the client reports it as open.
  QTcpSocket third;
  third.connectToHost(QHostAddress::LocalHost, fixture.port);
  REQUIRE(WaitFor([&] { return third.bytesAvailable() > 0; }));
  REQUIRE(ReadUntil(third, "}}").find("503") != std::string::npos);
  first->abort();
  REQUIRE(WaitFor([&] { return fixture.server.connection_count() == 1; }));
  const auto fourth = fixture.Connect();
  fourth->write(kGet);
  REQUIRE(WaitFor([&] { return fixture.requests.size() == 1; }));
}

TEST_CASE("an incomplete request times out with 408") {
  ListenerLimits limits;
  limits.request_timeout = std::chrono::seconds(10);
  ServerFixture fixture(limits);
  const auto client = fixture.Connect();
  client->write("POST /slow HTTP/1.1\r\nHost: x\r\nContent-Len");
  REQUIRE(WaitFor([&] { return fixture.server.connection_count() == 1; }));
  ProcessEvents();
  fixture.clock.Advance(std::chrono::seconds(11));
  REQUIRE(ReadUntil(*client, "}}").find("408") != std::string::npos);
}

// Guards against a slow sender that holds a connection for ever.
TEST_CASE("the timeout of a request runs from its first byte") {
  ListenerLimits limits;
  limits.request_timeout = std::chrono::seconds(10);
  ServerFixture fixture(limits);
  const auto client = fixture.Connect();
  client->write("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(WaitFor([&] { return fixture.requests.size() == 1; }));
  fixture.clock.Advance(std::chrono::seconds(9));
  fixture.server.Respond(fixture.requests[0].id, 200, {}, "{}");
  REQUIRE(ReadUntil(*client, "{}").find("200") != std::string::npos);
  // The next request of the connection has its own time.
  client->write("POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n");
  for (int n = 0; n < 3; ++n) {
    ProcessEvents();
    CHECK(client->readAll().isEmpty());
    fixture.clock.Advance(std::chrono::seconds(3));
    client->write("x");
  }
  ProcessEvents();
  fixture.clock.Advance(std::chrono::seconds(3));
  client->write("x");
  REQUIRE(ReadUntil(*client, "}}").find("408") != std::string::npos);
}

TEST_CASE("an idle connection is closed without a response") {
  ServerFixture fixture;
  const auto client = fixture.Connect();
  REQUIRE(WaitFor([&] { return fixture.server.connection_count() == 1; }));
  fixture.clock.Advance(std::chrono::seconds(61));
  REQUIRE(WaitFor(
      [&] { return client->state() == QAbstractSocket::UnconnectedState; }));
  REQUIRE(client->readAll().isEmpty());
}

}  // namespace
}  // namespace hawthorn::transport

#include "transport/http_client.h"

#include <sys/socket.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <catch2/catch.hpp>
#include <optional>

#include "tests/support/event_loop.h"

namespace hawthorn::transport {
namespace {

using test::WaitFor;

/// Closes a connection with a reset.
void Reset(QTcpSocket& socket) {
  const linger option{1, 0};
  setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER,
             &option, sizeof(option));
  socket.abort();
}

/// Upstream that responds to every complete request with fixed bytes and, by
/// default, closes the connection after each.
struct FakeUpstream {
  explicit FakeUpstream(std::string response, bool closes = true,
                        bool resets = false)
      : response(std::move(response)), closes(closes) {
    server.listen(QHostAddress::LocalHost);
    QObject::connect(&server, &QTcpServer::newConnection, [this, resets] {
      QTcpSocket* socket = server.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, [this, socket, resets] {
        received += socket->readAll();
        if (received.endsWith("END")) {
          ++requests;
          received.clear();
          socket->write(this->response.c_str());
          if (resets) {
            socket->flush();
            // The end follows the bytes after they were received.
            QTimer::singleShot(std::chrono::milliseconds(50), socket,
                               [socket] { Reset(*socket); });
          } else if (this->closes) {
            socket->disconnectFromHost();
          }
        }
      });
    });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server.serverPort());
  }

  std::string response;
  bool closes;
  QTcpServer server;
  QByteArray received;
  int requests = 0;
};

struct ClientFixture {
  ClientFixture()
      : client([this](ClientCallId, std::string chunk) { body += chunk; },
               [this](ClientCallId, ClientResponse it) { response = it; }) {}

  ClientResponse Call(const std::string& address) {
    ClientRequest request;
    request.id = 7;
    request.address = address;
    request.body = "END";
    client.Start(request);
    REQUIRE(WaitFor([&] { return response.has_value(); }));
    return *response;
  }

  std::string body;
  std::optional<ClientResponse> response;
  HttpClient client;
};

TEST_CASE("a response with a Content-Length is received completely") {
  FakeUpstream upstream("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  ClientFixture fixture;
  const ClientResponse response = fixture.Call(upstream.address());
  REQUIRE(response.complete);
  REQUIRE(response.status == 200);
  REQUIRE(fixture.body == "hello");
}

TEST_CASE("a chunked response is received completely") {
  FakeUpstream upstream(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");
  ClientFixture fixture;
  REQUIRE(fixture.Call(upstream.address()).complete);
  REQUIRE(fixture.body == "hello world");
}

TEST_CASE(
    "a request is not retried when the upstream closes without a response") {
  FakeUpstream upstream("");
  ClientFixture fixture;
  const ClientResponse response = fixture.Call(upstream.address());
  REQUIRE_FALSE(response.complete);
  REQUIRE(response.error.execution == core::Execution::kUnknown);
  REQUIRE(upstream.requests == 1);
}

TEST_CASE("a truncated response is not reported as complete") {
  FakeUpstream upstream(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel");
  ClientFixture fixture;
  const ClientResponse response = fixture.Call(upstream.address());
  REQUIRE_FALSE(response.complete);
  REQUIRE(response.error.execution == core::Execution::kUnknown);
}

// Guards against an answer with an empty or short body that looks whole: the
// upstream stopped in the middle of the head, also after an interim response.
TEST_CASE("a response whose head is cut is not complete") {
  const std::string interim =
      GENERATE("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
  const std::string framing =
      GENERATE("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "");
  const std::string head =
      interim + "HTTP/1.1 200 OK\r\nX-A: b\r\n" + framing + "\r\n";
  for (size_t kept = 0; kept < head.size(); ++kept) {
    CAPTURE(interim, framing, kept);
    FakeUpstream upstream(head.substr(0, kept));
    ClientFixture fixture;
    const ClientResponse response = fixture.Call(upstream.address());
    CHECK_FALSE(response.complete);
    CHECK(response.error.execution == core::Execution::kUnknown);
  }
}

// Guards against an answer that breaks off and looks whole: only the orderly
// end of the connection marks the end of a body without a length.
TEST_CASE("a response that a reset ends is not complete") {
  const std::string framing =
      GENERATE("", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n");
  const std::string body =
      framing.starts_with("T") ? "5\r\nhello\r\n" : "hello";
  CAPTURE(framing);
  FakeUpstream upstream("HTTP/1.1 200 OK\r\n" + framing + "\r\n" + body, true,
                        true);
  ClientFixture fixture;
  const ClientResponse response = fixture.Call(upstream.address());
  CHECK(fixture.body == "hello");
  CHECK_FALSE(response.complete);
  CHECK(response.error.execution == core::Execution::kUnknown);
}

TEST_CASE("a response without a length ends with its connection") {
  FakeUpstream upstream("HTTP/1.1 200 OK\r\n\r\nhello");
  ClientFixture fixture;
  CHECK(fixture.Call(upstream.address()).complete);
  CHECK(fixture.body == "hello");
}

TEST_CASE("a response that is not valid is not complete") {
  const std::string head = GENERATE(
      "HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n",
      "HTTP/1.1 200 OK\r\nX A: b\r\n", "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n");
  CAPTURE(head);
  FakeUpstream upstream(head + "Content-Length: 5\r\n\r\nhello");
  ClientFixture fixture;
  const ClientResponse response = fixture.Call(upstream.address());
  CHECK_FALSE(response.complete);
  CHECK(response.status == 0);
  CHECK(fixture.body.empty());
  CHECK(response.error.message.starts_with("malformed answer: "));
}

TEST_CASE("an interim response is not the response") {
  FakeUpstream upstream(
      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  ClientFixture fixture;
  const ClientResponse response = fixture.Call(upstream.address());
  CHECK(response.complete);
  CHECK(response.status == 200);
  CHECK(fixture.body == "hello");
}

TEST_CASE("a call whose connection is refused is reported as not run") {
  QTcpServer closed;
  closed.listen(QHostAddress::LocalHost);
  const std::string address =
      "127.0.0.1:" + std::to_string(closed.serverPort());
  closed.close();
  ClientFixture fixture;
  const ClientResponse response = fixture.Call(address);
  REQUIRE_FALSE(response.complete);
  REQUIRE(response.error.execution == core::Execution::kNotRun);
}

TEST_CASE("an upstream may have an IPv6 address") {
  FakeUpstream upstream("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  upstream.server.close();
  if (!upstream.server.listen(QHostAddress::LocalHostIPv6)) {
    WARN("this machine has no IPv6");
    return;
  }
  ClientFixture fixture;
  const std::string port = std::to_string(upstream.server.serverPort());
  CHECK(fixture.Call("::1:" + port).complete);
  CHECK(fixture.body == "hello");
}

TEST_CASE("a cancelled call closes its connection and reports nothing") {
  FakeUpstream upstream("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
                        /*closes=*/false);
  ClientFixture fixture;
  ClientRequest request;
  request.id = 8;
  request.address = upstream.address();
  request.body = "END";
  fixture.client.Start(request);
  REQUIRE(WaitFor([&] { return fixture.body == "hello"; }));
  fixture.client.Cancel(8);
  REQUIRE(fixture.client.open_calls() == 0);
  test::ProcessEvents();
  REQUIRE_FALSE(fixture.response.has_value());
}

}  // namespace
}  // namespace hawthorn::transport

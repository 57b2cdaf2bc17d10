#include "transport/http_session.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <stdexcept>
#include <string>

#include "tests/support/event_loop.h"

namespace hawthorn::transport {
namespace {

using test::WaitFor;

/// Client with one connection.
class Client {
 public:
  explicit Client(uint16_t port) {
    socket_.SetEvents(
        {.on_connected = {},
         .on_bytes = [this](std::string_view it) { received.append(it); },
         .on_end =
             [this](SocketEnd how) {
               ended = true;
               reset = how == SocketEnd::kReset;
             },
         .on_drained = {}});
    socket_.Connect({"127.0.0.1", port});
  }

  void Send(std::string_view bytes) { socket_.Write(bytes); }

  std::string received;
  bool ended = false;
  bool reset = false;

 private:
  StreamSocket socket_;
};

std::string Get(const std::string& target, const char* version = "1.1") {
  return "GET " + target + " HTTP/" + version + "\r\nHost: h\r\n\r\n";
}

/// Connects without the event loop, so that nothing is accepted meanwhile.
int ConnectNow(uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(::connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
  return descriptor;
}

TEST_CASE("an unexpected error in a handler ends its connection only") {
  HttpEndpoint endpoint([](HttpSession& session, const RelayRequest& request) {
    if (request.target == "/bad") {
      throw std::runtime_error("unexpected");
    }
    session.Respond(200, {}, "fine");
  });
  REQUIRE(core::IsOk(endpoint.Listen({"127.0.0.1", 0})));
  Client open(endpoint.port());
  open.Send(Get("/good"));
  REQUIRE(WaitFor([&] { return open.received.ends_with("fine"); }));
  Client bad(endpoint.port());
  bad.Send(Get("/bad"));
  REQUIRE(WaitFor([&] { return bad.ended; }));
  CHECK(bad.received.empty());
  open.received.clear();
  open.Send(Get("/good"));
  CHECK(WaitFor([&] { return open.received.ends_with("fine"); }));
}

TEST_CASE("connections that wait to be accepted are served before the end") {
  HttpEndpoint endpoint([](HttpSession& session, const RelayRequest&) {
    session.Respond(200, {}, "fine");
  });
  REQUIRE(core::IsOk(endpoint.Listen({"127.0.0.1", 0})));
  const int waiting = ConnectNow(endpoint.port());
  const std::string request = Get("/x");
  REQUIRE(send(waiting, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size()));
  endpoint.StopListening();
  CHECK(endpoint.session_count() == 1);
  std::string received;
  REQUIRE(WaitFor([&] {
    char buf[4096];
    const ssize_t n = recv(waiting, buf, sizeof(buf), MSG_DONTWAIT);
    if (n > 0) {
      received.append(buf, static_cast<size_t>(n));
    }
    return received.ends_with("fine");
  }));
  CHECK(received.find("Connection: close") != std::string::npos);
  close(waiting);
}

// A request that had reached an idle connection, but was not read yet when the
// connections were drained, was dropped without a response.
TEST_CASE("a request that arrived before the drain is served") {
  HttpEndpoint endpoint([](HttpSession& session, const RelayRequest&) {
    session.Respond(200, {}, "fine");
  });
  REQUIRE(core::IsOk(endpoint.Listen({"127.0.0.1", 0})));
  const int client = ConnectNow(endpoint.port());
  REQUIRE(WaitFor([&] { return endpoint.session_count() == 1; }));
  const std::string request = Get("/x");
  REQUIRE(send(client, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size()));
  endpoint.DrainConnections();
  std::string received;
  CHECK(WaitFor([&] {
    char buf[4096];
    const ssize_t n = recv(client, buf, sizeof(buf), MSG_DONTWAIT);
    if (n > 0) {
      received.append(buf, static_cast<size_t>(n));
    }
    return n == 0 || received.ends_with("fine");
  }));
  CHECK(received.ends_with("fine"));
  CHECK(received.find("Connection: close") != std::string::npos);
  close(client);
}

TEST_CASE("an HTTP/1.0 client gets a body without chunks") {
  HttpEndpoint endpoint([](HttpSession& session, const RelayRequest&) {
    session.BeginBody({200, {}}, std::nullopt);
    session.WriteBody("one ");
    session.WriteBody("two");
    session.EndBody();
  });
  REQUIRE(core::IsOk(endpoint.Listen({"127.0.0.1", 0})));
  Client client(endpoint.port());
  client.Send(Get("/x", "1.0"));
  REQUIRE(WaitFor([&] { return client.ended; }));
  CHECK_FALSE(client.reset);
  CHECK(client.received.find("chunked") == std::string::npos);
  CHECK(client.received.ends_with("\r\n\r\none two"));
}

// A process that ended, or an endpoint that was destroyed, closed the
// connection in order: to an HTTP/1.0 client the part that it had looked
// complete.
TEST_CASE("a response that is cut off by the end of its endpoint is reset") {
  auto endpoint = std::make_unique<HttpEndpoint>(
      [](HttpSession& session, const RelayRequest&) {
        session.BeginBody({200, {}}, std::nullopt);
        session.WriteBody("one ");
      });
  REQUIRE(core::IsOk(endpoint->Listen({"127.0.0.1", 0})));
  Client client(endpoint->port());
  client.Send(Get("/x", "1.0"));
  REQUIRE(WaitFor([&] { return client.received.ends_with("one "); }));
  endpoint.reset();
  REQUIRE(WaitFor([&] { return client.ended; }));
  CHECK(client.reset);
}

// A client that reads steadily but is always behind: the output buffer kept all
// that had been sent since it was last empty.
TEST_CASE("the output buffer does not keep what was sent") {
  constexpr size_t kPieceBytes = size_t{16} * 1024;
  // More than the kernel takes at once, so that the buffer is never empty.
  constexpr size_t kHighWater = 32 * kPieceBytes;
  constexpr size_t kBodyBytes = size_t{16} * 1024 * 1024;
  BufferBudget budget(0);
  size_t written = 0;
  HttpSession* open = nullptr;
  const auto write_more = [&] {
    while (open->pending_bytes() < kHighWater && written < kBodyBytes) {
      written += kPieceBytes;
      open->WriteBody(std::string(kPieceBytes, 'b'));
    }
  };
  HttpEndpoint endpoint([&](HttpSession& session, const RelayRequest&) {
    open = &session;
    session.BeginBody({200, {}}, kBodyBytes);
    session.SetDrainedHandler(write_more, kHighWater - kPieceBytes);
    write_more();
  });
  endpoint.SetBudget(&budget);
  REQUIRE(core::IsOk(endpoint.Listen({"127.0.0.1", 0})));
  const int client = ConnectNow(endpoint.port());
  const std::string request = Get("/x");
  REQUIRE(::send(client, request.data(), request.size(), 0) ==
          static_cast<ssize_t>(request.size()));
  std::string buf(kPieceBytes, '\0');
  CHECK(WaitFor([&] {
    ::recv(client, buf.data(), buf.size(), MSG_DONTWAIT);
    return written == kBodyBytes;
  }));
  CHECK(budget.peak() < 2 * kHighWater);
  ::close(client);
}

}  // namespace
}  // namespace hawthorn::transport

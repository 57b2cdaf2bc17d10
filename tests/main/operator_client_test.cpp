#include "main/ctl/operator_client.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <catch2/catch.hpp>
#include <string>

namespace hawthorn::ctl {
namespace {

/// An instance that sends fixed bytes to each request and ends the connection.
struct CuttingInstance {
  CuttingInstance(std::string bytes, bool resets) {
    server.listen(QHostAddress::LocalHost);
    QObject::connect(
        &server, &QTcpServer::newConnection, &server,
        [this, bytes = std::move(bytes), resets] {
          QTcpSocket* socket = server.nextPendingConnection();
          QObject::connect(
              socket, &QTcpSocket::readyRead, socket, [socket, bytes, resets] {
                if (!socket->readAll().contains("\r\n\r\n")) {
                  return;
                }
                socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
                socket->flush();
                if (resets) {
                  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
                  socket->abort();
                } else {
                  socket->disconnectFromHost();
                }
              });
        });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server.serverPort());
  }

  QTcpServer server;
};

// Guards against an operator who takes a part of an answer, or none, for the
// whole: the instance ended in the middle of it.
TEST_CASE("an answer that is cut at any byte is an error for operators") {
  const std::string body = "one line\nand another\n";
  const std::string framing =
      GENERATE("Content-Length: 21\r\n", "Transfer-Encoding: chunked\r\n");
  const bool resets = GENERATE(false, true);
  const bool is_chunked = framing.starts_with("Transfer");
  REQUIRE(body.size() == 21);
  const std::string whole =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + framing + "\r\n" +
      (is_chunked ? "15\r\n" + body + "\r\n0\r\n\r\n" : body);
  for (size_t kept = 0; kept < whole.size(); ++kept) {
    CAPTURE(framing, resets, kept);
    const CuttingInstance instance(whole.substr(0, kept), resets);
    OperatorClient client(instance.address(), "key");
    CHECK_FALSE(core::IsOk(client.GetText("/v1/metrics")));
    CHECK_FALSE(core::IsOk(client.Get("/v1/configuration")));
  }
  const CuttingInstance instance(whole, false);
  OperatorClient client(instance.address(), "key");
  const auto text = client.GetText("/v1/metrics");
  REQUIRE(core::IsOk(text));
  CHECK(core::Value(text) == body);
}

// Guards against an answer that reports no success and is shown as one.
TEST_CASE("only a success of an instance is an answer for operators") {
  const std::string status =
      GENERATE("000", "099", "300", "302", "304", "399", "404", "503", "600");
  const std::string body = status == "304" ? "" : "{\"a\":1}";
  CAPTURE(status);
  const CuttingInstance instance(
      "HTTP/1.1 " + status + " X\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body,
      false);
  OperatorClient client(instance.address(), "key");
  const auto text = client.GetText("/v1/metrics");
  REQUIRE_FALSE(core::IsOk(text));
  CHECK_FALSE(core::ErrorOf(text).message.empty());
  CHECK_FALSE(core::IsOk(client.Get("/v1/configuration")));
  CHECK_FALSE(core::IsOk(client.Post("/v1/configuration", {})));
}

TEST_CASE("any success of an instance is an answer for operators") {
  const std::string status = GENERATE("200", "201", "299");
  CAPTURE(status);
  const CuttingInstance instance(
      "HTTP/1.1 " + status + " X\r\nContent-Length: 7\r\n\r\n{\"a\":1}", false);
  OperatorClient client(instance.address(), "key");
  CHECK(core::IsOk(client.Get("/v1/configuration")));
}

}  // namespace
}  // namespace hawthorn::ctl

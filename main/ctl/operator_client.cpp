#include "main/ctl/operator_client.h"

#include <QEventLoop>
#include <QHostInfo>
#include <chrono>
#include <optional>
#include <utility>

#include "main/http/json.h"
#include "transport/http_client.h"
#include "transport/http_status.h"

namespace hawthorn::ctl {

namespace {

constexpr std::chrono::milliseconds kTimeout{15'000};

/// Replaces the name of a host in "HOST:port" by its address.
std::string Resolve(const std::string& address) {
  const size_t colon = address.rfind(':');
  const QHostInfo host =
      QHostInfo::fromName(QString::fromStdString(address.substr(0, colon)));
  if (colon == std::string::npos || host.addresses().isEmpty()) {
    return address;
  }
  return host.addresses().front().toString().toStdString() +
         address.substr(colon);
}

/// Error of an answer that reports no success. Its body may not be that of an
/// instance.
core::Error ErrorFrom(int status, const std::string& text) {
  core::Error error{core::ErrorCode::kInternal,
                    "answer with status " + std::to_string(status) +
                        (text.empty() ? "" : ": " + text),
                    core::Execution::kUnknown,
                    {}};
  const auto parsed = main::ParseObject(text);
  if (!core::IsOk(parsed) || !core::Value(parsed)["error"].isObject()) {
    return error;
  }
  const QJsonObject object = core::Value(parsed)["error"].toObject();
  error.code = core::ErrorCodeOf(object["code"].toString().toStdString());
  error.message = object["message"].toString().toStdString();
  if (object["execution"].toString() == "not run") {
    error.execution = core::Execution::kNotRun;
  }
  return error;
}

}  // namespace

core::Result<std::string> OperatorClient::Run(const std::string& path,
                                              const QJsonObject* body) {
  transport::ClientRequest request;
  request.address = Resolve(address_);
  request.method = body == nullptr ? "GET" : "POST";
  request.target = path;
  request.headers = {{"Authorization", "Bearer " + key_},
                     {"Content-Type", "application/json"}};
  request.body = body == nullptr ? std::string() : main::ToJson(*body);
  request.timeout = kTimeout;
  request.idle_timeout = kTimeout;
  QEventLoop loop;
  std::string text;
  transport::ClientResponse response;
  transport::HttpClient client(
      [&text](transport::ClientCallId, const std::string& chunk) {
        text += chunk;
      },
      [&response, &loop](transport::ClientCallId,
                         transport::ClientResponse ended) {
        response = std::move(ended);
        loop.quit();
      });
  client.Start(request);
  loop.exec();
  if (!response.complete) {
    const bool is_sent = response.error.execution != core::Execution::kNotRun;
    return core::Error{core::ErrorCode::kUnavailable,
                       (is_sent ? "no whole answer from " : "cannot reach ") +
                           address_ + ": " + response.error.message,
                       response.error.execution,
                       {}};
  }
  if (!transport::IsSuccess(response.status)) {
    return ErrorFrom(response.status, text);
  }
  return text;
}

core::Result<QJsonObject> OperatorClient::Get(const std::string& path) {
  const auto text = Run(path, nullptr);
  if (!core::IsOk(text)) {
    return core::ErrorOf(text);
  }
  return main::ParseObject(core::Value(text));
}

core::Result<QJsonObject> OperatorClient::Post(const std::string& path,
                                               const QJsonObject& body) {
  const auto text = Run(path, &body);
  if (!core::IsOk(text)) {
    return core::ErrorOf(text);
  }
  return main::ParseObject(core::Value(text));
}

core::Result<std::string> OperatorClient::GetText(const std::string& path) {
  return Run(path, nullptr);
}

}  // namespace hawthorn::ctl

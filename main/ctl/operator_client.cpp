#include "main/ctl/operator_client.h"

#include <QEventLoop>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <memory>

#include "main/http/json.h"

namespace hawthorn::ctl {

namespace {

constexpr std::chrono::milliseconds kTimeout{15'000};
constexpr int kFirstFailureStatus = 400;

core::Error ErrorFrom(const std::string& text) {
  const auto parsed = main::ParseObject(text);
  core::Error error{
      core::ErrorCode::kInternal, text, core::Execution::kUnknown, {}};
  if (!core::IsOk(parsed)) {
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
  QNetworkRequest request(
      QUrl(QString::fromStdString("http://" + address_ + path)));
  request.setTransferTimeout(static_cast<int>(kTimeout.count()));
  request.setRawHeader("Authorization",
                       QByteArray::fromStdString("Bearer " + key_));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  std::unique_ptr<QNetworkReply> reply(
      body == nullptr ? manager_.get(request)
                      : manager_.post(request, QByteArray::fromStdString(
                                                   main::ToJson(*body))));
  QEventLoop loop;
  QObject::connect(reply.get(), &QNetworkReply::finished, &loop,
                   &QEventLoop::quit);
  loop.exec();
  const int status =
      reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  std::string text = reply->readAll().toStdString();
  if (status == 0) {
    return core::Error{
        core::ErrorCode::kUnavailable,
        "cannot reach " + address_ + ": " + reply->errorString().toStdString(),
        core::Execution::kUnknown,
        {}};
  }
  if (status >= kFirstFailureStatus) {
    return ErrorFrom(text);
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

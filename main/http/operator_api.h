#pragma once

#include <QJsonObject>
#include <functional>
#include <string>

#include "core/metrics.h"
#include "main/threads/sinks.h"
#include "transport/http_server.h"

namespace hawthorn::main {

/// HTTP API for the platform and for operators: health, metrics, and status
/// reports and commands for hawthornctl. Runs on the decision thread.
class OperatorApi {
 public:
  /// Handles an operator's request, for example for "status".
  using HandlerReply = std::function<void(core::Result<QJsonObject>)>;
  using Handler = std::function<void(const transport::HttpRequest& request,
                                     const HandlerReply& reply)>;

  OperatorApi(HttpSink& http, const core::Metrics& metrics, std::string key,
              std::function<std::string()> health);

  /// Registers the status report or command at /v1/admin/NAME.
  void Register(const std::string& name, Handler handler);

  /// Handles `request` if its path belongs to this API; otherwise returns
  /// false.
  bool OnRequest(const transport::HttpRequest& request);

 private:
  void HandleAdminRequest(const transport::HttpRequest& request);

  HttpSink& http_;
  const core::Metrics& metrics_;
  std::string key_;
  std::function<std::string()> health_;
  std::map<std::string, Handler> handlers_;
};

}  // namespace hawthorn::main

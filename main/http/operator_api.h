#pragma once

#include <QJsonObject>
#include <functional>
#include <string>

#include "core/metrics.h"
#include "main/threads/sinks.h"
#include "transport/http_server.h"

namespace hawthorn::main {

/// The HTTP interface of the platform and of operators: health, metrics and
/// read-outs for the command line. Runs in the thread of decisions.
class OperatorApi {
 public:
  /// Read-out by name, for example "status".
  using ReadoutReply = std::function<void(core::Result<QJsonObject>)>;
  using Readout = std::function<void(const transport::HttpRequest& request,
                                     const ReadoutReply& reply)>;

  OperatorApi(HttpSink& http, const core::Metrics& metrics, std::string key,
              std::function<std::string()> health);

  /// Registers the read-out or command at /v1/admin/NAME.
  void Register(const std::string& name, Readout readout);

  /// Answers `request` if its path belongs to this interface.
  bool OnRequest(const transport::HttpRequest& request);

 private:
  void Answer(const transport::HttpRequest& request);

  HttpSink& http_;
  const core::Metrics& metrics_;
  std::string key_;
  std::function<std::string()> health_;
  std::map<std::string, Readout> readouts_;
};

}  // namespace hawthorn::main

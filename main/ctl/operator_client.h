#pragma once

#include <QJsonObject>
#include <string>

#include "core/error.h"

namespace hawthorn::ctl {

/// Blocking client of the operator API of one instance. An answer that breaks
/// off is an error, however much of it arrived.
class OperatorClient {
 public:
  /// `address` is "IP:port"; `key` the operators' key.
  OperatorClient(std::string address, std::string key)
      : address_(std::move(address)), key_(std::move(key)) {}

  /// Reads the JSON object at `path`. An error response of the instance is
  /// returned with its code, message and execution.
  core::Result<QJsonObject> Get(const std::string& path);
  /// Sends `body` to `path`, once.
  core::Result<QJsonObject> Post(const std::string& path,
                                 const QJsonObject& body);
  /// Reads the text at `path`.
  core::Result<std::string> GetText(const std::string& path);

 private:
  core::Result<std::string> Run(const std::string& path,
                                const QJsonObject* body);

  std::string address_;
  std::string key_;
};

}  // namespace hawthorn::ctl

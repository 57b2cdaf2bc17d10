#pragma once

#include <QJsonObject>
#include <map>
#include <string>

#include "transport/http_server.h"

namespace hawthorn::standins {

/// Minimal booking service. It runs every operation that it receives and counts
/// the runs per program and call number itself, so that a test detects a
/// duplicate execution independently of the system's own records.
class StandinService {
 public:
  explicit StandinService(transport::HttpServer& server) : server_(server) {}

  void OnRequest(const transport::HttpRequest& request);
  QJsonObject Load() const { return {{"running", 0}, {"waiting", 0}}; }

 private:
  transport::HttpServer& server_;
  std::map<std::string, uint64_t> runs_;
};

}  // namespace hawthorn::standins

#pragma once

#include <QJsonObject>
#include <map>
#include <string>

#include "transport/http_server.h"

namespace hawthorn::standins {

/// Small booking application. It runs every operation that it is sent and
/// counts the runs of each request id itself, so that a doubled effect is
/// seen here and not in the records of the scheduler.
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

#include "tests/standins/standin_service.h"

#include <QJsonDocument>
#include <algorithm>
#include <cstdlib>

namespace hawthorn::standins {

namespace {
std::string Compact(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}
}  // namespace

void StandinService::OnRequest(const transport::HttpRequest& request) {
  if (request.path == "/runs") {
    uint64_t total = 0;
    uint64_t doubled = 0;
    for (const auto& [key, runs] : runs_) {
      total += runs;
      doubled += runs - 1;
    }
    server_.Respond(
        request.id, 200, {{"Content-Type", "application/json"}},
        Compact({{"runs", qint64(total)}, {"doubled", qint64(doubled)}}));
    return;
  }
  const std::string key = request.Header("hawthorn-program") + "/" +
                          request.Header("hawthorn-call");
  const uint64_t runs = ++runs_[key];
  if (request.path == "/run-then-die") {
    std::abort();
  }
  if (request.path == "/refuse") {
    server_.Respond(request.id, 503, {{"Hawthorn-Execution", "not run"}}, "{}");
    return;
  }
  server_.Respond(request.id, 200, {{"Content-Type", "application/json"}},
                  Compact({{"confirmed", true},
                           {"operation", QString::fromStdString(request.path)},
                           {"run", qint64(runs)}}));
}

}  // namespace hawthorn::standins
